package scheduler

import (
	"math"
	"time"
)

// account holds an account's flows in one pool.
type account struct {
	name  string
	flows [urgencyCount]*flow
	// flowBits has a bit for each class in which the account's flow is in use.
	flowBits uint8
	// lastServed is the class in which the account was last served.
	lastServed Urgency
}

// pool is the queue of one pool of endpoints.
type pool struct {
	name         string
	classes      [urgencyCount]class
	accounts     map[string]*account
	freeAccounts []*account
	nodes        map[uint64]*node
	expiry       indexedHeap[*node, expiryOrder]
	// guarantees is the fraction of the work that each class is guaranteed while it has items.
	guarantees [urgencyCount]float64
	idleCredit time.Duration
	// servedWork is the recent work served per class as of servedAt. It decays with
	// servedTimeConstant.
	servedWork [urgencyCount]float64
	servedAt   time.Time
	drain      drainMeter
}

const servedTimeConstant = 5 * time.Second

func newPool(name string, guarantees [urgencyCount]float64, idleCredit time.Duration) *pool {
	return &pool{
		name:       name,
		accounts:   map[string]*account{},
		nodes:      map[uint64]*node{},
		guarantees: guarantees,
		idleCredit: idleCredit,
	}
}

func (p *pool) account(name string) *account {
	a, ok := p.accounts[name]
	if ok {
		return a
	}
	a = p.allocAccount()
	a.name = name
	p.accounts[name] = a
	return a
}

func (p *pool) allocAccount() *account {
	last := len(p.freeAccounts) - 1
	if last < 0 {
		return &account{}
	}
	a := p.freeAccounts[last]
	p.freeAccounts = p.freeAccounts[:last]
	return a
}

// flow returns the account's flow in the class, and creates it if needed.
func (p *pool) flow(name string, urgency Urgency) *flow {
	a := p.account(name)
	f := a.flows[urgency]
	if f == nil {
		f = &flow{account: a, class: &p.classes[urgency], index: -1, activeIndex: -1}
		a.flows[urgency] = f
	}
	a.flowBits |= 1 << urgency
	return f
}

// removeIdleFlow removes an idle flow whose state equals that of a new one, so that memory use
// follows the accounts that are active and not all that were ever seen. The memory of a removed
// account is reused for the next new account.
func (p *pool) removeIdleFlow(urgency Urgency) {
	f := p.classes[urgency].takeRemovable()
	if f == nil {
		return
	}
	f.tag, f.cost, f.announced = 0, 0, 0
	a := f.account
	a.flowBits &^= 1 << urgency
	if a.flowBits != 0 {
		return
	}
	delete(p.accounts, a.name)
	a.name = ""
	p.freeAccounts = append(p.freeAccounts, a)
}

func (p *pool) push(n *node, now time.Time) {
	urgency := min(n.item.Urgency, Relaxed)
	p.classes[urgency].mark(p.idleCredit, now)
	p.removeIdleFlow(urgency)
	n.flow = p.flow(n.item.Account, urgency)
	p.nodes[n.item.ID] = n
	p.expiry.push(n)
	p.classes[urgency].add(n.flow, n)
}

// nextClass returns the class to serve, or nil if there are no items. It is the most urgent class
// with items, unless a class has earned its next item through its guarantee. Without guarantees, a
// lasting surge of urgent work would make relaxed requests wait forever.
func (p *pool) nextClass() *class {
	var chosen *class
	for i := len(p.classes) - 1; i >= 0; i-- {
		c := &p.classes[i]
		if c.flows.len() == 0 {
			c.credit = 0
			continue
		}
		if c.credit >= c.flows.items[0].waiting.items[0].item.Cost {
			return c
		}
		chosen = c
	}
	return chosen
}

func (p *pool) pop(now time.Time) *node {
	c := p.nextClass()
	if c == nil {
		return nil
	}
	n := c.popItem()
	n.flow.account.lastServed = min(n.item.Urgency, Relaxed)
	p.addCredit(c, n.item.Cost)
	p.recordServed(n.flow.account.lastServed, n.item.Cost, now)
	p.drain.record(n.item.Cost, p.expiry.len() > 1, now)
	p.removeNode(n)
	return n
}

// recordServed adds to the work served in the class.
func (p *pool) recordServed(urgency Urgency, cost float64, now time.Time) {
	if elapsed := now.Sub(p.servedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(servedTimeConstant))
		for i := range p.servedWork {
			p.servedWork[i] *= factor
		}
		p.servedAt = now
	}
	p.servedWork[urgency] += cost
}

// addCredit credits the waiting classes with their guaranteed fractions of the work just served.
func (p *pool) addCredit(served *class, cost float64) {
	for i := range p.classes {
		c := &p.classes[i]
		if c == served {
			c.credit = max(0, c.credit-cost)
			continue
		}
		if c.flows.len() > 0 {
			c.credit += cost * p.guarantees[i]
		}
	}
}

// removeNode removes an item that has left its flow from the pool's other structures.
func (p *pool) removeNode(n *node) {
	p.expiry.removeAt(n.expiryIndex)
	delete(p.nodes, n.item.ID)
	if p.expiry.len() == 0 {
		p.drain.waiting = false
	}
}

func (p *pool) remove(n *node) {
	c := n.flow.class
	c.removeItem(n)
	c.resetWhenIdle()
	p.removeNode(n)
}

func (p *pool) expired(now time.Time) *node {
	if p.expiry.len() == 0 {
		return nil
	}
	n := p.expiry.items[0]
	if n.item.Deadline.After(now) {
		return nil
	}
	return n
}

func (p *pool) backlog() float64 {
	total := 0.0
	for i := range p.classes {
		total += p.classes[i].cost
	}
	return total
}
