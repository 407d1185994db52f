package scheduler

// ordering compares the elements of a heap and stores their indexes in them; -1 means not in the
// heap.
type ordering[T any] interface {
	before(a, b T) bool
	setIndex(item T, index int)
}

// indexedHeap is a binary heap whose elements store their index, so that any of them can be removed
// or moved in O(log n). container/heap would box each element in an interface.
type indexedHeap[T any, O ordering[T]] struct {
	items []T
	order O
}

func (h *indexedHeap[T, O]) len() int { return len(h.items) }

func (h *indexedHeap[T, O]) push(item T) {
	h.items = append(h.items, item)
	h.order.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T, O]) removeAt(index int) {
	last := len(h.items) - 1
	h.swap(index, last)
	var zero T
	h.order.setIndex(h.items[last], -1)
	h.items[last] = zero
	h.items = h.items[:last]
	if index < last {
		h.fix(index)
	}
}

// fix restores the heap order after the element at index has changed.
func (h *indexedHeap[T, O]) fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *indexedHeap[T, O]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.order.setIndex(h.items[i], i)
	h.order.setIndex(h.items[j], j)
}

func (h *indexedHeap[T, O]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.order.before(h.items[index], h.items[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

func (h *indexedHeap[T, O]) down(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.order.before(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.order.before(h.items[child], h.items[index]) {
			break
		}
		h.swap(index, child)
		index = child
	}
	return index > start
}
