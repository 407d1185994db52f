// Package pacer rounds the time after which a refused caller may retry up to one of a fixed series of steps. Every
// refusal can then be built in advance, so that refusing a request under load allocates nothing.
package pacer

import (
	"sort"
	"time"
)

const (
	// MinWait is the first step. Callers are never told to retry sooner.
	MinWait = time.Millisecond
	// MaxWait is the last step. Longer waits are reduced to it.
	MaxWait = 10 * time.Minute
	// growth is the ratio of a step to the previous one.
	growth = 1.15
)

var steps = makeSteps()

func makeSteps() []time.Duration {
	var list []time.Duration
	for d := float64(MinWait); d < float64(MaxWait); d *= growth {
		list = append(list, time.Duration(d))
	}
	return append(list, MaxWait)
}

// StepCount returns the number of steps.
func StepCount() int { return len(steps) }

// StepWait returns the wait of a step.
func StepWait(step int) time.Duration { return steps[step] }

// StepFor returns the first step that is not shorter than wait, or the last step.
func StepFor(wait time.Duration) int {
	i := sort.Search(len(steps), func(i int) bool { return steps[i] >= wait })
	if i == len(steps) {
		return i - 1
	}
	return i
}
