package biller

import (
	"maps"
	"slices"

	"geraniumline/scheduler"
)

// Incarnations kept apart for each entry; older ones are added into one total.
const keptIncarnations = 4

// Biller holds this entry's own bills and the last known bills of its peers. It is not
// safe for concurrent use: the reducer owns it.
type Biller struct {
	own   totals
	peers map[string]*source
}

// source is what is known of one entry's bills.
type source struct {
	incarnations map[uint64]totals
	// settled is the sum of the incarnations that are no longer kept apart, and settledTo the
	// highest of them: a bill of one of these that comes late is dropped, or it would be
	// counted twice.
	settled   totals
	settledTo uint64
}

// New makes a Biller with nothing on it.
func New() *Biller {
	return &Biller{own: totals{}, peers: map[string]*source{}}
}

// Work adds work of a stage for an account, in endpoint milliseconds.
func (b *Biller) Work(account, stage string, cost float64) {
	if cost > 0 {
		b.own.account(account).stage(stage).cost += cost
	}
}

// Wasted adds work that led to no answer: hedges that lost, failed tries, cancelled calls.
// It is apart from Work, not a part of it.
func (b *Biller) Wasted(account, stage string, cost float64) {
	if cost > 0 {
		b.own.account(account).stage(stage).wasted += cost
	}
}

// Outcome counts how a request of the account ended.
func (b *Biller) Outcome(account string, urgency scheduler.Urgency, o Outcome) {
	b.own.account(account).count(urgency, o)
}

// Bills gives this entry's own totals since it started.
func (b *Biller) Bills() []Bill { return b.own.bills() }

// Merge takes in another entry's bills. They may come twice, late or out of order.
func (b *Biller) Merge(entry string, incarnation uint64, bills []Bill) {
	s, ok := b.peers[entry]
	if !ok {
		s = &source{incarnations: map[uint64]totals{}, settled: totals{}}
		b.peers[entry] = s
	}
	s.merge(incarnation, bills)
}

func (s *source) merge(incarnation uint64, bills []Bill) {
	if incarnation <= s.settledTo && s.settledTo > 0 {
		return
	}
	t, ok := s.incarnations[incarnation]
	if !ok {
		t = totals{}
		s.incarnations[incarnation] = t
	}
	t.raise(bills)
	for len(s.incarnations) > keptIncarnations {
		s.settleOldest()
	}
}

func (s *source) settleOldest() {
	oldest := ^uint64(0)
	for incarnation := range s.incarnations {
		oldest = min(oldest, incarnation)
	}
	s.settled.add(s.incarnations[oldest])
	s.settledTo = oldest
	delete(s.incarnations, oldest)
}

// Total gives the bills over this entry and all whose bills were merged, each counted once.
// Sums are taken in a fixed order: floating point sums depend on it, and a replay must agree.
func (b *Biller) Total() []Bill {
	sum := totals{}
	sum.add(b.own)
	for _, entry := range slices.Sorted(maps.Keys(b.peers)) {
		s := b.peers[entry]
		sum.add(s.settled)
		for _, incarnation := range slices.Sorted(maps.Keys(s.incarnations)) {
			sum.add(s.incarnations[incarnation])
		}
	}
	return sum.bills()
}
