// Package limiter decides whether an entry may admit a request under limits that hold for
// the whole system. Each entry takes a part of a client account's limits by its own demand
// and by what its peers report in heartbeats, so no entry has to ask another for leave.
package limiter

import (
	"time"
)

// Limits are one client account's limits over the whole system.
type Limits struct {
	// RatePerSecond is admitted requests a second.
	RatePerSecond float64
	// Burst is how many requests may be admitted at once after a quiet time.
	Burst float64
	// Concurrency is how many requests may be in flight at once; 0 sets no limit.
	Concurrency int
	// CostPerSecond is endpoint milliseconds a second; 0 sets no limit.
	CostPerSecond float64
}

// Config sets a Limiter up. Zero values take the defaults.
type Config struct {
	// Entry is this entry's name.
	Entry string
	// FloorShare is the part of each limit that is always split evenly over the entries, so
	// that an entry with no known demand can answer its first requests.
	FloorShare float64
	// PeerTimeout is how long a peer may be unheard before its part is set aside for it.
	PeerTimeout time.Duration
	// PeerDecay is how long a silent peer's part takes to become an even one after that.
	PeerDecay time.Duration
	// Heartbeat is how often peers report; borrowing is bounded for each.
	Heartbeat time.Duration
	// UsageTTL is how long a peer's report on an account holds without being repeated.
	UsageTTL time.Duration
	// UsageRefresh is how often an unchanged use is repeated to peers.
	UsageRefresh time.Duration
	// MaxReportedAccounts bounds the uses in one heartbeat.
	MaxReportedAccounts int
}

// The defaults of Config.
const (
	defaultFloorShare  = 0.05
	defaultPeerSilence = 500 * time.Millisecond
	defaultPeerDecay   = 5 * time.Second
	defaultHeartbeat   = 200 * time.Millisecond
	defaultUseLifetime = 3 * time.Second
	defaultUseRefresh  = time.Second
	defaultMaxUses     = 4096
)

func (cfg Config) withDefaults() Config {
	if cfg.FloorShare <= 0 {
		cfg.FloorShare = defaultFloorShare
	}
	if cfg.PeerTimeout <= 0 {
		cfg.PeerTimeout = defaultPeerSilence
	}
	if cfg.PeerDecay <= 0 {
		cfg.PeerDecay = defaultPeerDecay
	}
	if cfg.Heartbeat <= 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	if cfg.UsageTTL <= 0 {
		cfg.UsageTTL = defaultUseLifetime
	}
	if cfg.UsageRefresh <= 0 {
		cfg.UsageRefresh = defaultUseRefresh
	}
	if cfg.MaxReportedAccounts <= 0 {
		cfg.MaxReportedAccounts = defaultMaxUses
	}
	return cfg
}

// Limiter holds one entry's view of every client account's use. It is not safe for
// concurrent use: the reducer owns it.
type Limiter struct {
	cfg    Config
	limits map[string]Limits
	// accounts holds the state of accounts that are in use here or at a peer. One that is at
	// rest has only its limits: it is worth as much as a new one.
	accounts map[string]*account
	// used lists them in the order in which they came to be, so that replays agree.
	used []*account
	// unused keeps the memory of accounts that came to rest.
	unused []*account

	peers map[string]*peer
	// order lists the peers in the order in which they were first heard: sums over them must
	// come out the same in a replay.
	order      []*peer
	silent     []*peer
	listenedAt time.Time
	// entries is how many entries there are, this one included.
	entries int
}

// New makes a Limiter that knows no account and no peer.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:      cfg.withDefaults(),
		limits:   map[string]Limits{},
		accounts: map[string]*account{},
		peers:    map[string]*peer{},
		entries:  1,
	}
}

// SetLimits sets an account's limits, keeping what it has in use.
func (l *Limiter) SetLimits(name string, limits Limits, now time.Time) {
	limits.Burst = max(limits.Burst, 1)
	l.limits[name] = limits
	if a, ok := l.accounts[name]; ok {
		a.refill(now)
		a.setLimits(limits, l.cfg.Heartbeat)
	}
}

// RemoveAccount forgets an account. Its requests in flight end without a Release counting.
func (l *Limiter) RemoveAccount(name string) {
	delete(l.limits, name)
	if a, ok := l.accounts[name]; ok {
		delete(l.accounts, name)
		a.removed = true
	}
}

// account gives the state of an account that has limits, or nil. A new one begins with what
// a rested one has.
func (l *Limiter) account(name string, now time.Time) *account {
	if a, ok := l.accounts[name]; ok {
		return a
	}
	limits, ok := l.limits[name]
	if !ok {
		return nil
	}
	a := l.newAccount()
	*a = account{name: name, filledAt: now, stale: true, peerUses: a.peerUses[:0]}
	a.setLimits(limits, l.cfg.Heartbeat)
	l.accounts[name] = a
	l.used = append(l.used, a)
	l.update(a, now)
	a.requests.fill(a.portion)
	a.cost.fill(a.portion)
	return a
}

func (l *Limiter) newAccount() *account {
	last := len(l.unused) - 1
	if last < 0 {
		return &account{}
	}
	a := l.unused[last]
	l.unused = l.unused[:last]
	return a
}

// Admit decides on one request of the account with the expected cost in endpoint
// milliseconds. An admitted request counts as in flight until Release.
func (l *Limiter) Admit(name string, cost float64, now time.Time) Decision {
	a := l.account(name, now)
	if a == nil {
		return refuse(ReasonUnknownAccount, retryUnknownAccount)
	}
	a.demand.add(now, 1)
	l.update(a, now)
	verdict := a.admit(cost)
	if _, admitted := verdict.(Admitted); admitted {
		a.rate.add(now, 1)
		a.costRate.add(now, cost)
	}
	return verdict
}

// Release ends a request that was admitted and sets its cost right.
func (l *Limiter) Release(name string, estimatedCost, actualCost float64, now time.Time) {
	a, ok := l.accounts[name]
	if !ok {
		return
	}
	a.refill(now)
	a.release(actualCost - estimatedCost)
}

// Share gives the part of the account's limits that this entry may use now, the rate in
// requests a second that it admits, and its requests in flight.
func (l *Limiter) Share(name string, now time.Time) (share float64, rate float64, inFlight int) {
	a := l.account(name, now)
	if a == nil {
		return 0, 0, 0
	}
	l.update(a, now)
	return a.portion.share, a.rate.at(now), a.inFlight
}
