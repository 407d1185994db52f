// Package router chooses the endpoint of a pool that a stage call goes to.
// It is pure: the present time and the random source are given to it.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/carrier"
)

// Defaults of Config.
const (
	DefaultSlots      = 8
	DefaultCandidates = 3
	// DefaultGoneAfter is how long an endpoint that the VM list no longer names is still used
	// while calls to it succeed. The list lags, so a missing name alone proves nothing.
	DefaultGoneAfter = 10 * time.Second
)

// Config sets a Router up. Zero fields take the defaults above.
type Config struct {
	Rand       *rand.Rand
	Candidates int
	GoneAfter  time.Duration
}

// Router knows the endpoints of all pools and this system's calls in flight to each.
type Router struct {
	cfg       Config
	pools     map[string][]*endpoint
	endpoints map[string]*endpoint
}

// New makes a router that knows no endpoint yet.
func New(cfg Config) *Router {
	if cfg.Candidates == 0 {
		cfg.Candidates = DefaultCandidates
	}
	if cfg.GoneAfter == 0 {
		cfg.GoneAfter = DefaultGoneAfter
	}
	return &Router{
		cfg:       cfg,
		pools:     map[string][]*endpoint{},
		endpoints: map[string]*endpoint{},
	}
}

// VM is one line of the platform's list of VMs that serves a pool.
type VM struct {
	Address string
	Zone    string
	Pool    string
	Leaving bool
}

// List takes the platform's list of VMs, which lags: a leaving mark is believed at once and for good,
// a missing line only after GoneAfter without a success.
func (r *Router) List(vms []VM, now time.Time) {
	for _, vm := range vms {
		e := r.learn(vm.Address, vm.Pool, vm.Zone, now)
		e.listed = now
		if vm.Leaving {
			e.leaving = true
		}
	}
	for address, e := range r.endpoints {
		if now.Sub(e.listed) > r.cfg.GoneAfter && now.Sub(e.succeeded) > r.cfg.GoneAfter && e.inFlight == 0 {
			r.forget(address)
		}
	}
}

func (r *Router) learn(address, pool, zone string, now time.Time) *endpoint {
	e, known := r.endpoints[address]
	if known {
		return e
	}
	e = &endpoint{address: address, pool: pool, zone: zone, slots: DefaultSlots, peers: map[string]int{}, listed: now}
	r.endpoints[address] = e
	r.pools[pool] = append(r.pools[pool], e)
	return e
}

func (r *Router) forget(address string) {
	e := r.endpoints[address]
	delete(r.endpoints, address)
	r.pools[e.pool] = slices.DeleteFunc(r.pools[e.pool], func(other *endpoint) bool { return other == e })
}

// Report takes an endpoint's own, lagging word on its load.
func (r *Router) Report(address string, report Report, now time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	if report.Slots > 0 {
		e.slots = report.Slots
	}
	if report.Leaving {
		e.leaving = true
	}
	e.report = report
	e.reported = now
}

// Report is an endpoint's word on its load as it was at AsOf.
type Report struct {
	AsOf    time.Time
	Running int
	Waiting int
	Slots   int
	Leaving bool
}

// PeerLoads takes a peer's calls in flight. A peer's word that an endpoint leaves is believed.
func (r *Router) PeerLoads(peer string, loads []carrier.EndpointLoad, now time.Time) {
	for _, e := range r.endpoints {
		e.peers[peer] = 0
	}
	for _, load := range loads {
		e, known := r.endpoints[load.Address]
		if !known {
			continue
		}
		e.peers[peer] = int(load.InFlight)
		if load.Leaving {
			e.leaving = true
		}
	}
}

// PeerGone forgets a dead peer's calls in flight.
func (r *Router) PeerGone(peer string) {
	for _, e := range r.endpoints {
		delete(e.peers, peer)
	}
}

// Ask says what a stage call needs of an endpoint.
type Ask struct {
	Pool string
	// Prefix is the hash of the prompt's beginning; 0 for none.
	Prefix uint64
	// Avoid holds the addresses that were tried already.
	Avoid []string
}

// Choose names a free endpoint of the pool, or none if all are full, leaving or ejected.
// An address to avoid is named only when no other is free.
func (r *Router) Choose(ask Ask, now time.Time) (string, bool) {
	pool := r.pools[ask.Pool]
	if len(pool) == 0 {
		return "", false
	}
	var best *endpoint
	start := r.cfg.Rand.IntN(len(pool))
	seen := 0
	for i := range pool {
		e := pool[(start+i)%len(pool)]
		if !e.free(now) || slices.Contains(ask.Avoid, e.address) {
			continue
		}
		if best == nil || e.load() < best.load() {
			best = e
		}
		seen++
		if seen == r.cfg.Candidates {
			break
		}
	}
	if best == nil && len(ask.Avoid) > 0 {
		ask.Avoid = nil
		return r.Choose(ask, now)
	}
	if best == nil {
		return "", false
	}
	return best.address, true
}

// Started counts a call as in flight.
func (r *Router) Started(address string, _ time.Time) {
	if e, known := r.endpoints[address]; known {
		e.inFlight++
	}
}

// Ended takes a call's end.
func (r *Router) Ended(address string, result Result, now time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	e.inFlight--
	switch result {
	case Succeeded:
		e.failures = 0
		e.succeeded = now
	case Failed:
		e.failures++
		if e.failures >= failuresToEject && r.mayEject(e.pool, now) {
			e.ejectedUntil = now.Add(ejection)
			e.failures = 0
		}
	case RefusedLeaving:
		e.leaving = true
	case Cancelled, RefusedBusy:
	}
}

// mayEject holds the share of a pool that may be ejected at once to half: when most of a pool fails
// the cause is not the endpoint, and ejecting all would turn slow answers into none.
func (r *Router) mayEject(pool string, now time.Time) bool {
	ejected := 0
	for _, e := range r.pools[pool] {
		if now.Before(e.ejectedUntil) {
			ejected++
		}
	}
	return (ejected+1)*2 <= len(r.pools[pool])
}

// Capacity is the count of slots of the pool that this entry may count on when entries live entries share it.
func (r *Router) Capacity(pool string, entries int, now time.Time) float64 {
	slots := 0
	for _, e := range r.pools[pool] {
		if e.usable(now) {
			slots += e.slots
		}
	}
	return float64(slots) / float64(max(entries, 1))
}

// Loads is what this entry tells its peers.
func (r *Router) Loads(now time.Time) []carrier.EndpointLoad {
	var loads []carrier.EndpointLoad
	for address, e := range r.endpoints {
		if e.inFlight == 0 && !e.leaving {
			continue
		}
		loads = append(loads, carrier.EndpointLoad{
			Address:  address,
			InFlight: int32(e.inFlight),
			Leaving:  e.leaving,
			Ejected:  now.Before(e.ejectedUntil),
		})
	}
	return loads
}

// Free tells whether any endpoint of the pool can take a call.
func (r *Router) Free(pool string, now time.Time) bool {
	return slices.ContainsFunc(r.pools[pool], func(e *endpoint) bool { return e.free(now) })
}

// prefixBytes is how much of a prompt's beginning decides where its cached prefix is looked for.
const prefixBytes = 256

// PrefixOf hashes a prompt's beginning.
func PrefixOf(input string) uint64 {
	return xxhash.Sum64String(input[:min(len(input), prefixBytes)])
}
