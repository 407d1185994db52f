// Package scheduler orders the stage calls that wait for a slot in a pool of endpoints.
//
// Accounts share a pool by weight, measured in work and not in requests. Each account has a virtual
// time that advances by cost divided by weight, and the account with the lowest virtual time is
// served next (start-time fair queueing). Urgency classes are served in order, with a guaranteed
// fraction of the work for each class with waiting items.
package scheduler

import "time"

// Config configures a Scheduler. Zero fields take the default values.
type Config struct {
	// NormalGuarantee and RelaxedGuarantee are the fractions of a pool's work that these classes
	// receive while they have items, however much more urgent work is waiting.
	NormalGuarantee  float64
	RelaxedGuarantee float64
	// IdleCredit is how much idle time an account is compensated for: it may be served as much
	// earlier as if it had begun to wait then.
	IdleCredit time.Duration
}

// The default values of Config.
const (
	defaultNormalGuarantee  = 0.20
	defaultRelaxedGuarantee = 0.05
	defaultIdleCredit       = 1 * time.Second
)

// Scheduler holds the queues of all pools. It is not safe for concurrent use: the reducer owns it.
type Scheduler struct {
	guarantees [urgencyCount]float64
	idleCredit time.Duration
	pools      map[string]*pool
	poolNames  []string
	backlogs   map[string]int
	sequence   uint64
	freeNodes  *node
}

// New creates a Scheduler without pools. A pool is created with its first item.
func New(cfg Config) *Scheduler {
	if cfg.NormalGuarantee <= 0 {
		cfg.NormalGuarantee = defaultNormalGuarantee
	}
	if cfg.RelaxedGuarantee <= 0 {
		cfg.RelaxedGuarantee = defaultRelaxedGuarantee
	}
	if cfg.IdleCredit <= 0 {
		cfg.IdleCredit = defaultIdleCredit
	}
	return &Scheduler{
		idleCredit: cfg.IdleCredit,
		guarantees: [urgencyCount]float64{Normal: cfg.NormalGuarantee, Relaxed: cfg.RelaxedGuarantee},
		pools:      map[string]*pool{},
		backlogs:   map[string]int{},
	}
}

// Push adds an item to the pool's queue. An item whose ID is already queued is ignored.
func (s *Scheduler) Push(poolName string, item Item, now time.Time) {
	p := s.pool(poolName)
	if _, queued := p.nodes[item.ID]; queued {
		return
	}
	if item.Weight <= 0 {
		item.Weight = 1
	}
	s.backlogs[item.Account]++
	p.push(s.node(item), now)
}

// Pop removes and returns the item to serve next. It does not skip expired items: remove them with
// PopExpired first.
func (s *Scheduler) Pop(poolName string, now time.Time) (Item, bool) {
	p, ok := s.pools[poolName]
	if !ok {
		return Item{}, false
	}
	n := p.pop(now)
	if n == nil {
		return Item{}, false
	}
	return s.release(n), true
}

// PopExpired removes and returns an item whose deadline passed while it waited. Its account is not
// charged.
func (s *Scheduler) PopExpired(poolName string, now time.Time) (Item, bool) {
	p, ok := s.pools[poolName]
	if !ok {
		return Item{}, false
	}
	n := p.expired(now)
	if n == nil {
		return Item{}, false
	}
	p.remove(n)
	return s.release(n), true
}

// Remove removes an item from the queue, for example after its request was cancelled. It reports
// whether the item was queued.
func (s *Scheduler) Remove(poolName string, id uint64) bool {
	p, ok := s.pools[poolName]
	if !ok {
		return false
	}
	n, ok := p.nodes[id]
	if !ok {
		return false
	}
	p.remove(n)
	s.release(n)
	return true
}

// Charge corrects the work charged to an account in the pool by the difference between the actual
// and the expected cost of an item. extraCost is below 0 if the item cost less than expected.
func (s *Scheduler) Charge(poolName, accountName string, extraCost float64) {
	p, ok := s.pools[poolName]
	if !ok {
		return
	}
	a, ok := p.accounts[accountName]
	if !ok {
		return
	}
	f := a.flows[a.lastServed]
	if f == nil || f.weight <= 0 {
		return
	}
	f.class.charge(f, extraCost)
	p.drain.work += extraCost
}

// Len returns the number of items that wait in the pool.
func (s *Scheduler) Len(poolName string) int {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return p.expiry.len()
}

// Backlog returns the expected cost of the items that wait in the pool, in endpoint milliseconds.
func (s *Scheduler) Backlog(poolName string) float64 {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return p.backlog()
}

// AccountBacklog returns the number of the account's items that wait, over all pools.
func (s *Scheduler) AccountBacklog(account string) int { return s.backlogs[account] }

// AccountCount returns the number of accounts that the pool keeps state for: those with items
// waiting or announced, and those served too recently to be removed.
func (s *Scheduler) AccountCount(poolName string) int {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return len(p.accounts)
}

// Pools returns the names of the pools that have held an item, in order of creation.
func (s *Scheduler) Pools() []string { return s.poolNames }

// Announce registers an item that will be pushed to the pool after its earlier stages. Without it,
// all requests admitted while the first of them are still at earlier stages would see an empty
// queue. Withdraw removes the announcement when the item is pushed or its request ends.
func (s *Scheduler) Announce(poolName string, item Item) {
	s.announce(s.pool(poolName), item, item.Cost)
}

// Withdraw removes an announcement. item must be equal to the announced one.
func (s *Scheduler) Withdraw(poolName string, item Item) {
	if p, ok := s.pools[poolName]; ok {
		s.announce(p, item, -item.Cost)
	}
}

func (s *Scheduler) announce(p *pool, item Item, cost float64) {
	f := p.flow(item.Account, min(item.Urgency, Relaxed))
	f.class.announce(f, cost, max(item.Weight, minimumWeight))
}

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = newPool(name, s.guarantees, s.idleCredit)
		s.pools[name] = p
		s.poolNames = append(s.poolNames, name)
	}
	return p
}

func (s *Scheduler) node(item Item) *node {
	n := s.freeNodes
	if n == nil {
		n = &node{}
	} else {
		s.freeNodes = n.nextFree
	}
	s.sequence++
	*n = node{item: item, sequence: s.sequence}
	return n
}

func (s *Scheduler) release(n *node) Item {
	item := n.item
	s.backlogs[item.Account]--
	if s.backlogs[item.Account] <= 0 {
		delete(s.backlogs, item.Account)
	}
	*n = node{nextFree: s.freeNodes}
	s.freeNodes = n
	return item
}
