package scheduler

import "time"

// class is one urgency class of a pool: its flows with work, ordered by virtual start.
type class struct {
	flows indexed[*flow, byStart]
	// now is the virtual time: the start of the item served last.
	now float64
	// past and recent are earlier virtual times, the latter as of markedAt.
	past, recent float64
	markedAt     time.Time
	// latest is the greatest virtual time of any flow.
	latest float64

	cost      float64
	announced float64
	// weight is the sum over the flows that have items waiting or announced, and usual its
	// mean over the last items.
	weight, usual float64
	// present are the flows that have items waiting or announced.
	present []*flow
	// resting are flows that left, oldest first, to be forgotten when they may.
	resting []*flow
	// restingStore is the start of resting's memory, so that a list that was emptied takes no new one.
	restingStore []*flow
	// credit is the work that the class is owed by its guarantee.
	credit float64
}

// earliest is the least virtual time at which a flow that was idle may start: the virtual
// time of about Config.IdleCredit ago. A flow with few items and no credit pays for the
// chance of two coming together with a wait of its whole turn; with credit for all its
// idle time it could hold up the others for as long.
func (c *class) earliest() float64 { return c.past }

// mark notes the virtual time, so that c.past is from half a span to a span ago.
func (c *class) mark(span time.Duration, now time.Time) {
	c.usual += usualWeight * (c.weight - c.usual)
	if now.Sub(c.markedAt) < span/2 {
		return
	}
	c.markedAt = now
	c.past = c.recent
	c.recent = c.now
}

// usualWeight is the weight of the newest sum of weights in their mean.
const usualWeight = 0.02

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
	if f.present() {
		c.weight -= f.weight
	} else {
		f.presentIndex = len(c.present)
		c.present = append(c.present, f)
	}
	f.weight = weight
	c.weight += weight
}

// leave takes a flow with nothing waiting or announced out of the sums. The sums start from 0
// again when nothing is left, so that rounding errors don't add up.
func (c *class) leave(f *flow) {
	if f.waiting.len() > 0 || f.announced > 0 || !f.present() {
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
	if !f.resting {
		f.resting = true
		c.resting = append(c.resting, f)
		if len(c.resting) == 1 {
			c.restingStore = c.resting
		}
	}
}

// level lets all flows start anew once none waits: a flow that was served while no other
// wanted the pool owes the others nothing.
func (c *class) level() {
	if c.flows.len() > 0 {
		return
	}
	c.now = max(c.now, c.latest)
	c.past, c.recent = c.now, c.now
}

// forgettable gives a flow that rests and is worth as much as a new one, or nil. At most
// one is looked at, so that forgetting costs each call the same.
func (c *class) forgettable() *flow {
	if len(c.resting) == 0 {
		return nil
	}
	f := c.resting[0]
	if !f.present() && f.tag > c.earliest() {
		return nil
	}
	c.resting[0] = nil
	c.resting = c.resting[1:]
	if len(c.resting) == 0 {
		c.resting = c.restingStore[:0]
	}
	f.resting = false
	if f.present() {
		return nil
	}
	return f
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

// charge moves the flow's virtual time on by cost, or back when cost is below 0.
func (c *class) charge(f *flow, cost float64) {
	f.tag = max(f.tag+cost/f.weight, c.earliest())
	c.latest = max(c.latest, f.tag)
	if f.index >= 0 {
		c.flows.fix(f.index)
	}
}

// serve takes out the next item and charges its flow.
func (c *class) serve() *node {
	f := c.flows.items[0]
	n := f.waiting.items[0]
	c.now = f.tag
	c.charge(f, n.item.Cost)
	c.drop(n)
	c.level()
	return n
}
