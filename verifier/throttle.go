package verifier

import (
	"container/list"
	"sync"
	"time"
)

// Defaults for zero fields of Config.
const (
	defaultBurst        = 20
	defaultPerMinute    = 60
	defaultMaxAddresses = 4096
)

// Config limits the wrong credentials of an address. Zero fields take the defaults.
type Config struct {
	// Burst is the number of wrong credentials that an address may send at once.
	Burst int
	// PerMinute is the number of further wrong credentials allowed per minute.
	PerMinute int
	// MaxAddresses is the maximum number of addresses that are tracked. Beyond it, the least recently used is dropped.
	MaxAddresses int
}

// Verifier throttles wrong credentials per address. It is safe for concurrent use.
type Verifier struct {
	cfg Config

	mu        sync.Mutex
	addresses map[string]*list.Element
	recent    *list.List // of *allowance, most recently used first
}

// allowance is the token bucket of an address. Each wrong credential consumes one token.
type allowance struct {
	address    string
	tokens     float64
	refilledAt time.Time
}

// New returns a Verifier that tracks no addresses yet.
func New(cfg Config) *Verifier {
	if cfg.Burst <= 0 {
		cfg.Burst = defaultBurst
	}
	if cfg.PerMinute <= 0 {
		cfg.PerMinute = defaultPerMinute
	}
	if cfg.MaxAddresses <= 0 {
		cfg.MaxAddresses = defaultMaxAddresses
	}
	return &Verifier{
		cfg:       cfg,
		addresses: make(map[string]*list.Element),
		recent:    list.New(),
	}
}

// RecordFailure records a wrong credential from the address, an IP without a port. It reports whether the address has
// exceeded its limit, in which case the connection should be closed.
//
// Only wrong credentials are throttled. A right one is accepted even from a throttled address, since otherwise one broken
// client would lock out everyone behind the same NAT address. Tokens of 256 bits can't be found by brute force, so the
// throttle protects the CPU and the connections, not the tokens.
func (v *Verifier) RecordFailure(address string, now time.Time) (throttled bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.allowanceOf(address, now)
	a.refill(v.cfg, now)
	if a.tokens < 1 {
		return true
	}
	a.tokens--
	return false
}

// Addresses returns the number of tracked addresses.
func (v *Verifier) Addresses() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.addresses)
}

// allowanceOf returns the allowance of the address, adding a full one if the address is not tracked.
func (v *Verifier) allowanceOf(address string, now time.Time) *allowance {
	if e, ok := v.addresses[address]; ok {
		v.recent.MoveToFront(e)
		return e.Value.(*allowance)
	}
	if len(v.addresses) >= v.cfg.MaxAddresses {
		leastRecent := v.recent.Back()
		delete(v.addresses, leastRecent.Value.(*allowance).address)
		v.recent.Remove(leastRecent)
	}
	a := &allowance{address: address, tokens: float64(v.cfg.Burst), refilledAt: now}
	v.addresses[address] = v.recent.PushFront(a)
	return a
}

// refill adds the tokens for the time since the last refill, up to Burst.
func (a *allowance) refill(cfg Config, now time.Time) {
	minutes := now.Sub(a.refilledAt).Minutes()
	if minutes <= 0 {
		return
	}
	a.tokens = min(a.tokens+minutes*float64(cfg.PerMinute), float64(cfg.Burst))
	a.refilledAt = now
}
