// Package pacer rounds the time after which a refused caller may come back up to one of a
// fixed series of steps, so that every refusal can be built ahead of time and the refusal
// of a request under surge allocates nothing.
package pacer

import (
	"sort"
	"time"
)

const (
	// MinWait is the first step; callers are never told to come back sooner.
	MinWait = time.Millisecond
	// MaxWait is the last step; a longer wait is told as this one.
	MaxWait = 10 * time.Minute
	// growth is the ratio of a step to the one before it.
	growth = 1.15
)

var steps = makeSteps()

func makeSteps() []time.Duration {
	var made []time.Duration
	for d := float64(MinWait); d < float64(MaxWait); d *= growth {
		made = append(made, time.Duration(d))
	}
	return append(made, MaxWait)
}

// StepCount is the number of steps.
func StepCount() int { return len(steps) }

// StepWait gives the wait of a step.
func StepWait(step int) time.Duration { return steps[step] }

// StepFor gives the first step that is no shorter than wait, or the last.
func StepFor(wait time.Duration) int {
	i := sort.Search(len(steps), func(i int) bool { return steps[i] >= wait })
	if i == len(steps) {
		return i - 1
	}
	return i
}
