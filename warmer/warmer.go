// Package warmer decides which entry may send a call to a cold endpoint. An endpoint that has just started, or whose
// availability zone has just returned, accepts few calls a second and crashes if it gets many more, whichever entries
// they come from. The package has no clock of its own: callers pass in the current time.
package warmer

import (
	"time"

	"geraniumline/rationer"
)

// Config configures a Warmer.
type Config struct {
	// Self is the name of this entry.
	Self string
	// Excess and Slack limit the calls that a cold endpoint may get in one second from all entries together: Excess
	// times the rate that it accepts, plus Slack.
	Excess float64
	Slack  float64
}

// maxPartitions is the number of sets of entries that may each consider themselves all live entries, as in a network
// partition. The rate that a cold endpoint accepts is divided by it.
const maxPartitions = 2

// Warmer limits the calls of this entry to cold endpoints.
type Warmer struct {
	cfg      Config
	rationer *rationer.Rationer
	// minority is set while so many entries are unreachable that the others may be on the far side of a network
	// partition.
	minority bool
}

// New returns a warmer without other entries.
func New(cfg Config) *Warmer { return &Warmer{cfg: cfg, rationer: rationer.New(cfg.Self)} }

// SetEntries sets the names of the live entries, including this one, and the number of known entries, including dead
// ones.
func (w *Warmer) SetEntries(live []string, known int) {
	w.minority = len(live)*maxPartitions < known
	w.rationer.SetEntries(live)
}

// Allows reports whether this entry may send a call now to a cold endpoint that accepts perSecond calls a second. A few
// entries, the senders of the endpoint, send to it, each with a minimum interval between two calls. In one second, each
// sender makes at most one call at once plus those that its rate allows. With two sets of senders this adds up to the
// limit. It does not depend on synchronized clocks.
func (w *Warmer) Allows(endpoint string, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		// The service has no configured limit for cold endpoints.
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

// RecordSend records a call to a cold endpoint that accepts perSecond calls a second.
func (w *Warmer) RecordSend(endpoint string, perSecond float64, now time.Time) {
	if perSecond > 0 {
		w.rationer.RecordSend(endpoint, w.quota(perSecond), now)
	}
}
