package cataloger

import (
	"fmt"
	"strings"
	"time"

	"geraniumline/hasher"
)

// RouteKind determines whether a route's requests may be repeated.
type RouteKind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota + 1
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They are repeated only if the route is Resumable.
	Streaming
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the target's share, relative to the sum over the route's targets.
	Weight int
}

// Stage is work that must be done before a route's request can run.
type Stage struct {
	Service string
	// DependsOn holds the indices of the stages whose results are inputs of this one.
	DependsOn []int
	// ResultBytes is the expected size of one result.
	ResultBytes int64
}

// Route determines the services for the requests of a host and path prefix, and how these requests are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the maximum time for an answer to count as on time; for a stream, until its first event.
	Objective time.Duration
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	Targets  []Target
	Stages   []Stage
	// MaxAttempts is the maximum number of endpoints that one attempt of the caller may run on.
	MaxAttempts int
	// Anonymous routes require no key.
	Anonymous bool
	// Sticky routes have prompts whose parts endpoints cache.
	Sticky bool
	// Resumable streams can continue at another endpoint after an event.
	Resumable bool
	// EventGap is the maximum time between events for a stream to count as on time.
	EventGap time.Duration
	// AllowedRegions are the regions where requests of the route may be processed; nil allows all, an empty list none.
	AllowedRegions []string
	// FirstEventTimeout is how long callers wait for a stream's first event before they disconnect; 0 if they wait until
	// their deadline.
	FirstEventTimeout time.Duration
	// Fault is why the route can't be used; its requests are refused. It is nil for a usable route.
	Fault error
}

// StageError reports a stage that depends on a stage that does not precede it.
type StageError struct {
	Route     string
	Stage     int
	DependsOn int
}

func (e *StageError) Error() string {
	return fmt.Sprintf("route %s: stage %d depends on stage %d, which does not precede it", e.Route, e.Stage, e.DependsOn)
}

// TargetError reports a route without a target service that may receive requests.
type TargetError struct{ Route string }

func (e *TargetError) Error() string { return fmt.Sprintf("route %s has no target service", e.Route) }

// MatchError reports a route whose host or path prefix is missing or malformed. It matches no request, since it would
// otherwise match those of other routes.
type MatchError struct {
	Route, Host, PathPrefix string
}

func (e *MatchError) Error() string {
	return fmt.Sprintf("route %s: host %q and path prefix %q match no request", e.Route, e.Host, e.PathPrefix)
}

// indexRoutes validates the routes and indexes them by host.
func (c *Catalog) indexRoutes(routes []Route) {
	for i := range routes {
		r := &routes[i]
		if r.Fault == nil {
			r.Fault = r.validate()
		}
		if r.Fault != nil {
			c.faults = append(c.faults, r.Fault)
		}
		if allowsNoRegion(r.AllowedRegions) {
			c.faults = append(c.faults, &RegionError{Owner: "route " + r.Name})
		}
		if r.Host == "" || !isPathPrefix(r.PathPrefix) {
			c.faults = append(c.faults, &MatchError{Route: r.Name, Host: r.Host, PathPrefix: r.PathPrefix})
			continue
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
}

// isPathPrefix reports whether a prefix begins and ends with a slash.
func isPathPrefix(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

func (r *Route) validate() error {
	total := 0
	for _, t := range r.Targets {
		if t.Weight < 0 || t.Service == "" && t.Weight > 0 {
			return &TargetError{Route: r.Name}
		}
		total += t.Weight
	}
	if total == 0 {
		return &TargetError{Route: r.Name}
	}
	for i, stage := range r.Stages {
		for _, dependency := range stage.DependsOn {
			if dependency < 0 || dependency >= i {
				return &StageError{Route: r.Name, Stage: i, DependsOn: dependency}
			}
		}
	}
	return nil
}

// Repeatable reports whether a request that may already have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target selects the service for a request. It depends only on the seed, and over all seeds, services are selected in
// proportion to their weights. The route must be usable.
func (r *Route) Target(seed uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	position := int(hasher.Mix(seed) % uint64(total))
	for _, t := range r.Targets {
		if position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// FinalStages returns the stages whose results no other stage uses. Stages for which counts is 0 have no pieces in this
// request and are skipped; the stages that they depend on are then final if no other stage uses their results.
func (r *Route) FinalStages(counts []int) []int {
	hasDependent := make([]bool, len(r.Stages))
	for i, s := range r.Stages {
		if counts[i] == 0 {
			continue
		}
		for _, dependency := range s.DependsOn {
			hasDependent[dependency] = true
		}
	}
	var final []int
	for i := range r.Stages {
		if counts[i] > 0 && !hasDependent[i] {
			final = append(final, i)
		}
	}
	return final
}
