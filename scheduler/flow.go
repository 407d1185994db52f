package scheduler

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
	// present tells that the flow's weight counts in its class.
	present bool
}

func newFlow(a *account, c *class) *flow {
	return &flow{account: a, class: c, index: -1, waiting: indexed[*node]{
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
	now       float64
	cost      float64
	announced float64
	// weight is the sum over the flows that have items waiting or announced.
	weight float64
	// credit is the work that the class is owed by its guarantee.
	credit float64
}

func newClass() *class {
	return &class{flows: indexed[*flow]{
		before: (*flow).before,
		place:  func(f *flow, index int) { f.index = index },
	}}
}

// add lets the flow take part once it has an item. A flow that was idle starts at the
// present virtual time: idle time earns nothing.
func (c *class) add(f *flow, n *node) {
	c.cost += n.item.Cost
	f.cost += n.item.Cost
	c.weigh(f, n.item.Weight)
	f.waiting.push(n)
	if f.index >= 0 {
		return
	}
	f.tag = max(f.tag, c.now)
	c.flows.push(f)
}

// weigh counts the flow in its class with the newest weight.
func (c *class) weigh(f *flow, weight float64) {
	if f.present {
		c.weight -= f.weight
	}
	f.present = true
	f.weight = weight
	c.weight += weight
}

// leave takes a flow with nothing waiting or announced out of the sums. The sums start from 0
// again when nothing is left, so that rounding errors don't add up.
func (c *class) leave(f *flow) {
	if f.waiting.len() > 0 || f.announced > 0 || !f.present {
		return
	}
	f.present = false
	c.weight -= f.weight
	if c.flows.len() == 0 && c.announced <= 0 {
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
