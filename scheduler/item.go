package scheduler

import "time"

// Urgency is the class of an item: a more urgent class goes first.
type Urgency uint8

// The urgency classes.
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

// Item is one stage call that waits for a free place in a pool.
type Item struct {
	// ID is the caller's; it is unique within a pool.
	ID      uint64
	Account string
	// Weight is the account's share relative to others; it must be above 0.
	Weight  float64
	Urgency Urgency
	// Cost is the expected work in endpoint milliseconds.
	Cost float64
	// Deadline is when the item is worth nothing any more.
	Deadline time.Time
}

// node is an item in its two heaps.
type node struct {
	item        Item
	sequence    uint64
	flow        *flow
	flowIndex   int
	expiryIndex int
	nextUnused  *node
}

// before orders by deadline, then by arrival.
func (n *node) before(other *node) bool {
	if n.item.Deadline.Equal(other.item.Deadline) {
		return n.sequence < other.sequence
	}
	return n.item.Deadline.Before(other.item.Deadline)
}

// inFlow orders a flow's items by deadline.
type inFlow struct{}

func (inFlow) before(a, b *node) bool   { return a.before(b) }
func (inFlow) place(n *node, index int) { n.flowIndex = index }

// byExpiry orders all items of a pool by deadline.
type byExpiry struct{}

func (byExpiry) before(a, b *node) bool   { return a.before(b) }
func (byExpiry) place(n *node, index int) { n.expiryIndex = index }
