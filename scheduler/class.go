package scheduler

import "time"

// class is one urgency class of a pool. Its flows with waiting items are ordered by virtual start
// time.
type class struct {
	flows indexedHeap[*flow, startOrder]
	// virtualTime is the virtual start time of the item served last.
	virtualTime float64
	// previousMark and lastMark are earlier virtual times; lastMark was recorded at markedAt.
	previousMark, lastMark float64
	markedAt               time.Time
	// maxTag is the greatest tag of any flow.
	maxTag float64

	cost      float64
	announced float64
	// weight is the sum of the weights of the active flows, and meanWeight its moving average over
	// the last items.
	weight, meanWeight float64
	// active holds the flows that have items waiting or announced.
	active []*flow
	// idle holds flows that became inactive, oldest first, until they can be removed.
	idle []*flow
	// idleStorage is the start of idle's backing array, so that refilling an emptied list does not
	// allocate.
	idleStorage []*flow
	// credit is the work that the class is owed under its guarantee.
	credit float64
}

// minTag returns the lowest virtual time at which an idle flow may start, which is the virtual time
// of about Config.IdleCredit ago. Without credit, a flow with few items would wait its whole turn
// whenever two of its items arrive together. With credit for all of its idle time, it could block
// the other flows for as long.
func (c *class) minTag() float64 { return c.previousMark }

// mark records the virtual time, so that c.previousMark is half a span to one span old.
func (c *class) mark(span time.Duration, now time.Time) {
	c.meanWeight += weightSmoothing * (c.weight - c.meanWeight)
	if now.Sub(c.markedAt) < span/2 {
		return
	}
	c.markedAt = now
	c.previousMark = c.lastMark
	c.lastMark = c.virtualTime
}

// weightSmoothing is the weight of the newest sample in meanWeight.
const weightSmoothing = 0.02

// add queues an item in its flow, and adds the flow to the heap if it had no item.
func (c *class) add(f *flow, n *node) {
	c.cost += n.item.Cost
	f.cost += n.item.Cost
	c.setWeight(f, n.item.Weight)
	f.waiting.push(n)
	if f.index >= 0 {
		return
	}
	f.tag = max(f.tag, c.minTag())
	c.flows.push(f)
}

// setWeight sets the flow's weight to that of its newest item and activates the flow if needed.
func (c *class) setWeight(f *flow, weight float64) {
	if f.isActive() {
		c.weight -= f.weight
	} else {
		f.activeIndex = len(c.active)
		c.active = append(c.active, f)
	}
	f.weight = weight
	c.weight += weight
}

// deactivate removes a flow with nothing waiting or announced from the sums. The sums are reset to
// 0 when no active flow is left, so that rounding errors do not accumulate.
func (c *class) deactivate(f *flow) {
	if f.waiting.len() > 0 || f.announced > 0 || !f.isActive() {
		return
	}
	last := len(c.active) - 1
	moved := c.active[last]
	c.active[f.activeIndex] = moved
	moved.activeIndex = f.activeIndex
	c.active[last] = nil
	c.active = c.active[:last]
	f.activeIndex = -1
	c.weight -= f.weight
	if last == 0 {
		c.cost, c.announced, c.weight = 0, 0, 0
	}
	if !f.inIdleList {
		f.inIdleList = true
		c.idle = append(c.idle, f)
		if len(c.idle) == 1 {
			c.idleStorage = c.idle
		}
	}
}

// resetWhenIdle lets all flows start equal once none has items waiting. A flow that was served
// while no other flow wanted the pool owes the others nothing.
func (c *class) resetWhenIdle() {
	if c.flows.len() > 0 {
		return
	}
	c.virtualTime = max(c.virtualTime, c.maxTag)
	c.previousMark, c.lastMark = c.virtualTime, c.virtualTime
}

// takeRemovable removes the oldest flow from the idle list and returns it if its state is equal to
// that of a new flow, or returns nil. It examines at most one flow, so that removal adds a constant
// cost per call.
func (c *class) takeRemovable() *flow {
	if len(c.idle) == 0 {
		return nil
	}
	f := c.idle[0]
	if !f.isActive() && f.tag > c.minTag() {
		return nil
	}
	c.idle[0] = nil
	c.idle = c.idle[1:]
	if len(c.idle) == 0 {
		c.idle = c.idleStorage[:0]
	}
	f.inIdleList = false
	if f.isActive() {
		return nil
	}
	return f
}

// removeItem removes an item without charging its flow.
func (c *class) removeItem(n *node) {
	f := n.flow
	c.cost -= n.item.Cost
	f.cost -= n.item.Cost
	f.waiting.removeAt(n.flowIndex)
	if f.waiting.len() > 0 {
		return
	}
	f.cost = 0
	c.flows.removeAt(f.index)
	c.deactivate(f)
}

// announce adds expected work to the flow, or subtracts it if cost is below 0.
func (c *class) announce(f *flow, cost, weight float64) {
	cost = max(cost, -f.announced)
	f.announced += cost
	c.announced = max(0, c.announced+cost)
	if cost > 0 {
		c.setWeight(f, weight)
		return
	}
	c.deactivate(f)
}

// charge advances the flow's virtual time by cost, or moves it back if cost is below 0.
func (c *class) charge(f *flow, cost float64) {
	f.tag = max(f.tag+cost/f.weight, c.minTag())
	c.maxTag = max(c.maxTag, f.tag)
	if f.index >= 0 {
		c.flows.fix(f.index)
	}
}

// popItem removes the next item and charges its flow.
func (c *class) popItem() *node {
	f := c.flows.items[0]
	n := f.waiting.items[0]
	c.virtualTime = f.tag
	c.charge(f, n.item.Cost)
	c.removeItem(n)
	c.resetWhenIdle()
	return n
}
