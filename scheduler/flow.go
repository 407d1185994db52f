package scheduler

// flow holds one account's waiting items in one class of a pool.
type flow struct {
	account *account
	class   *class
	weight  float64
	// tag is the virtual time at which the flow's next item starts.
	tag  float64
	cost float64
	// announced is the cost of items that are still at an earlier stage.
	announced float64
	waiting   indexedHeap[*node, flowOrder]
	// index is the flow's position in its class's heap, and activeIndex its position in the class's
	// list of active flows; -1 means absent.
	index, activeIndex int
	// inIdleList is set while the flow is in its class's idle list.
	inIdleList bool
}

func (f *flow) isActive() bool { return f.activeIndex >= 0 }

// startOrder orders flows by virtual start time, then by account name so that replays give the same
// order.
type startOrder struct{}

func (startOrder) before(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.account.name < b.account.name
}

func (startOrder) setIndex(f *flow, index int) { f.index = index }
