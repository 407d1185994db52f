// Package pacer rounds the time after which a refused caller may come back up to one of a
// fixed series of steps, so that every refusal can be built ahead of time and the refusal
// of a request under surge allocates nothing.
package pacer

import (
	"sort"
	"time"
)

const (
	// Shortest is the first step; callers are never told to come back sooner.
	Shortest = time.Millisecond
	// Longest is the last step; a longer wait is told as this one.
	Longest = 10 * time.Minute
	// growth is the ratio of a step to the one before it.
	growth = 1.15
)

var steps = makeSteps()

func makeSteps() []time.Duration {
	var made []time.Duration
	for d := float64(Shortest); d < float64(Longest); d *= growth {
		made = append(made, time.Duration(d))
	}
	return append(made, Longest)
}

// Count is the number of steps.
func Count() int { return len(steps) }

// At gives the wait of a step.
func At(step int) time.Duration { return steps[step] }

// StepFor gives the first step that is no shorter than wait, or the last.
func StepFor(wait time.Duration) int {
	i := sort.Search(len(steps), func(i int) bool { return steps[i] >= wait })
	if i == len(steps) {
		return i - 1
	}
	return i
}
