package biller

import (
	"slices"
	"strings"

	"geraniumline/scheduler"
)

// totals holds the running totals of one incarnation, or a sum of several, by account name.
type totals map[string]*accountTotal

// accountTotal is the running total of one account.
type accountTotal struct {
	// counts is indexed by scheduler.Urgency.
	counts [3]Counts
	stages map[string]*stageTotal
}

// stageTotal is the running total of one stage.
type stageTotal struct {
	cost, wasted float64
}

func (t totals) account(name string) *accountTotal {
	a, ok := t[name]
	if !ok {
		a = &accountTotal{stages: map[string]*stageTotal{}}
		t[name] = a
	}
	return a
}

func (a *accountTotal) stage(name string) *stageTotal {
	s, ok := a.stages[name]
	if !ok {
		s = &stageTotal{}
		a.stages[name] = s
	}
	return s
}

func (a *accountTotal) count(urgency scheduler.Urgency, o Outcome) {
	a.counts[min(urgency, scheduler.Relaxed)].count(o)
}

// raiseTo raises each total to that of bills if it is greater. Totals of an incarnation never
// decrease, so an older bill that arrives late, or one that arrives twice, changes nothing.
func (t totals) raiseTo(bills []Bill) {
	for i := range bills {
		a := t.account(bills[i].Account)
		for class, counts := range bills[i].classes() {
			a.counts[class].raiseTo(counts)
		}
		for _, stage := range bills[i].Stages {
			s := a.stage(stage.Stage)
			s.cost = max(s.cost, stage.Cost)
			s.wasted = max(s.wasted, stage.Wasted)
		}
	}
}

// add adds other to t.
func (t totals) add(other totals) {
	for name, total := range other {
		a := t.account(name)
		for class := range a.counts {
			a.counts[class].add(total.counts[class])
		}
		for stage, cost := range total.stages {
			s := a.stage(stage)
			s.cost += cost.cost
			s.wasted += cost.wasted
		}
	}
}

// bills returns the totals as bills, sorted by account name and their stages by stage name.
func (t totals) bills() []Bill {
	bills := make([]Bill, 0, len(t))
	for name, a := range t {
		bills = append(bills, a.bill(name))
	}
	slices.SortFunc(bills, func(a, b Bill) int { return strings.Compare(a.Account, b.Account) })
	return bills
}

func (a *accountTotal) bill(name string) Bill {
	bill := Bill{
		Account: name,
		Urgent:  a.counts[scheduler.Urgent],
		Normal:  a.counts[scheduler.Normal],
		Relaxed: a.counts[scheduler.Relaxed],
		Stages:  make([]StageCost, 0, len(a.stages)),
	}
	for stage, cost := range a.stages {
		bill.Stages = append(bill.Stages, StageCost{Stage: stage, Cost: cost.cost, Wasted: cost.wasted})
	}
	slices.SortFunc(bill.Stages, func(a, b StageCost) int { return strings.Compare(a.Stage, b.Stage) })
	return bill
}

// classes returns the counts of b, indexed by scheduler.Urgency.
func (b *Bill) classes() [3]Counts {
	return [3]Counts{
		scheduler.Urgent:  b.Urgent,
		scheduler.Normal:  b.Normal,
		scheduler.Relaxed: b.Relaxed,
	}
}
