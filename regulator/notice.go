package regulator

import "time"

// Notice is what an endpoint's answer says of the work that the endpoint takes.
type Notice struct {
	// Limited is set where the endpoint names a limit.
	Limited bool
	// PerSecond is that limit: the calls a second that the endpoint takes from all entries together.
	PerSecond float64
	// Leaving is set where the endpoint is to end and takes no new work.
	Leaving bool
	// Rest is how long the endpoint wants nothing from the entry that it has turned away; 0 where it does not say.
	Rest time.Duration
}
