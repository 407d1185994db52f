package scheduler

import (
	"math"
	"time"
)

// account holds one account's flows in a pool.
type account struct {
	name  string
	flows [urgencyCount]*flow
	// known has a bit for each class in which the flow counts.
	known uint8
	// served is the class that the account was last served in.
	served Urgency
}

// pool is the queue of one pool of endpoints.
type pool struct {
	name     string
	classes  [urgencyCount]class
	accounts map[string]*account
	unused   []*account
	nodes    map[uint64]*node
	expiry   indexed[*node, byExpiry]
	// guarantees is the part of the work that each class gets while it has items.
	guarantees [urgencyCount]float64
	idleCredit time.Duration
	// served is the work that each class was lately served, as of servedAt, forgotten with
	// the time constant servedTime.
	served   [urgencyCount]float64
	servedAt time.Time
	drain    drain
}

const servedTime = 5 * time.Second

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
	a = p.unusedAccount()
	a.name = name
	p.accounts[name] = a
	return a
}

func (p *pool) unusedAccount() *account {
	last := len(p.unused) - 1
	if last < 0 {
		return &account{}
	}
	a := p.unused[last]
	p.unused = p.unused[:last]
	return a
}

// flow gives the account's flow in the class, and makes it if need be.
func (p *pool) flow(name string, urgency Urgency) *flow {
	a := p.account(name)
	f := a.flows[urgency]
	if f == nil {
		f = &flow{account: a, class: &p.classes[urgency], index: -1, presentIndex: -1}
		a.flows[urgency] = f
	}
	a.known |= 1 << urgency
	return f
}

// forgetFlows drops flows that are worth no more than new ones, so that memory follows the
// accounts that are active and not all that ever were. An account keeps its flows' memory
// for the next one that comes.
func (p *pool) forgetFlows(urgency Urgency) {
	f := p.classes[urgency].forgettable()
	if f == nil {
		return
	}
	f.tag, f.cost, f.announced = 0, 0, 0
	a := f.account
	a.known &^= 1 << urgency
	if a.known != 0 {
		return
	}
	delete(p.accounts, a.name)
	a.name = ""
	p.unused = append(p.unused, a)
}

func (p *pool) push(n *node, now time.Time) {
	urgency := min(n.item.Urgency, Relaxed)
	p.classes[urgency].mark(p.idleCredit, now)
	p.forgetFlows(urgency)
	n.flow = p.flow(n.item.Account, urgency)
	p.nodes[n.item.ID] = n
	p.expiry.push(n)
	p.classes[urgency].add(n.flow, n)
}

// next gives the class to serve, or nil: the most urgent one with items, but a class whose
// guarantee has earned it its next item goes first. Without that a lasting surge of
// urgent work would leave a relaxed request waiting for ever.
func (p *pool) next() *class {
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
	c := p.next()
	if c == nil {
		return nil
	}
	n := c.serve()
	n.flow.account.served = min(n.item.Urgency, Relaxed)
	p.earn(c, n.item.Cost)
	p.note(n.flow.account.served, n.item.Cost, now)
	p.drain.take(n.item.Cost, p.expiry.len() > 1, now)
	p.forget(n)
	return n
}

// note adds to the work that the class was served.
func (p *pool) note(urgency Urgency, cost float64, now time.Time) {
	if elapsed := now.Sub(p.servedAt); elapsed > 0 {
		kept := math.Exp(-float64(elapsed) / float64(servedTime))
		for i := range p.served {
			p.served[i] *= kept
		}
		p.servedAt = now
	}
	p.served[urgency] += cost
}

// earn credits the classes that wait with their guaranteed part of the work just given out.
func (p *pool) earn(served *class, cost float64) {
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

// forget takes an item that has left its flow out of the pool's other books.
func (p *pool) forget(n *node) {
	p.expiry.removeAt(n.expiryIndex)
	delete(p.nodes, n.item.ID)
	if p.expiry.len() == 0 {
		p.drain.waiting = false
	}
}

func (p *pool) remove(n *node) {
	c := n.flow.class
	c.drop(n)
	c.level()
	p.forget(n)
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
