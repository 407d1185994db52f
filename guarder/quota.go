package guarder

import (
	"net/netip"
	"sync"
)

// quota shares out a bounded amount, of which one remote address gets at most half: one host's flood
// can't take what all others need.
type quota struct {
	max        int64
	perAddress int64

	mu        sync.Mutex
	total     int64
	addresses map[netip.Addr]int64
}

func newQuota(most int64) *quota {
	return &quota{
		max:        most,
		perAddress: max(most/2, 1),
		addresses:  make(map[netip.Addr]int64),
	}
}

// take takes n for the address, all of it or nothing, and tells whether it did.
func (q *quota) take(address netip.Addr, n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.total+n > q.max || q.addresses[address]+n > q.perAddress {
		return false
	}
	q.total += n
	q.addresses[address] += n
	return true
}

// give returns n that the address took.
func (q *quota) give(address netip.Addr, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.total -= n
	q.addresses[address] -= n
	if q.addresses[address] == 0 {
		delete(q.addresses, address)
	}
}

// taken returns how much is out.
func (q *quota) taken() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}
