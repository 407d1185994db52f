// Package divider divides stage services into pools, each of which is collected by one entry. The CPU of one entry limits
// how many pieces per second it can sort and send in calls; in a burst, that limit would be reached before the capacity of
// many endpoints. A service with many endpoints is therefore divided by availability zone. The package is pure.
package divider

import (
	"maps"
	"math"
	"net/url"
	"slices"
	"strings"
	"time"

	"geraniumline/hasher"
	"geraniumline/registrar"
)

// Pool identifies the endpoints that one entry collects for: all of a service's, or those in one availability zone.
type Pool struct {
	Service string
	// Zone is empty if the pool has the endpoints of all zones.
	Zone string
}

// separator separates the service from the zone in a pool's name.
const separator = "@"

// String returns the pool's name, which entries use in messages about its pieces. A separator in the service's name is
// escaped.
func (p Pool) String() string {
	service := url.QueryEscape(p.Service)
	if p.Zone == "" {
		return service
	}
	return service + separator + p.Zone
}

// Parse parses a pool's name. If it is not valid, the whole name is used as the service's name.
func Parse(name string) Pool {
	escaped, zone, _ := strings.Cut(name, separator)
	service, err := url.QueryUnescape(escaped)
	if err != nil {
		return Pool{Service: name}
	}
	return Pool{Service: service, Zone: zone}
}

// Contains reports whether an endpoint belongs to the pool.
func (p Pool) Contains(e *registrar.Endpoint) bool {
	return e.Service == p.Service && (p.Zone == "" || e.Zone == p.Zone)
}

const (
	// divideThreshold is the number of endpoints from which a service is divided. Entries whose lists differ by one endpoint
	// may disagree for a moment. Two entries then collect for the same endpoint, which refuses calls that it cannot hold.
	divideThreshold = 48
	// joinThreshold is the number of endpoints below which a divided service becomes one pool again. The gap keeps a service
	// from being divided and joined repeatedly when its number of endpoints changes near the threshold.
	joinThreshold = 36
	// minZoneEndpoints is the minimum number of endpoints in each zone for a service to be divided. The calls of a smaller
	// pool would be less full, and one slow endpoint would be a large part of it.
	minZoneEndpoints = 8
)

// Divider decides which services are divided.
type Divider struct {
	// available is the number of endpoints that may receive new work, by service and zone.
	available map[string]map[string]int
	divided   map[string]bool
	// registered is the number of all registered endpoints by service.
	registered map[string]int
}

// New returns a divider without endpoints.
func New() *Divider {
	return &Divider{available: make(map[string]map[string]int), divided: make(map[string]bool), registered: make(map[string]int)}
}

// MarkDivided records that a peer treats a service as divided, unless it has too few endpoints. Otherwise an entry that starts while the service has few
// endpoints would treat it as one pool while its peers keep it divided, and two entries would collect for each endpoint.
func (d *Divider) MarkDivided(service string) {
	if d.registered[service] >= joinThreshold {
		d.divided[service] = true
	}
}

// SetEndpoints sets all registered endpoints of stage services and those of them that may receive new work. The division
// depends on all registered ones, so that the evacuation of one zone does not change the pools of the others.
func (d *Divider) SetEndpoints(registered, available []*registrar.Endpoint) {
	all := countByZone(registered)
	d.available = countByZone(available)
	d.registered = make(map[string]int, len(all))
	for service, zones := range all {
		for _, n := range zones {
			d.registered[service] += n
		}
		d.divided[service] = d.shouldDivide(service, zones)
	}
	for service := range d.divided {
		if all[service] == nil {
			delete(d.divided, service)
		}
	}
}

func (d *Divider) shouldDivide(service string, zones map[string]int) bool {
	smallestZone := divideThreshold
	for _, n := range zones {
		smallestZone = min(smallestZone, n)
	}
	if len(zones) < 2 {
		return false
	}
	if d.divided[service] {
		return d.registered[service] >= joinThreshold
	}
	return d.registered[service] >= divideThreshold && smallestZone >= minZoneEndpoints
}

func countByZone(endpoints []*registrar.Endpoint) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, e := range endpoints {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		counts[e.Service][e.Zone]++
	}
	return counts
}

// Pools returns the pools of a service, sorted by name.
func (d *Divider) Pools(service string) []Pool {
	if !d.divided[service] {
		return []Pool{{Service: service}}
	}
	zones := slices.Sorted(maps.Keys(d.available[service]))
	pools := make([]Pool, 0, len(zones))
	for _, zone := range zones {
		pools = append(pools, Pool{Service: service, Zone: zone})
	}
	if len(pools) == 0 {
		return []Pool{{Service: service}}
	}
	return pools
}

// Query is the input of Choose.
type Query struct {
	Service string
	// Seed is the same for all stages of a request, so that they run in one zone if each of them has endpoints there.
	Seed uint64
	// PreferredZone is the zone where the results are needed; empty if there is no preference.
	PreferredZone string
	// ZoneAllowed reports whether the pieces may be processed in a zone; nil allows all zones.
	ZoneAllowed func(zone string) bool
	// MaxExtraWait is how much longer pieces may wait in the chosen pool than in the least loaded one.
	MaxExtraWait time.Duration
}

// Choose returns the pool that processes a request's pieces. Work is distributed over the zones in proportion to their
// endpoints. A pool whose wait exceeds the shortest one by more than MaxExtraWait is avoided, so that a zone that has lost
// endpoints, or happens to have large requests, does not make its share of all requests late.
func (d *Divider) Choose(query Query, wait func(Pool) time.Duration) Pool {
	pools := d.Pools(query.Service)
	if len(pools) == 1 {
		return pools[0]
	}
	if query.ZoneAllowed != nil {
		pools = slices.DeleteFunc(pools, func(p Pool) bool { return !query.ZoneAllowed(p.Zone) })
	}
	if len(pools) == 0 {
		// No zone is allowed. The pool of all endpoints will find none that may process the pieces.
		return Pool{Service: query.Service}
	}
	chosen := d.weightedPool(pools, query.Seed)
	if preferred := (Pool{Service: query.Service, Zone: query.PreferredZone}); slices.Contains(pools, preferred) {
		chosen = preferred
	}
	best, shortest := chosen, wait(chosen)
	for _, p := range pools {
		if w := wait(p); w < shortest {
			best, shortest = p, w
		}
	}
	if wait(chosen) > shortest+query.MaxExtraWait {
		return best
	}
	return chosen
}

// weightedPool selects a pool with a probability proportional to its number of endpoints.
func (d *Divider) weightedPool(pools []Pool, seed uint64) Pool {
	total := 0
	for _, p := range pools {
		total += d.available[p.Service][p.Zone]
	}
	// The position is the same fraction of the total for all services, regardless of their number of endpoints.
	position := int(float64(hasher.Mix(seed)) / math.MaxUint64 * float64(total))
	for _, p := range pools {
		if position -= d.available[p.Service][p.Zone]; position < 0 {
			return p
		}
	}
	return pools[len(pools)-1]
}
