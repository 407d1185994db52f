// Package scheduler orders the stage calls that wait for a place in a pool of endpoints.
//
// Accounts share a pool by weight in work, not in requests: each has a virtual time that
// moves on by cost over weight, and the account that is furthest behind goes next
// (start-time fair queueing). Urgency classes go in order, with a guaranteed part of the
// work for each class that waits.
package scheduler

import "time"

// Config sets a Scheduler up. Zero values take the defaults.
type Config struct {
	// NormalGuarantee and RelaxedGuarantee are the parts of a pool's work that these classes
	// get while they have items, however much more urgent work waits.
	NormalGuarantee  float64
	RelaxedGuarantee float64
	// IdleCredit is the idle time that an account is made up for: its turn may come as much
	// earlier as if it had begun to wait then.
	IdleCredit time.Duration
}

// The defaults of Config.
const (
	defaultNormalGuarantee  = 0.20
	defaultRelaxedGuarantee = 0.05
	defaultIdleCredit       = 1 * time.Second
)

// Scheduler holds the queues of all pools. It is not safe for concurrent use: the reducer
// owns it.
type Scheduler struct {
	guarantees [urgencyCount]float64
	idleCredit time.Duration
	pools      map[string]*pool
	names      []string
	backlogs   map[string]int
	sequence   uint64
	unused     *node
}

// New makes a Scheduler with no pool; a pool comes to be with its first item.
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

// Push lets an item wait in the pool. An item whose ID waits there already is ignored.
func (s *Scheduler) Push(poolName string, item Item, now time.Time) {
	p := s.pool(poolName)
	if _, waits := p.nodes[item.ID]; waits {
		return
	}
	if item.Weight <= 0 {
		item.Weight = 1
	}
	s.backlogs[item.Account]++
	p.push(s.node(item), now)
}

// Pop takes out the item that goes next. Expired items are not passed over: PopExpired
// takes them out first.
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

// PopExpired takes out an item whose deadline passed while it waited; its account is not charged.
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

// Remove takes an item out, as when its request was cancelled, and tells whether it waited.
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

// Charge sets an account's account of work in the pool right by what an item cost beyond
// its expected cost; extraCost is below 0 when it cost less.
func (s *Scheduler) Charge(poolName, accountName string, extraCost float64) {
	p, ok := s.pools[poolName]
	if !ok {
		return
	}
	a, ok := p.accounts[accountName]
	if !ok {
		return
	}
	f := a.flows[a.served]
	if f == nil || f.weight <= 0 {
		return
	}
	f.class.charge(f, extraCost)
	p.drain.work += extraCost
}

// Len is the number of items that wait in the pool.
func (s *Scheduler) Len(poolName string) int {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return p.expiry.len()
}

// Backlog is the expected cost of the items that wait in the pool, in endpoint milliseconds.
func (s *Scheduler) Backlog(poolName string) float64 {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return p.backlog()
}

// AccountBacklog is the number of the account's items that wait in all pools.
func (s *Scheduler) AccountBacklog(account string) int { return s.backlogs[account] }

// AccountCount is how many accounts the pool remembers: those with items waiting or announced, and
// those that were served too lately to be forgotten.
func (s *Scheduler) AccountCount(poolName string) int {
	p, ok := s.pools[poolName]
	if !ok {
		return 0
	}
	return len(p.accounts)
}

// Pools lists the pools that have held an item, in the order in which they came to be.
func (s *Scheduler) Pools() []string { return s.names }

// Announce tells that the item will come to the pool after its earlier stages. Without it
// all that is admitted while the first of them are still on their way would see an empty
// queue. Withdraw takes the announcement back, when the item is pushed or its request ends.
func (s *Scheduler) Announce(poolName string, item Item) {
	s.announce(s.pool(poolName), item, item.Cost)
}

// Withdraw takes an announcement back; the item must be the one that was announced.
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
		s.names = append(s.names, name)
	}
	return p
}

func (s *Scheduler) node(item Item) *node {
	n := s.unused
	if n == nil {
		n = &node{}
	} else {
		s.unused = n.nextUnused
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
	*n = node{nextUnused: s.unused}
	s.unused = n
	return item
}
