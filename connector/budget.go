package connector

import (
	"fmt"
	"sync"
)

// addressShare divides a budget: all responses of one address together may hold one part of it, so that an endpoint that sends
// bytes without end leaves room for the responses of the others.
const addressShare = 2

// DefaultBudget is the limit of a Budget, in bytes, if none is given.
const DefaultBudget = 32 << 20

// Budget limits the memory of all responses that are being received. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu        sync.Mutex
	total     int64
	byAddress map[string]int64
}

// NewBudget returns a budget of limit bytes; 0 means DefaultBudget.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		limit = DefaultBudget
	}
	return &Budget{limit: limit, byAddress: make(map[string]int64)}
}

// BudgetError reports that incomplete responses hold too much memory for another Bytes bytes.
type BudgetError struct {
	Address string
	Bytes   int64
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("no memory for %d bytes of a response of %s", e.Bytes, e.Address)
}

// Hold is the part of a Budget that one response holds. It is not safe for concurrent use.
type Hold struct {
	budget  *Budget
	address string
	n       int64
}

// Hold returns an empty hold for a response from an address.
func (b *Budget) Hold(address string) *Hold { return &Hold{budget: b, address: address} }

// Resize sets the bytes that the response holds. It returns a *BudgetError, and keeps the size, if the budget has no room for
// more.
func (h *Hold) Resize(n int64) error {
	more := n - h.n
	if more == 0 {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if more > 0 && (b.total+more > b.limit || b.byAddress[h.address]+more > b.limit/addressShare) {
		return &BudgetError{Address: h.address, Bytes: more}
	}
	b.total += more
	b.byAddress[h.address] += more
	if b.byAddress[h.address] == 0 {
		delete(b.byAddress, h.address)
	}
	h.n = n
	return nil
}

// Grow adds n to the bytes that the response holds. Its errors are those of Resize.
func (h *Hold) Grow(n int64) error { return h.Resize(h.n + n) }

// Release gives everything back.
func (h *Hold) Release() {
	// Shrinking never fails.
	_ = h.Resize(0)
}
