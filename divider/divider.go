// Package divider decides by which parts a stage's service is collected. One entry can order and call for so many pieces a
// second; beyond that its processor, and not the endpoints, bounds a burst. So the endpoints of a service with many of them are
// collected by availability zone, each zone by an entry of its own. The package is pure.
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

// Pool names what one entry collects for: all endpoints of a service, or those in one availability zone.
type Pool struct {
	Service string
	// Zone is empty where the pool has the endpoints of all zones.
	Zone string
}

// separator stands between the service and the zone in a pool's name.
const separator = "@"

// String gives the pool's name, by which entries ask for its pieces. Services whose names hold the separator are escaped.
func (p Pool) String() string {
	service := url.QueryEscape(p.Service)
	if p.Zone == "" {
		return service
	}
	return service + separator + p.Zone
}

// Parse reads a pool's name. One that no pool has is taken as a service's as it stands.
func Parse(name string) Pool {
	escaped, zone, _ := strings.Cut(name, separator)
	service, err := url.QueryUnescape(escaped)
	if err != nil {
		return Pool{Service: name}
	}
	return Pool{Service: service, Zone: zone}
}

// Contains tells whether an endpoint is one of the pool's.
func (p Pool) Contains(e *registrar.Endpoint) bool {
	return e.Service == p.Service && (p.Zone == "" || e.Zone == p.Zone)
}

const (
	// divideFrom is the number of endpoints from which a service is divided. Entries that know of one endpoint more or less
	// differ in it for a moment: then two collect for one endpoint, which turns away what it can't hold.
	divideFrom = 48
	// joinBelow is the number below which it is one pool again. The gap keeps endpoints that come and go near the bound from
	// dividing and joining it again and again.
	joinBelow = 36
	// leastInZone is how many endpoints a zone has at least for the service to be divided: calls of a smaller pool are less
	// full, and one slow endpoint is a large part of it.
	leastInZone = 8
)

// Divider knows which services are divided.
type Divider struct {
	// open counts the endpoints that may get new work, by service and zone.
	open    map[string]map[string]int
	divided map[string]bool
	// total counts all registered endpoints by service.
	total map[string]int
}

// New makes a divider that knows no endpoint.
func New() *Divider {
	return &Divider{open: make(map[string]map[string]int), divided: make(map[string]bool), total: make(map[string]int)}
}

// MarkDivided notes that a peer says that a service is divided. An entry that starts while endpoints are few would else take it for one
// pool beside those that know it as divided, and two would collect for each endpoint.
func (d *Divider) MarkDivided(service string) {
	if d.total[service] >= joinBelow {
		d.divided[service] = true
	}
}

// SetEndpoints takes all registered endpoints of stages' services, and which of them may get new work. Those that may not count
// for the division: an evacuation of one zone must not have all others collected anew.
func (d *Divider) SetEndpoints(registered, open []registrar.Endpoint) {
	all := count(registered)
	d.open = count(open)
	d.total = make(map[string]int, len(all))
	for service, zones := range all {
		for _, n := range zones {
			d.total[service] += n
		}
		d.divided[service] = d.divides(service, zones)
	}
	for service := range d.divided {
		if all[service] == nil {
			delete(d.divided, service)
		}
	}
}

func (d *Divider) divides(service string, zones map[string]int) bool {
	least := divideFrom
	for _, n := range zones {
		least = min(least, n)
	}
	if len(zones) < 2 {
		return false
	}
	if d.divided[service] {
		return d.total[service] >= joinBelow
	}
	return d.total[service] >= divideFrom && least >= leastInZone
}

func count(endpoints []registrar.Endpoint) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for i := range endpoints {
		e := &endpoints[i]
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		counts[e.Service][e.Zone]++
	}
	return counts
}

// Pools lists the pools of a service in the order of their names.
func (d *Divider) Pools(service string) []Pool {
	if !d.divided[service] {
		return []Pool{{Service: service}}
	}
	zones := slices.Sorted(maps.Keys(d.open[service]))
	pools := make([]Pool, 0, len(zones))
	for _, zone := range zones {
		pools = append(pools, Pool{Service: service, Zone: zone})
	}
	if len(pools) == 0 {
		return []Pool{{Service: service}}
	}
	return pools
}

// Query says for what a pool is chosen.
type Query struct {
	Service string
	// Draw is the same for all stages of a request, so that they are done in one zone as far as each has endpoints there.
	Seed uint64
	// Near is the zone where the results are wanted; empty where that is all the same.
	PreferredZone string
	// Allows tells whether the pieces may be made in a zone; nil where they may be in all.
	ZoneAllowed func(zone string) bool
	// Patience is how much longer the chosen pool may keep pieces waiting than the least loaded one.
	MaxExtraWait time.Duration
}

// Choose gives the pool that a request's pieces are asked for at. Each zone gets its part of the work by its number of
// endpoints; a pool with a longer wait than the others by more than the patience is passed over, so that a zone that has lost
// endpoints, or has the large requests of a moment, does not make its part of all requests late.
func (d *Divider) Choose(query Query, wait func(Pool) time.Duration) Pool {
	pools := d.Pools(query.Service)
	if len(pools) == 1 {
		return pools[0]
	}
	if query.ZoneAllowed != nil {
		pools = slices.DeleteFunc(pools, func(p Pool) bool { return !query.ZoneAllowed(p.Zone) })
	}
	if len(pools) == 0 {
		// Nothing may be made anywhere: the pool of all endpoints finds none that may get the pieces.
		return Pool{Service: query.Service}
	}
	chosen := d.drawn(pools, query.Seed)
	if near := (Pool{Service: query.Service, Zone: query.PreferredZone}); slices.Contains(pools, near) {
		chosen = near
	}
	best, least := chosen, wait(chosen)
	for _, p := range pools {
		if w := wait(p); w < least {
			best, least = p, w
		}
	}
	if wait(chosen) > least+query.MaxExtraWait {
		return best
	}
	return chosen
}

// drawn picks a pool in proportion to the pools' endpoints.
func (d *Divider) drawn(pools []Pool, draw uint64) Pool {
	total := 0
	for _, p := range pools {
		total += d.open[p.Service][p.Zone]
	}
	// The same part of the whole for all services, however many endpoints each has.
	at := int(float64(hasher.Mix(draw)) / math.MaxUint64 * float64(total))
	for _, p := range pools {
		if at -= d.open[p.Service][p.Zone]; at < 0 {
			return p
		}
	}
	return pools[len(pools)-1]
}
