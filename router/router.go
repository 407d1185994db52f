// Package router chooses the endpoint of a pool to which a stage call is sent. It is deterministic:
// callers pass in the current time and the random source.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/ejector"
)

// Default values of Config.
const (
	defaultSlots      = 8
	defaultCandidates = 4
	// DefaultForgetAfter is how long an endpoint that is missing from the VM list remains in use
	// without a sign of life. The list lags, so a missing address proves nothing by itself.
	DefaultForgetAfter = 10 * time.Second
	// defaultReuseWeight is the value of finding a whole prompt in an endpoint's cache, in units of
	// load.
	defaultReuseWeight = 4
	// defaultCacheMaps limits the number of endpoints whose cached prefixes are remembered, at 16
	// KB each.
	defaultCacheMaps = 256
)

// Config configures a Router. Zero fields take the default values above.
type Config struct {
	Rand         *rand.Rand
	Candidates   int
	ForgetAfter  time.Duration
	ReuseWeight  float64
	MaxCacheMaps int
	Ejector      ejector.Config
}

// Router holds the endpoints of all pools and the calls in flight to each of them. It is not safe
// for concurrent use: the reducer owns it.
type Router struct {
	cfg   Config
	pools map[string]*pool
	// order lists the pools in order of creation, so that replays visit them in the same order.
	order     []*pool
	endpoints map[string]*endpoint
	peers     map[string]*peer
	// active holds the endpoints that are reported to peers.
	active activeList
	// entries is the number of live entries that share the pools, and index the position of this
	// entry among them.
	entries   int
	index     int
	cacheMaps int
}

// New creates a router without endpoints.
func New(cfg Config) *Router {
	if cfg.Candidates == 0 {
		cfg.Candidates = defaultCandidates
	}
	if cfg.ForgetAfter == 0 {
		cfg.ForgetAfter = DefaultForgetAfter
	}
	if cfg.ReuseWeight == 0 {
		cfg.ReuseWeight = defaultReuseWeight
	}
	if cfg.MaxCacheMaps == 0 {
		cfg.MaxCacheMaps = defaultCacheMaps
	}
	return &Router{
		cfg:       cfg,
		pools:     map[string]*pool{},
		endpoints: map[string]*endpoint{},
		peers:     map[string]*peer{},
		entries:   1,
	}
}

// VM is an entry of the platform's VM list that serves a pool.
type VM struct {
	Address string
	Zone    string
	Pool    string
	Leaving bool
}

// UpdateVMs applies the platform's VM list, which lags. A missing address proves nothing by itself:
// its endpoint is removed only if it has also shown no sign of life for ForgetAfter.
func (r *Router) UpdateVMs(vms []VM, now time.Time) {
	for _, vm := range vms {
		e, known := r.endpoints[vm.Address]
		if known && e.pool.name != vm.Pool {
			r.removeEndpoint(e)
			known = false
		}
		if !known {
			e = r.addEndpoint(vm, now)
		}
		e.listedAt = now
		if e.listLeaving != vm.Leaving {
			e.listLeaving = vm.Leaving
			r.refresh(e)
		}
	}
	for _, p := range r.order {
		for _, e := range slices.Backward(p.all) {
			if e.expired(now, r.cfg.ForgetAfter) {
				r.removeEndpoint(e)
			}
		}
	}
}

func (r *Router) pool(name string) *pool {
	p, known := r.pools[name]
	if !known {
		p = &pool{name: name, slots: defaultSlots, health: ejector.NewPool(r.cfg.Ejector)}
		r.pools[name] = p
		r.order = append(r.order, p)
	}
	return p
}

// SetPool sets the configuration of a pool: the number of slots of an endpoint that has not
// reported its own, and whether its endpoints cache prompt prefixes.
func (r *Router) SetPool(name string, slots int, cachesPrompts bool) {
	p := r.pool(name)
	if slots <= 0 {
		slots = defaultSlots
	}
	p.cachesPrompts = cachesPrompts
	if p.slots == slots {
		return
	}
	p.slots = slots
	r.refreshPool(p)
}

// SetEntries sets the number of live entries that share the pools, and the position of this entry
// among them, ordered by name.
func (r *Router) SetEntries(index, n int) {
	r.index = index
	if r.entries == max(n, 1) {
		return
	}
	r.entries = max(n, 1)
	for _, p := range r.order {
		r.refreshPool(p)
	}
}

func (r *Router) addEndpoint(vm VM, now time.Time) *endpoint {
	p := r.pool(vm.Pool)
	e := newEndpoint(vm, p, now)
	r.endpoints[vm.Address] = e
	p.add(e)
	r.refresh(e)
	return e
}

func (r *Router) removeEndpoint(e *endpoint) {
	r.Release(e.address)
	e.removed = true
	r.refresh(e)
	r.active.set(e, false)
	delete(r.endpoints, e.address)
	e.pool.calls -= e.calls()
	e.pool.remove(e)
	if e.cache != nil {
		r.cacheMaps--
		e.cache = nil
	}
}
