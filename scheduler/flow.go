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
	waiting   indexed[*node, inFlow]
	// index is the flow's place in its class's heap, presentIndex that in the list of present
	// flows; -1 is out of it.
	index, presentIndex int
	// resting tells that the flow is in its class's list of flows to forget.
	resting bool
}

func (f *flow) present() bool { return f.presentIndex >= 0 }

// byStart orders flows by virtual start, then by the account's name so that replays agree.
type byStart struct{}

func (byStart) before(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.account.name < b.account.name
}

func (byStart) place(f *flow, index int) { f.index = index }
