package admitter

import (
	"time"

	"geraniumline/pacer"
)

// Decision is either Admitted or Refused.
type Decision interface{ decision() }

// Admitted means that the request is expected to finish by its deadline.
type Admitted struct{}

// Refused means that the request is not expected to finish by its deadline. RetryAfter is the delay
// after which another attempt may be admitted.
type Refused struct {
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Refused) decision()  {}

// refusals holds all possible refusals as prebuilt interface values, so that a refusal does not
// allocate.
var refusals = makeRefusals()

func makeRefusals() []Decision {
	var decisions []Decision
	for step := range pacer.StepCount() {
		decisions = append(decisions, Refused{RetryAfter: pacer.StepWait(step)})
	}
	return decisions
}

func refuse(wait time.Duration) Decision {
	return refusals[pacer.StepFor(wait)]
}
