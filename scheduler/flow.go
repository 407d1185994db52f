package scheduler

// flow is one account's waiting items in one class of one pool.
type flow struct {
	account *account
	class   *class
	weight  float64
	// tag is the virtual time at which the flow's next item starts.
	tag     float64
	cost    float64
	waiting indexed[*node]
	index   int
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
	now    float64
	cost   float64
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
	f.waiting.push(n)
	if f.index >= 0 {
		c.weight += n.item.Weight - f.weight
		f.weight = n.item.Weight
		return
	}
	f.weight = n.item.Weight
	c.weight += f.weight
	f.tag = max(f.tag, c.now)
	c.flows.push(f)
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
	c.weight -= f.weight
	c.flows.removeAt(f.index)
	if c.flows.len() == 0 {
		c.cost = 0
		c.weight = 0
	}
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
