package forwarder

import (
	"math/rand/v2"
	"slices"
)

// noticesPerHeartbeat is how many endpoint notices of each kind a heartbeat carries.
const noticesPerHeartbeat = 32

// rotation iterates over a list in parts, one for each heartbeat.
type rotation struct {
	// start is the index at which the current pass began, and done the number of elements it has covered.
	start int
	done  int
}

// nextPart returns the part of the list for the next heartbeat. Each pass begins at a random index: a peer that
// receives each tenth heartbeat could otherwise receive the same part each time.
func nextPart[T any](r *rotation, list []T, random *rand.Rand) []T {
	if len(list) <= noticesPerHeartbeat {
		return list
	}
	if r.done >= len(list) {
		r.start, r.done = random.IntN(len(list)), 0
	}
	from := (r.start + r.done) % len(list)
	r.done += noticesPerHeartbeat
	return slices.Concat(list[from:], list[:from])[:noticesPerHeartbeat]
}
