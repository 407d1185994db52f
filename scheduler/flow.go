package scheduler

import "time"

// flow is one account's waiting items in one class of one pool.
type flow struct {
	account *account
	class   *class
	weight  float64
	// tag is the virtual time at which the flow's next item starts.
	tag  float64
	cost float64
	// announced is the cost of items that are still at an earlier stage.
	announced float64
	waiting   indexed[*node]
	index     int
	// presentIndex is the flow's place in its class's list of present flows, or -1.
	presentIndex int
}

func newFlow(a *account, c *class) *flow {
	return &flow{account: a, class: c, index: -1, presentIndex: -1, waiting: indexed[*node]{
		before: (*node).before,
		place:  func(n *node, index int) { n.flowIndex = index },
	}}
}

// before orders by virtual start, then by the account's name so that replays agree.
func (f *flow) before(other *flow) bool {
	if f.tag != other.tag {
		return f.tag < other.tag
	}
	return f.account.name < other.account.name
}

// class is one urgency class of a pool: its flows with work, ordered by virtual start.
type class struct {
	flows indexed[*flow]
	// now is the virtual time: the start of the item served last.
	now float64
	// past and recent are earlier virtual times, the latter as of markedAt.
	past, recent float64
	markedAt     time.Time

	cost      float64
	announced float64
	// weight is the sum over the flows that have items waiting or announced, known that over
	// all flows.
	weight, known float64
	// present are the flows that have items waiting or announced.
	present []*flow
	// credit is the work that the class is owed by its guarantee.
	credit float64
}

func newClass() *class {
	return &class{flows: indexed[*flow]{
		before: (*flow).before,
		place:  func(f *flow, index int) { f.index = index },
	}}
}

// earliest is the least virtual time at which a flow that was idle may start: the virtual
// time of about Config.IdleCredit ago. A flow with few items and no credit pays for the
// chance of two coming together with a wait of its whole turn; with credit for all its
// idle time it could hold up the others for as long.
func (c *class) earliest() float64 { return c.past }

// mark notes the virtual time, so that c.past is from half a span to a span ago.
func (c *class) mark(span time.Duration, now time.Time) {
	if now.Sub(c.markedAt) < span/2 {
		return
	}
	c.markedAt = now
	c.past = c.recent
	c.recent = c.now
}

// add lets the flow take part once it has an item.
func (c *class) add(f *flow, n *node) {
	c.cost += n.item.Cost
	f.cost += n.item.Cost
	c.weigh(f, n.item.Weight)
	f.waiting.push(n)
	if f.index >= 0 {
		return
	}
	f.tag = max(f.tag, c.earliest())
	c.flows.push(f)
}

// weigh counts the flow in its class with the newest weight.
func (c *class) weigh(f *flow, weight float64) {
	if f.presentIndex >= 0 {
		c.weight -= f.weight
	} else {
		f.presentIndex = len(c.present)
		c.present = append(c.present, f)
	}
	c.known += weight - f.weight
	f.weight = weight
	c.weight += weight
}

// leave takes a flow with nothing waiting or announced out of the sums. The sums start from 0
// again when nothing is left, so that rounding errors don't add up.
func (c *class) leave(f *flow) {
	if f.waiting.len() > 0 || f.announced > 0 || f.presentIndex < 0 {
		return
	}
	last := len(c.present) - 1
	moved := c.present[last]
	c.present[f.presentIndex] = moved
	moved.presentIndex = f.presentIndex
	c.present[last] = nil
	c.present = c.present[:last]
	f.presentIndex = -1
	c.weight -= f.weight
	if last == 0 {
		c.cost, c.announced, c.weight = 0, 0, 0
	}
}

// drop takes an item out without charging the flow.
func (c *class) drop(n *node) {
	f := n.flow
	c.cost -= n.item.Cost
	f.cost -= n.item.Cost
	f.waiting.removeAt(n.flowIndex)
	if f.waiting.len() > 0 {
		return
	}
	f.cost = 0
	c.flows.removeAt(f.index)
	c.leave(f)
}

// announce adds work that is to come to the flow, or takes it back when cost is below 0.
func (c *class) announce(f *flow, cost, weight float64) {
	cost = max(cost, -f.announced)
	f.announced += cost
	c.announced = max(0, c.announced+cost)
	if cost > 0 {
		c.weigh(f, weight)
		return
	}
	c.leave(f)
}

// serve takes out the next item and charges its flow.
func (c *class) serve() *node {
	f := c.flows.items[0]
	n := f.waiting.items[0]
	c.now = f.tag
	f.tag += n.item.Cost / f.weight
	c.drop(n)
	if f.index >= 0 {
		c.flows.fix(f.index)
	}
	return n
}
