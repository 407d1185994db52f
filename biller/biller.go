package biller

import (
	"maps"
	"slices"

	"geraniumline/scheduler"
)

// Biller holds this entry's own bills and the last known bills of its peers. It is not
// safe for concurrent use: the reducer owns it.
type Biller struct {
	own   totals
	peers map[string]*source
	// settled is the sum of what is no longer kept apart.
	settled totals
	// apart is how many entries have bills that are kept apart.
	apart  int
	merges uint64
}

// New makes a Biller with nothing on it.
func New() *Biller {
	return &Biller{own: totals{}, peers: map[string]*source{}, settled: totals{}}
}

// AddWork adds work of a stage for an account, in endpoint milliseconds.
func (b *Biller) AddWork(account, stage string, cost float64) {
	if cost > 0 {
		b.own.account(account).stage(stage).cost += cost
	}
}

// AddWasted adds work that led to no answer: hedges that lost, failed tries, cancelled calls.
// It is apart from Work, not a part of it.
func (b *Biller) AddWasted(account, stage string, cost float64) {
	if cost > 0 {
		b.own.account(account).stage(stage).wasted += cost
	}
}

// CountOutcome counts how a request of the account ended.
func (b *Biller) CountOutcome(account string, urgency scheduler.Urgency, o Outcome) {
	b.own.account(account).count(urgency, o)
}

// Bills gives this entry's own totals since it started.
func (b *Biller) Bills() []Bill { return b.own.bills() }

// Merge takes in the bills of an incarnation of another entry, or of an earlier one of this
// entry. They are running totals, and may come twice, late or out of order.
func (b *Biller) Merge(entry string, incarnation uint64, bills []Bill) {
	s, ok := b.peers[entry]
	if !ok {
		s = &source{incarnations: map[uint64]totals{}}
		b.peers[entry] = s
	}
	b.merges++
	s.merged = b.merges
	if s.isSettled(incarnation) {
		return
	}
	if len(s.incarnations) == 0 {
		b.apart++
	}
	s.merge(incarnation, bills)
	b.settle(s, keptIncarnations)
	b.bound()
}

// Total gives the bills over this entry and all whose bills were merged, each counted once.
// Sums are taken in a fixed order: floating point sums depend on it, and a replay must agree.
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

// Incarnation is the bills of one incarnation of another entry.
type Incarnation struct {
	Entry       string
	Incarnation uint64
	Bills       []Bill
}

// OtherIncarnations returns the bills of other incarnations that are kept apart, in a fixed order, to be passed on: when an
// entry has gone its peers are all that knows of its bills.
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
