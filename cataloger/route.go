package cataloger

import (
	"time"

	"geraniumline/hasher"
)

// RouteKind says what may be repeated of a route's requests.
type RouteKind uint8

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota + 1
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by a series of events. They are repeated only where the route is Resumable.
	Streaming
)

// Target is a service that takes a part of a route's requests.
type Target struct {
	Service string
	// Weight is the target's part, relative to the sum over the route's targets.
	Weight int
}

// Stage is work that is done before a route's request can run.
type Stage struct {
	Service string
	// After are the stages whose results this one takes as its input.
	DependsOn []int
	// ResultBytes is the usual size of one result.
	ResultBytes int64
}

// Route says where the requests of a host and path prefix go and what holds for them.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer counts as on time: up to the first event of a stream.
	Objective time.Duration
	// Priority is the route's rank, 0 first.
	Priority int
	Targets  []Target
	Stages   []Stage
	// MaxAttempts is how many endpoints one attempt of the caller may run on.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Sticky routes carry prompts whose parts endpoints cache.
	Sticky bool
	// Resumable streams may go on at another endpoint after an event.
	Resumable bool
	// EventGap is the longest pause between events for which a stream counts as on time.
	EventGap time.Duration
	// Homes are the regions that requests of the route may be served in; empty where all are.
	AllowedRegions []string
	// FirstEventPatience is how long callers wait for a stream's first event before they leave; 0 where they wait until
	// their deadline.
	FirstEventTimeout time.Duration
}

// Repeatable tells whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target picks the service for a request: the same for the same seed, and in proportion to the weights over all.
func (r *Route) Target(seed uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(hasher.Mix(seed) % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// FinalStages gives the stages whose results no other stage takes. With counts, stages that have no piece in this
// request are passed over, and the stages before them take their place only if nothing else follows them.
func (r *Route) FinalStages(counts []int) []int {
	followed := make([]bool, len(r.Stages))
	for i, s := range r.Stages {
		if counts[i] == 0 {
			continue
		}
		for _, before := range s.DependsOn {
			followed[before] = true
		}
	}
	var last []int
	for i := range r.Stages {
		if counts[i] > 0 && !followed[i] {
			last = append(last, i)
		}
	}
	return last
}
