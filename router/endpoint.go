package router

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/ejector"
)

// endpoint is the state of one endpoint.
type endpoint struct {
	address string
	pool    *pool
	zone    string
	// ringHash is the hash of the address, which is its position on the pool's ring.
	ringHash uint64

	// slots is the slot count that the endpoint reported, or 0 before its first report.
	slots int
	// inFlight counts the calls of this entry, peerCalls those that other entries reported in their
	// heartbeats.
	inFlight  int
	peerCalls int
	// smoothedPeerCalls is peerCalls smoothed over time, see smoothPeerCalls.
	smoothedPeerCalls float64
	smoothedAt        time.Time
	// unattributed is the number of reported calls in excess of those that were known at the time
	// of the report.
	unattributed   float64
	unattributedAt time.Time
	history        callHistory
	reportedAt     time.Time
	succeededAt    time.Time
	listedAt       time.Time
	queued         int

	// listLeaving is set from the VM list, selfLeaving from the endpoint itself as of
	// selfLeavingAt. peerLeaving counts the peers that have observed that the endpoint is leaving.
	listLeaving   bool
	selfLeaving   bool
	selfLeavingAt time.Time
	peerLeaving   int

	health ejector.Record
	// peerEjected counts the peers that have ejected the endpoint.
	peerEjected int

	cache     *cacheMap
	cacheNext int64

	// reserved is set while the endpoint is reserved for a single call.
	reserved bool
	removed  bool

	// usableSlots and probeSlots are this endpoint's contribution to the sums of its pool.
	usableSlots    int
	probeSlots     int
	allIndex       int
	availableIndex int
	unhealthyIndex int
	activeIndex    int
}

func newEndpoint(vm VM, p *pool, now time.Time) *endpoint {
	return &endpoint{
		address:        vm.Address,
		pool:           p,
		zone:           vm.Zone,
		ringHash:       xxhash.Sum64String(vm.Address),
		listedAt:       now,
		availableIndex: -1,
		unhealthyIndex: -1,
		activeIndex:    -1,
	}
}

// halfCall rounds estimated call counts.
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

// estimatedCalls is the estimated number of calls of all entries at the endpoint.
func (e *endpoint) estimatedCalls() float64 { return float64(e.inFlight) + e.smoothedPeerCalls }

// load is the estimated calls per slot including one new call, scaled by the endpoint's slowness.
func (e *endpoint) load(now time.Time) float64 {
	calls := e.estimatedCalls() + 1 + e.unattributedCalls(now)
	return calls / float64(e.capacity()) * e.health.Slowness()
}

// hasFreeSlot reports whether the endpoint can accept a call from one of the entries that share it.
//
// The calls reported by peers are as old as their heartbeats. If they counted as current, slots
// that were freed since would stay idle, and one entry could be kept from an endpoint forever. So
// each entry may always use an even share of the slots, whatever its peers report.
func (e *endpoint) hasFreeSlot(entries int) bool {
	if e.leaving() || e.removed || e.reserved {
		return false
	}
	switch e.health.State() {
	case ejector.Ejected:
		return false
	case ejector.Probing:
		return e.inFlight == 0
	default:
		slots := e.capacity()
		return e.estimatedCalls() < float64(slots)-halfCall || e.inFlight < max(slots/entries, 1)
	}
}

// expired reports whether the endpoint has no calls in flight and has shown no sign of life for
// longer than after.
func (e *endpoint) expired(now time.Time, after time.Duration) bool {
	return e.inFlight == 0 &&
		now.Sub(e.listedAt) > after &&
		now.Sub(e.succeededAt) > after &&
		now.Sub(e.reportedAt) > after
}

// Status is the state of an endpoint as shown to operators.
type Status struct {
	Address  string
	Pool     string
	Zone     string
	State    string
	InFlight int
	Queued   int
}

// Endpoints returns the status of all known endpoints, sorted by pool and address.
func (r *Router) Endpoints(now time.Time) []Status {
	all := make([]Status, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		all = append(all, Status{
			Address:  e.address,
			Pool:     e.pool.name,
			Zone:     e.zone,
			State:    e.state(),
			InFlight: e.inFlight,
			Queued:   e.queued,
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

// PoolAddresses returns the sorted addresses of the pool's endpoints that are not leaving.
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

// Addresses returns the sorted addresses of all known endpoints, which are to be polled for load
// reports.
func (r *Router) Addresses() []string {
	addresses := make([]string, 0, len(r.endpoints))
	for address := range r.endpoints {
		addresses = append(addresses, address)
	}
	slices.Sort(addresses)
	return addresses
}
