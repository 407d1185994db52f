package guarder

import (
	"net/netip"
	"sync"
)

// quota limits the amount in use, in total and per remote address. One address gets at most half of the total, so
// that a flood from one host can't exhaust it for all others.
type quota struct {
	limit           int64
	limitPerAddress int64

	mu        sync.Mutex
	total     int64
	addresses map[netip.Addr]int64
}

// newQuota returns a quota with the total limit.
func newQuota(limit int64) *quota {
	return &quota{
		limit:           limit,
		limitPerAddress: max(limit/2, 1),
		addresses:       make(map[netip.Addr]int64),
	}
}

// acquire adds n to the amount in use by the address if it fits within the limits, and reports whether it did.
func (q *quota) acquire(address netip.Addr, n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.total+n > q.limit || q.addresses[address]+n > q.limitPerAddress {
		return false
	}
	q.total += n
	q.addresses[address] += n
	return true
}

// release subtracts n from the amount in use by the address.
func (q *quota) release(address netip.Addr, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.total -= n
	q.addresses[address] -= n
	if q.addresses[address] == 0 {
		delete(q.addresses, address)
	}
}

// inUse returns the total amount in use.
func (q *quota) inUse() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}
