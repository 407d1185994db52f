package forwarder

import (
	"math/rand/v2"
	"slices"
)

// noticesEachRound is how many endpoints' notices of each kind a heartbeat carries.
const noticesEachRound = 32

// rotation goes through a list in parts, one a heartbeat.
type rotation struct {
	// start is where the present pass began, done how many it has been through.
	start int
	done  int
}

// nextPart gives the part of the list that the next heartbeat carries. Each pass begins at a random place: a peer that gets each
// tenth heartbeat could else be told the same part each time.
func nextPart[T any](r *rotation, list []T, random *rand.Rand) []T {
	if len(list) <= noticesEachRound {
		return list
	}
	if r.done >= len(list) {
		r.start, r.done = random.IntN(len(list)), 0
	}
	from := (r.start + r.done) % len(list)
	r.done += noticesEachRound
	return slices.Concat(list[from:], list[:from])[:noticesEachRound]
}
