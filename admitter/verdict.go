package admitter

import (
	"time"

	"geraniumline/pacer"
)

// Decision is Admitted or Refused.
type Decision interface{ verdict() }

// Admitted tells that the request is expected to finish by its deadline.
type Admitted struct{}

// Refused tells that the request is not expected to finish, and when another try may be.
type Refused struct {
	RetryAfter time.Duration
}

func (Admitted) verdict() {}
func (Refused) verdict()  {}

// refusals holds every refusal as a ready interface value, so that none is allocated.
var refusals = makeRefusals()

func makeRefusals() []Decision {
	var made []Decision
	for step := range pacer.StepCount() {
		made = append(made, Refused{RetryAfter: pacer.StepWait(step)})
	}
	return made
}

func refuse(wait time.Duration) Decision {
	return refusals[pacer.StepFor(wait)]
}
