package limiter

import (
	"time"

	"geraniumline/pacer"
)

// Reason tells which limit refused a request.
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

// Decision is Admitted or Refused.
type Decision interface{ verdict() }

// Admitted tells that the request may go on and counts as in flight until Release.
type Admitted struct{}

// Refused tells which limit was met and when another try may succeed.
type Refused struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (Admitted) verdict() {}
func (Refused) verdict()  {}

// refusals holds every refusal as a ready interface value: under surge most decisions are
// refusals, and converting a Refused anew would allocate for each.
var refusals = makeRefusals()

func makeRefusals() [reasonCount][]Decision {
	var made [reasonCount][]Decision
	for reason := range reasonCount {
		for step := range pacer.StepCount() {
			made[reason] = append(made[reason], Refused{Reason: reason, RetryAfter: pacer.StepWait(step)})
		}
	}
	return made
}

func refuse(reason Reason, wait time.Duration) Decision {
	return refusals[reason][pacer.StepFor(wait)]
}
