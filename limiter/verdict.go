package limiter

import (
	"time"

	"geraniumline/pacer"
)

// Reason is the limit that caused a refusal.
type Reason uint8

// The reasons for a refusal.
const (
	ReasonRate Reason = iota
	ReasonConcurrency
	ReasonCost
	ReasonUnknownAccount
	reasonCount
)

func (r Reason) String() string {
	switch r {
	case ReasonRate:
		return "rate"
	case ReasonConcurrency:
		return "concurrency"
	case ReasonCost:
		return "cost"
	case ReasonUnknownAccount:
		return "unknownAccount"
	default:
		return "unknown"
	}
}

// Decision is either Admitted or Refused.
type Decision interface{ decision() }

// Admitted means that the request may proceed. It counts as in flight until Release.
type Admitted struct{}

// Refused means that a limit was reached. RetryAfter is the delay after which another attempt may
// succeed.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Refused) decision()  {}

// refusals holds all possible refusals as prebuilt interface values. During a surge most decisions
// are refusals, and converting a new Refused for each would allocate.
var refusals = makeRefusals()

func makeRefusals() [reasonCount][]Decision {
	var decisions [reasonCount][]Decision
	for reason := range reasonCount {
		for step := range pacer.StepCount() {
			decisions[reason] = append(decisions[reason], Refused{Reason: reason, RetryAfter: pacer.StepWait(step)})
		}
	}
	return decisions
}

func refuse(reason Reason, wait time.Duration) Decision {
	return refusals[reason][pacer.StepFor(wait)]
}
