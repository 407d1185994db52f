package scheduler

import "time"

// Urgency is the priority class of an item: more urgent classes are served first.
type Urgency uint8

// The urgency classes, most urgent first.
const (
	Urgent Urgency = iota
	Normal
	Relaxed
	urgencyCount
)

func (u Urgency) String() string {
	switch u {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Relaxed:
		return "relaxed"
	default:
		return "unknown"
	}
}

// Item is a stage call that waits for a free slot in a pool.
type Item struct {
	// ID is chosen by the caller and must be unique within a pool.
	ID      uint64
	Account string
	// Weight is the account's share relative to other accounts; it must be above 0.
	Weight  float64
	Urgency Urgency
	// Cost is the expected work in endpoint milliseconds.
	Cost float64
	// Deadline is the time after which the item is worthless.
	Deadline time.Time
}

// node is an item in the two heaps that hold it.
type node struct {
	item        Item
	sequence    uint64
	flow        *flow
	flowIndex   int
	expiryIndex int
	nextFree    *node
}

// before orders nodes by deadline, then by arrival.
func (n *node) before(other *node) bool {
	if n.item.Deadline.Equal(other.item.Deadline) {
		return n.sequence < other.sequence
	}
	return n.item.Deadline.Before(other.item.Deadline)
}

// flowOrder orders the items of a flow by deadline.
type flowOrder struct{}

func (flowOrder) before(a, b *node) bool      { return a.before(b) }
func (flowOrder) setIndex(n *node, index int) { n.flowIndex = index }

// expiryOrder orders all items of a pool by deadline.
type expiryOrder struct{}

func (expiryOrder) before(a, b *node) bool      { return a.before(b) }
func (expiryOrder) setIndex(n *node, index int) { n.expiryIndex = index }
