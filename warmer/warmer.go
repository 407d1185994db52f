// Package warmer decides which entry may send a call to a cold endpoint. An endpoint that has just started, or whose
// availability zone has just returned, bears few calls a second and crashes at many more, whichever entries they come from.
// The package is pure: the present time is given to it.
package warmer

import (
	"slices"
	"time"

	"geraniumline/hasher"
)

// Config sets a Warmer up.
type Config struct {
	// Self is this entry's name.
	Self string
	// Excess and Slack bound the calls that a cold endpoint may get in one second from all entries: Excess times what it
	// bears, and Slack more.
	Excess float64
	Slack  float64
}

// views is how many sets of entries may each take themselves for all that live, as while a part of them is cut off: what a
// cold endpoint bears is divided among so many.
const views = 2

// Warmer holds what this entry may send to cold endpoints.
type Warmer struct {
	cfg Config
	// live are the entries that live, this one among them, in the order of their names.
	live []string
	// few is set while so many entries are not heard that the others may be on the far side of a cut.
	few bool
	// sent is when calls went to each cold endpoint lately.
	sent map[string]time.Time
	// ranks remembers this entry's rank among the sponsors of an endpoint.
	ranks map[string]int
}

// New makes a warmer that knows of no other entry.
func New(cfg Config) *Warmer {
	return &Warmer{cfg: cfg, live: []string{cfg.Self}, sent: make(map[string]time.Time), ranks: make(map[string]int)}
}

// SetEntries takes the names of the entries that live, this one among them, and how many are known, dead ones too.
func (w *Warmer) SetEntries(live []string, known int) {
	w.few = len(live)*views < known
	if slices.Equal(live, w.live) {
		return
	}
	w.live = live
	w.ranks = make(map[string]int)
}

// Allows tells whether this entry may send a call now to a cold endpoint that bears so many calls a second. A few entries, its
// sponsors, send to each, with a pause between two calls of one. In one second they send one call each at once and then what
// they send in it: with two sets of sponsors that is the bound. It hangs on no clock that entries share.
func (w *Warmer) Allows(endpoint string, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		// Nobody has said that cold endpoints of the service bear little.
		return true
	}
	if w.few {
		return false
	}
	sponsors := max(1, int(w.cfg.Slack/views))
	if w.rank(endpoint) >= sponsors {
		return false
	}
	rate := w.cfg.Excess * perSecond / views
	pause := time.Duration(float64(sponsors) / rate * float64(time.Second))
	return now.Sub(w.sent[endpoint]) >= pause
}

// Sent notes a call to a cold endpoint.
func (w *Warmer) Sent(endpoint string, now time.Time) {
	for id, at := range w.sent {
		if now.Sub(at) > forgetAfter {
			delete(w.sent, id)
		}
	}
	w.sent[endpoint] = now
}

// forgetAfter is how long a call to a cold endpoint counts: longer than any pause between two.
const forgetAfter = time.Minute

func (w *Warmer) rank(endpoint string) int {
	rank, known := w.ranks[endpoint]
	if !known {
		rank = hasher.Rank(endpoint, w.live, w.cfg.Self)
		w.ranks[endpoint] = rank
	}
	return rank
}
