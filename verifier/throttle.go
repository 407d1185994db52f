package verifier

import (
	"container/list"
	"sync"
	"time"
)

// The throttle's defaults.
const (
	defaultBurst        = 20
	defaultPerMinute    = 60
	defaultMaxAddresses = 4096
)

// Config says how many wrong credentials an address may send. Zero fields take the defaults.
type Config struct {
	// Burst is how many wrong credentials an address may send at once.
	Burst int
	// PerMinute is how many more it may send each minute after that.
	PerMinute int
	// MaxAddresses is how many addresses are remembered; past it the one quiet for longest is forgotten.
	MaxAddresses int
}

// Verifier counts wrong credentials by the address that sent them. It is safe for concurrent use.
type Verifier struct {
	cfg Config

	mu        sync.Mutex
	addresses map[string]*list.Element
	recent    *list.List // of *allowance, the most recent in front
}

// allowance is a token bucket: one token pays for one wrong credential.
type allowance struct {
	address string
	tokens  float64
	at      time.Time
}

// New returns a Verifier that has seen no wrong credential yet.
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

// RecordFailure counts one wrong credential from the address (an IP without a port) and tells whether the
// address has now sent more than it may, so that the caller of RecordFailure should close the connection.
//
// Only wrong credentials are throttled. A right one passes even from a throttled address: clerks behind
// one NAT address would otherwise be locked out by one broken client, and tokens of 256 bits can't be
// found by trying, so the throttle guards the processor and the connections, not the tokens.
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

// Addresses returns how many addresses are remembered.
func (v *Verifier) Addresses() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.addresses)
}

func (v *Verifier) allowanceOf(address string, now time.Time) *allowance {
	if e, ok := v.addresses[address]; ok {
		v.recent.MoveToFront(e)
		return e.Value.(*allowance)
	}
	if len(v.addresses) >= v.cfg.MaxAddresses {
		oldest := v.recent.Back()
		delete(v.addresses, oldest.Value.(*allowance).address)
		v.recent.Remove(oldest)
	}
	a := &allowance{address: address, tokens: float64(v.cfg.Burst), at: now}
	v.addresses[address] = v.recent.PushFront(a)
	return a
}

func (a *allowance) refill(cfg Config, now time.Time) {
	minutes := now.Sub(a.at).Minutes()
	if minutes <= 0 {
		return
	}
	a.tokens = min(a.tokens+minutes*float64(cfg.PerMinute), float64(cfg.Burst))
	a.at = now
}
