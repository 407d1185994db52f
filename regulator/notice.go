package regulator

import "time"

// Notice is what the header of an endpoint's answer says about the work that the endpoint accepts.
type Notice struct {
	// Limited is set if the endpoint states a limit.
	Limited bool
	// PerSecond is that limit: the number of calls a second that the endpoint accepts from all entries together.
	PerSecond float64
	// Fragile is set if the endpoint crashes once it has to refuse more than MaxRefusals calls in a second.
	Fragile     bool
	MaxRefusals float64
	// Leaving is set if the endpoint is shutting down and accepts no new work.
	Leaving bool
	// Rest is how long the endpoint wants no calls from the entry that it has refused. It is 0 if the endpoint does not
	// say.
	Rest time.Duration
}
