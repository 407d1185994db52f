// Package warmer decides which entry may send a call to a cold endpoint. An endpoint that has just started, or whose
// availability zone has just returned, bears few calls a second and crashes at many more, whichever entries they come from.
// The package is pure: the present time is given to it.
package warmer

import (
	"time"

	"geraniumline/rationer"
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
const maxPartitions = 2

// Warmer holds what this entry may send to cold endpoints.
type Warmer struct {
	cfg      Config
	rationer *rationer.Rationer
	// few is set while so many entries are not heard that the others may be on the far side of a cut.
	minority bool
}

// New makes a warmer that knows of no other entry.
func New(cfg Config) *Warmer { return &Warmer{cfg: cfg, rationer: rationer.New(cfg.Self)} }

// SetEntries takes the names of the entries that live, this one among them, and how many are known, dead ones too.
func (w *Warmer) SetEntries(live []string, known int) {
	w.minority = len(live)*maxPartitions < known
	w.rationer.SetEntries(live)
}

// Allows tells whether this entry may send a call now to a cold endpoint that bears so many calls a second. A few entries, its
// sponsors, send to each, with a pause between two calls of one. In one second they send one call each at once and then what
// they send in it: with two sets of sponsors that is the bound. It hangs on no clock that entries share.
func (w *Warmer) Allows(endpoint string, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		// Nobody has said that cold endpoints of the service bear little.
		return true
	}
	if w.minority {
		return false
	}
	return w.rationer.Allows(endpoint, w.quota(perSecond), now)
}

func (w *Warmer) quota(perSecond float64) rationer.Quota {
	return rationer.Quota{Senders: max(1, int(w.cfg.Slack/maxPartitions)), PerSecond: w.cfg.Excess * perSecond / maxPartitions, Burst: 1}
}

// RecordSend notes a call to a cold endpoint that bears so many calls a second.
func (w *Warmer) RecordSend(endpoint string, perSecond float64, now time.Time) {
	if perSecond > 0 {
		w.rationer.RecordSend(endpoint, w.quota(perSecond), now)
	}
}
