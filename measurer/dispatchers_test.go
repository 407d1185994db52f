package measurer_test

import (
	"time"

	"geraniumline/admitter"
	"geraniumline/scheduler"
)

// policy is the dispatcher under test: it calls the admitter and the scheduler as the reducer does.
type policy struct {
	admitter  *admitter.Admitter
	scheduler *scheduler.Scheduler
	jobs      map[uint64]*job
	// admitAll disables refusal at admission.
	admitAll bool
	// capacityFactor is the assumed capacity of each pool as a multiple of its real capacity.
	capacityFactor float64
}

func newPolicy() *policy {
	return &policy{
		admitter:       admitter.New(admitter.Config{}),
		scheduler:      scheduler.New(scheduler.Config{}),
		jobs:           map[uint64]*job{},
		capacityFactor: 1,
	}
}

func (p *policy) item(j *job, stage int) scheduler.Item {
	spec := pipeline[stage]
	return scheduler.Item{
		ID: j.id, Account: j.source.account, Weight: j.source.weight, Urgency: j.source.urgency,
		Cost:     p.admitter.ExpectedCost(spec.name, float64(spec.mean.Milliseconds())),
		Deadline: j.deadline,
	}
}

// pendingStages describes the stages that still have to run, beginning with from. If queued is false, the first of
// them has left the queue and has no work ahead.
func (p *policy) pendingStages(j *job, from int, queued bool, now time.Time) []admitter.PendingStage {
	var pending []admitter.PendingStage
	for i := from; i < len(pipeline); i++ {
		spec := pipeline[i]
		stage := admitter.PendingStage{Stage: spec.name, Pool: spec.name, Expected: spec.mean, Capacity: p.capacityFactor * float64(spec.slots)}
		if drain := p.scheduler.DrainRate(spec.name, now); drain > 0 {
			stage.Capacity = drain
		}
		if queued || i > from {
			ahead := p.scheduler.WorkAhead(spec.name, p.item(j, i))
			stage.WorkAhead, stage.WorstWorkAhead = ahead.Current, ahead.WorstCase
		}
		pending = append(pending, stage)
	}
	return pending
}

func (p *policy) admit(s *site, j *job) bool {
	if p.admitAll {
		return true
	}
	if _, ok := p.admitter.Admit(p.pendingStages(j, 0, true, s.clock.now), j.deadline, s.clock.now).(admitter.Admitted); !ok {
		return false
	}
	for i := 1; i < len(pipeline); i++ {
		item := p.item(j, i)
		j.announced = append(j.announced, item)
		p.scheduler.Announce(pipeline[i].name, item)
	}
	return true
}

// withdraw withdraws the items announced for stages with an index in [from, to).
func (p *policy) withdraw(j *job, from, to int) {
	if len(j.announced) == 0 {
		return
	}
	for i := max(from, 1); i < to; i++ {
		p.scheduler.Withdraw(pipeline[i].name, j.announced[i-1])
	}
}

func (p *policy) ended(j *job) { p.withdraw(j, j.stage+1, len(pipeline)) }

func (p *policy) push(s *site, pool int, j *job) {
	p.jobs[j.id] = j
	p.withdraw(j, pool, pool+1)
	item := p.item(j, pool)
	j.expected = item.Cost
	p.scheduler.Push(pipeline[pool].name, item, s.clock.now)
}

func (p *policy) pop(s *site, pool int) *job {
	name := pipeline[pool].name
	for {
		item, ok := p.scheduler.PopExpired(name, s.clock.now)
		if !ok {
			break
		}
		s.finish(p.jobs[item.ID], lost)
	}
	for {
		item, ok := p.scheduler.Pop(name, s.clock.now)
		if !ok {
			return nil
		}
		j := p.jobs[item.ID]
		p.admitter.ObserveWait(name, s.clock.now.Sub(j.enqueued), s.clock.now)
		if p.admitter.CannotFinish(p.pendingStages(j, j.stage, false, s.clock.now), j.deadline, s.clock.now) {
			p.scheduler.Charge(name, item.Account, -item.Cost)
			s.finish(j, lost)
			continue
		}
		return j
	}
}

func (p *policy) backlog(pool int) int { return p.scheduler.Len(pipeline[pool].name) }

func (p *policy) budget(s *site, j *job) time.Duration {
	return p.admitter.Budget(p.pendingStages(j, j.stage, false, s.clock.now), j.deadline, s.clock.now)
}

func (p *policy) served(s *site, j *job, service time.Duration) {
	name, cost := pipeline[j.stage].name, float64(service)/float64(time.Millisecond)
	p.admitter.Observe(name, service, cost, s.clock.now)
	p.scheduler.Charge(name, j.source.account, cost-j.expected)
}

// fifo is the baseline: first in, first out, without the requests whose deadline has passed. It refuses at
// admission when bound requests wait; 0 admits all.
type fifo struct {
	queues [][]*job
	bound  int
}

func newFIFO(bound int) *fifo {
	return &fifo{queues: make([][]*job, len(pipeline)), bound: bound}
}

func (f *fifo) admit(_ *site, _ *job) bool {
	waiting := 0
	for _, q := range f.queues {
		waiting += len(q)
	}
	return f.bound == 0 || waiting < f.bound
}

func (f *fifo) push(_ *site, pool int, j *job) { f.queues[pool] = append(f.queues[pool], j) }

func (f *fifo) pop(s *site, pool int) *job {
	for len(f.queues[pool]) > 0 {
		j := f.queues[pool][0]
		f.queues[pool] = f.queues[pool][1:]
		if j.deadline.After(s.clock.now) {
			return j
		}
		s.finish(j, lost)
	}
	return nil
}

func (f *fifo) backlog(pool int) int { return len(f.queues[pool]) }

func (f *fifo) budget(s *site, j *job) time.Duration { return j.deadline.Sub(s.clock.now) }

func (f *fifo) served(*site, *job, time.Duration) {}

func (f *fifo) ended(*job) {}
