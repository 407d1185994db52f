// Package limiter decides whether an entry may admit a request under limits that hold for the whole
// system. Each entry takes a share of a client account's limits, based on its own demand and on
// what its peers report in heartbeats, so that no entry has to ask another for permission.
package limiter

import (
	"time"
)

// Limits are the limits of one client account over the whole system.
type Limits struct {
	// RatePerSecond is the number of admitted requests per second.
	RatePerSecond float64
	// Burst is the number of requests that may be admitted at once after a period without requests.
	Burst float64
	// Concurrency is the maximum number of requests in flight; 0 means no limit.
	Concurrency int
	// CostPerSecond is the cost in endpoint milliseconds per second; 0 means no limit.
	CostPerSecond float64
}

// Config configures a Limiter. Zero fields take the default values.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// FloorShare is the fraction of each limit that is always split evenly over the entries, so
	// that an entry without known demand can admit its first requests.
	FloorShare float64
	// PeerTimeout is how long a peer may be silent before its share is reserved for it.
	PeerTimeout time.Duration
	// PeerDecay is how long after that the share of a silent peer takes to converge to an even
	// share.
	PeerDecay time.Duration
	// Heartbeat is the interval at which peers report. Borrowing is limited per interval.
	Heartbeat time.Duration
	// UsageTTL is how long a peer's report on an account remains valid without being repeated.
	UsageTTL time.Duration
	// UsageRefresh is the interval at which unchanged usage is reported again.
	UsageRefresh time.Duration
	// MaxReportedAccounts limits the number of accounts reported in one heartbeat.
	MaxReportedAccounts int
}

// The default values of Config.
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

// Limiter holds one entry's view of the usage of all client accounts. It is not safe for concurrent
// use: the reducer owns it.
type Limiter struct {
	cfg    Config
	limits map[string]Limits
	// accounts holds the state of accounts that are in use here or at a peer. An idle account has
	// only its limits, since its state would equal that of a new one.
	accounts map[string]*account
	// active lists the accounts in order of creation, so that replays visit them in the same order.
	active []*account
	// freeAccounts holds released account structs for reuse.
	freeAccounts []*account

	peers map[string]*peer
	// peerOrder lists the peers in the order of their first reports. Sums over them must be the
	// same in a replay.
	peerOrder        []*peer
	silent           []*peer
	silenceCheckedAt time.Time
	// entries is the number of entries, including this one.
	entries int
}

// New creates a Limiter without accounts and peers.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:      cfg.withDefaults(),
		limits:   map[string]Limits{},
		accounts: map[string]*account{},
		peers:    map[string]*peer{},
		entries:  1,
	}
}

// SetLimits sets an account's limits. The account's current usage is kept.
func (l *Limiter) SetLimits(name string, limits Limits, now time.Time) {
	limits.Burst = max(limits.Burst, 1)
	l.limits[name] = limits
	if a, ok := l.accounts[name]; ok {
		a.refill(now)
		a.setLimits(limits, l.cfg.Heartbeat)
	}
}

// RemoveAccount removes an account. Release has no effect for its requests in flight.
func (l *Limiter) RemoveAccount(name string) {
	delete(l.limits, name)
	if a, ok := l.accounts[name]; ok {
		delete(l.accounts, name)
		a.removed = true
	}
}

// account returns the state of an account that has limits, or nil. A new state equals that of an
// idle account.
func (l *Limiter) account(name string, now time.Time) *account {
	if a, ok := l.accounts[name]; ok {
		return a
	}
	limits, ok := l.limits[name]
	if !ok {
		return nil
	}
	a := l.newAccount()
	*a = account{name: name, filledAt: now, allocationStale: true, peerUses: a.peerUses[:0]}
	a.setLimits(limits, l.cfg.Heartbeat)
	l.accounts[name] = a
	l.active = append(l.active, a)
	l.update(a, now)
	a.requests.fill(a.allocation)
	a.cost.fill(a.allocation)
	return a
}

func (l *Limiter) newAccount() *account {
	last := len(l.freeAccounts) - 1
	if last < 0 {
		return &account{}
	}
	a := l.freeAccounts[last]
	l.freeAccounts = l.freeAccounts[:last]
	return a
}

// Admit decides whether to admit a request of the account, given its expected cost in endpoint
// milliseconds. An admitted request counts as in flight until Release.
func (l *Limiter) Admit(name string, cost float64, now time.Time) Decision {
	a := l.account(name, now)
	if a == nil {
		return refuse(ReasonUnknownAccount, retryUnknownAccount)
	}
	a.demand.add(now, 1)
	l.update(a, now)
	decision := a.admit(cost)
	if _, admitted := decision.(Admitted); admitted {
		a.rate.add(now, 1)
		a.costRate.add(now, cost)
	}
	return decision
}

// Release ends an admitted request and corrects its cost. Costs are in endpoint milliseconds.
func (l *Limiter) Release(name string, estimatedCost, actualCost float64, now time.Time) {
	a, ok := l.accounts[name]
	if !ok {
		return
	}
	a.refill(now)
	a.release(actualCost - estimatedCost)
}

// Share returns the fraction of the account's limits that this entry may use now, its rate of
// admitted requests per second, and its number of requests in flight.
func (l *Limiter) Share(name string, now time.Time) (share float64, rate float64, inFlight int) {
	a := l.account(name, now)
	if a == nil {
		return 0, 0, 0
	}
	l.update(a, now)
	return a.allocation.share, a.rate.at(now), a.inFlight
}
