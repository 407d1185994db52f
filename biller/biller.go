package biller

import (
	"maps"
	"slices"

	"geraniumline/scheduler"
)

// Biller holds this entry's own totals and the last known totals of its peers. It is not
// safe for concurrent use: the reducer owns it.
type Biller struct {
	own   totals
	peers map[string]*source
	// settled is the sum of the incarnations that are no longer stored separately.
	settled totals
	// unsettled is the number of entries with incarnations that are stored separately.
	unsettled int
	// merges is the number of calls of Merge.
	merges uint64
}

// New returns a Biller with empty totals.
func New() *Biller {
	return &Biller{own: totals{}, peers: map[string]*source{}, settled: totals{}}
}

// AddWork adds work of a stage to an account, in endpoint milliseconds. It ignores costs that are not positive.
func (b *Biller) AddWork(account, stage string, cost float64) {
	if cost > 0 {
		b.own.account(account).stage(stage).cost += cost
	}
}

// AddWasted adds work that did not contribute to an answer, such as losing hedges, failed
// attempts and cancelled calls, in endpoint milliseconds. It is not included in the work
// of AddWork.
func (b *Biller) AddWasted(account, stage string, cost float64) {
	if cost > 0 {
		b.own.account(account).stage(stage).wasted += cost
	}
}

// CountOutcome counts a request of the account by its outcome.
func (b *Biller) CountOutcome(account string, urgency scheduler.Urgency, o Outcome) {
	b.own.account(account).count(urgency, o)
}

// Bills returns this entry's own totals since it started.
func (b *Biller) Bills() []Bill { return b.own.bills() }

// Merge merges the bills of an incarnation of another entry, or of an earlier incarnation of
// this entry. They are running totals and may arrive repeatedly, late or out of order.
func (b *Biller) Merge(entry string, incarnation uint64, bills []Bill) {
	s, ok := b.peers[entry]
	if !ok {
		s = &source{incarnations: map[uint64]totals{}}
		b.peers[entry] = s
	}
	b.merges++
	s.lastMerge = b.merges
	if s.isSettled(incarnation) {
		return
	}
	if len(s.incarnations) == 0 {
		b.unsettled++
	}
	s.merge(incarnation, bills)
	b.settle(s, maxIncarnations)
	b.enforceLimits()
}

// Total returns the bills summed over this entry and all merged incarnations, each counted once.
// Sums are computed in a fixed order: floating-point sums depend on it, and a replay must produce the same result.
func (b *Biller) Total() []Bill {
	sum := totals{}
	sum.add(b.own)
	sum.add(b.settled)
	for _, entry := range slices.Sorted(maps.Keys(b.peers)) {
		s := b.peers[entry]
		for _, incarnation := range slices.Sorted(maps.Keys(s.incarnations)) {
			sum.add(s.incarnations[incarnation])
		}
	}
	return sum.bills()
}

// Incarnation holds the bills of one incarnation of an entry.
type Incarnation struct {
	Entry       string
	Incarnation uint64
	Bills       []Bill
}

// OtherIncarnations returns the bills of other incarnations that are stored separately, in a fixed order. They are
// forwarded to peers, since after an entry has gone only its peers still have its bills.
func (b *Biller) OtherIncarnations() []Incarnation {
	var others []Incarnation
	for _, entry := range slices.Sorted(maps.Keys(b.peers)) {
		s := b.peers[entry]
		for _, incarnation := range slices.Sorted(maps.Keys(s.incarnations)) {
			others = append(others, Incarnation{Entry: entry, Incarnation: incarnation, Bills: s.incarnations[incarnation].bills()})
		}
	}
	return others
}
