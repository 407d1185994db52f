// Package router chooses the endpoint of a pool that a stage call goes to.
// It is pure: the present time and the random source are given to it.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/ejector"
)

// Defaults of Config.
const (
	defaultSlots      = 8
	defaultCandidates = 4
	// DefaultForgetAfter is how long an endpoint that the VM list no longer names is still used
	// without a sign of life. The list lags, so a missing name alone proves nothing.
	DefaultForgetAfter = 10 * time.Second
	// defaultReuseWeight is what a whole prompt found in an endpoint's cache is worth, in loads.
	defaultReuseWeight = 4
	// defaultCacheMaps bounds the endpoints whose cached prefixes are remembered, 16 KB each.
	defaultCacheMaps = 256
)

// Config sets a Router up. Zero fields take the defaults above.
type Config struct {
	Rand         *rand.Rand
	Candidates   int
	ForgetAfter  time.Duration
	ReuseWeight  float64
	MaxCacheMaps int
	Ejector      ejector.Config
}

// Router knows the endpoints of all pools and this system's calls in flight to each.
// It is not safe for concurrent use: the reducer owns it.
type Router struct {
	cfg   Config
	pools map[string]*pool
	// order is the pools in the order in which they came to be, so that a replay goes the same way.
	order     []*pool
	endpoints map[string]*endpoint
	peers     map[string]*peer
	// active are the endpoints that peers are told of.
	active active
	// entries is how many live entries share the pools, index this one's place among them.
	entries   int
	index     int
	cacheMaps int
}

// New makes a router that knows no endpoint yet.
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

// VM is one line of the platform's list of VMs that serves a pool.
type VM struct {
	Address string
	Zone    string
	Pool    string
	Leaving bool
}

// UpdateVMs takes the platform's list of VMs, which lags. A missing line alone proves nothing: an endpoint
// is forgotten when besides it gave no sign of life for GoneAfter.
func (r *Router) UpdateVMs(vms []VM, now time.Time) {
	for _, vm := range vms {
		e, known := r.endpoints[vm.Address]
		if known && e.pool.name != vm.Pool {
			r.forget(e)
			known = false
		}
		if !known {
			e = r.learn(vm, now)
		}
		e.listed = now
		if e.listLeaving != vm.Leaving {
			e.listLeaving = vm.Leaving
			r.refresh(e)
		}
	}
	for _, p := range r.order {
		for _, e := range slices.Backward(p.all) {
			if e.gone(now, r.cfg.ForgetAfter) {
				r.forget(e)
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

// SetPool takes what the configuration says of a pool: the slots of an endpoint that has not reported
// its own, and whether its endpoints cache prompt prefixes.
func (r *Router) SetPool(name string, slots int, caches bool) {
	p := r.pool(name)
	if slots <= 0 {
		slots = defaultSlots
	}
	p.caches = caches
	if p.slots == slots {
		return
	}
	p.slots = slots
	r.refreshPool(p)
}

// SetEntries tells how many live entries share the pools, and this one's place among them by name.
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

func (r *Router) learn(vm VM, now time.Time) *endpoint {
	p := r.pool(vm.Pool)
	e := newEndpoint(vm, p, now)
	r.endpoints[vm.Address] = e
	p.add(e)
	r.refresh(e)
	return e
}

func (r *Router) forget(e *endpoint) {
	r.Release(e.address)
	e.forgotten = true
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
