package router

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/ejector"
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	address string
	pool    *pool
	zone    string
	// ring is the hash of the address, its place on the pool's ring.
	ring uint64

	// slots is what the endpoint reported; 0 until then.
	slots int
	// inFlight counts this entry's calls, peerCalls those of other entries by their heartbeats.
	inFlight  int
	peerCalls int
	// peerMean is peerCalls smoothed, see settle.
	peerMean   float64
	peerMeanAt time.Time
	// foreign is what a report counted beyond the calls that were known of at its time.
	foreign   float64
	foreignAt time.Time
	past      past
	reported  time.Time
	succeeded time.Time
	listed    time.Time
	waiting   int

	// listLeaving is what the VM list says, selfLeaving what the endpoint says as of selfLeavingAt,
	// peerLeaving counts the peers that know it at first hand.
	listLeaving   bool
	selfLeaving   bool
	selfLeavingAt time.Time
	peerLeaving   int

	health ejector.Record
	// peerEjected counts the peers that have ejected the endpoint.
	peerEjected int

	cache     *cacheMap
	cacheNext int64

	// reserved tells that the endpoint is kept for one call that runs alone.
	reserved  bool
	forgotten bool

	// usableSlots and probeSlots are what the pool's sums hold for it.
	usableSlots int
	probeSlots  int
	allIndex    int
	freeIndex   int
	outIndex    int
	activeIndex int
}

func newEndpoint(vm VM, p *pool, now time.Time) *endpoint {
	return &endpoint{
		address:     vm.Address,
		pool:        p,
		zone:        vm.Zone,
		ring:        xxhash.Sum64String(vm.Address),
		listed:      now,
		freeIndex:   -1,
		outIndex:    -1,
		activeIndex: -1,
	}
}

// halfCall rounds an estimate of calls.
const halfCall = 0.5

func (e *endpoint) leaving() bool {
	return e.listLeaving || e.selfLeaving || e.peerLeaving > 0
}

func (e *endpoint) capacity() int {
	if e.slots > 0 {
		return e.slots
	}
	return e.pool.slots
}

func (e *endpoint) calls() int { return e.inFlight + e.peerCalls }

// estimate is the calls of all entries that are likely to be at the endpoint.
func (e *endpoint) estimate() float64 { return float64(e.inFlight) + e.peerMean }

// load is the estimated calls at the endpoint for each of its slots, with one more call.
func (e *endpoint) load(now time.Time) float64 {
	calls := e.estimate() + 1 + e.foreignCalls(now)
	return calls / float64(e.capacity()) * e.health.Slowness()
}

// free tells whether the endpoint can take a call of an entry that shares it with others.
//
// What peers have in flight is as old as their heartbeats. Taken as current it would leave slots idle
// that they freed since, and could keep one entry from an endpoint for ever; so each entry may have its
// even share of the slots in flight whatever the peers say.
func (e *endpoint) free(entries int) bool {
	if e.leaving() || e.forgotten || e.reserved {
		return false
	}
	switch e.health.State() {
	case ejector.Ejected:
		return false
	case ejector.Probing:
		return e.inFlight == 0
	default:
		slots := e.capacity()
		return e.estimate() < float64(slots)-halfCall || e.inFlight < max(slots/entries, 1)
	}
}

// gone tells whether nothing speaks for the endpoint any more.
func (e *endpoint) gone(now time.Time, after time.Duration) bool {
	return e.inFlight == 0 &&
		now.Sub(e.listed) > after &&
		now.Sub(e.succeeded) > after &&
		now.Sub(e.reported) > after
}

// Status is an endpoint as operators see it.
type Status struct {
	Address  string
	Pool     string
	Zone     string
	State    string
	InFlight int
	Queued   int
}

// Endpoints lists all known endpoints by pool and address.
func (r *Router) Endpoints(now time.Time) []Status {
	all := make([]Status, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		all = append(all, Status{
			Address:  e.address,
			Pool:     e.pool.name,
			Zone:     e.zone,
			State:    e.state(),
			InFlight: e.inFlight,
			Queued:   e.waiting,
		})
	}
	slices.SortFunc(all, func(a, b Status) int {
		if order := strings.Compare(a.Pool, b.Pool); order != 0 {
			return order
		}
		return strings.Compare(a.Address, b.Address)
	})
	return all
}

func (e *endpoint) state() string {
	switch {
	case e.leaving():
		return "leaving"
	case e.health.State() == ejector.Ejected:
		return "ejected"
	case e.health.State() == ejector.Probing:
		return "probing"
	default:
		return "live"
	}
}

// PoolAddresses lists the endpoints of a pool that are not leaving, by address.
func (r *Router) PoolAddresses(name string) []string {
	p, known := r.pools[name]
	if !known {
		return nil
	}
	addresses := make([]string, 0, len(p.all))
	for _, e := range p.all {
		if !e.leaving() {
			addresses = append(addresses, e.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// Addresses lists the endpoints that a load report should be asked of.
func (r *Router) Addresses() []string {
	addresses := make([]string, 0, len(r.endpoints))
	for address := range r.endpoints {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
