package measurer_test

import (
	"math"
	"math/rand/v2"
	"time"

	"geraniumline/scheduler"
)

// stageSpec is one stage of the simulated pipeline: its pool, and its service times, which are log-normal with the
// given mean.
type stageSpec struct {
	name  string
	slots int
	mean  time.Duration
	sigma float64
}

// pipeline has its bottleneck at the last stage, where a request that fails has cost the most.
var pipeline = []stageSpec{
	{"encode", 2, 12 * time.Millisecond, 0.3},
	{"retrieve", 4, 30 * time.Millisecond, 0.4},
	{"rerank", 4, 40 * time.Millisecond, 0.4},
	{"generate", 40, 900 * time.Millisecond, 0.5},
}

// siteCapacity returns the requests per second that the narrowest pool can serve.
func siteCapacity() float64 {
	least := math.Inf(1)
	for _, s := range pipeline {
		least = min(least, float64(s.slots)/s.mean.Seconds())
	}
	return least
}

// accountLoad describes the arrivals of one account.
type accountLoad struct {
	account  string
	weight   float64
	urgency  scheduler.Urgency
	deadline time.Duration
	// perSecond returns the offered rate at the given time since start.
	perSecond func(elapsed time.Duration) float64
}

// job is one request passing through the pipeline.
type job struct {
	id       uint64
	source   *accountLoad
	arrived  time.Time
	deadline time.Time
	stage    int
	service  []time.Duration
	spent    float64
	started  time.Time
	expected float64
	outcome  outcome
	ended    time.Time
	enqueued time.Time
	// announced holds the items of the stages after the first.
	announced []scheduler.Item
}

type outcome uint8

const (
	running outcome = iota
	inTime
	refused
	lost
)

// dispatcher admits, queues and gives up requests: the policy under test or a baseline.
type dispatcher interface {
	admit(s *site, j *job) bool
	push(s *site, pool int, j *job)
	// pop returns the next job of a pool, or nil if there is none.
	pop(s *site, pool int) *job
	backlog(pool int) int
	// budget returns how long the current stage of the job may run.
	budget(s *site, j *job) time.Duration
	served(s *site, j *job, service time.Duration)
	ended(j *job)
}

// site simulates a pipeline of pools behind one dispatcher.
type site struct {
	clock *clock
	rng   *rand.Rand
	d     dispatcher
	free  []int
	jobs  []*job

	idleBacklog, idle float64
	// idleUntil is the value of idle at the end of the measured window.
	idleUntil float64
	since     time.Time
}

func newSite(d dispatcher, seed uint64, load []accountLoad) *site {
	s := &site{clock: newClock(), rng: rand.New(rand.NewPCG(seed, 2)), d: d}
	s.since = s.clock.now
	for _, spec := range pipeline {
		s.free = append(s.free, spec.slots)
	}
	for i := range load {
		s.scheduleArrival(&load[i])
	}
	return s
}

func (s *site) scheduleArrival(source *accountLoad) {
	const pollInterval = 50 * time.Millisecond
	perSecond := source.perSecond(s.clock.elapsed())
	gap := time.Duration(math.MaxInt64)
	if perSecond > 0 {
		gap = time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	if gap > pollInterval {
		s.clock.after(pollInterval, func() { s.scheduleArrival(source) })
		return
	}
	s.clock.after(gap, func() {
		s.request(source)
		s.scheduleArrival(source)
	})
}

func (s *site) request(source *accountLoad) {
	j := &job{id: uint64(len(s.jobs) + 1), source: source, arrived: s.clock.now, deadline: s.clock.now.Add(source.deadline)}
	for _, spec := range pipeline {
		mu := -spec.sigma * spec.sigma / 2
		factor := math.Exp(mu + spec.sigma*s.rng.NormFloat64())
		j.service = append(j.service, time.Duration(factor*float64(spec.mean)))
	}
	s.jobs = append(s.jobs, j)
	if !s.d.admit(s, j) {
		s.finish(j, refused)
		return
	}
	s.enter(j)
}

func (s *site) enter(j *job) {
	j.enqueued = s.clock.now
	s.accumulateIdle()
	s.d.push(s, j.stage, j)
	s.dispatch(j.stage)
}

func (s *site) dispatch(pool int) {
	for s.free[pool] > 0 {
		j := s.d.pop(s, pool)
		if j == nil {
			return
		}
		s.run(pool, j)
	}
}

// run runs one stage of a job; the stage is cut off at the end of its budget.
func (s *site) run(pool int, j *job) {
	s.accumulateIdle()
	s.free[pool]--
	j.started = s.clock.now
	service, completed := j.service[j.stage], true
	if budget := s.d.budget(s, j); service > budget {
		service, completed = max(budget, 0), false
	}
	s.clock.after(service, func() {
		s.accumulateIdle()
		s.free[pool]++
		j.spent += float64(service.Milliseconds())
		s.advance(j, service, completed)
		s.dispatch(pool)
	})
}

func (s *site) advance(j *job, service time.Duration, completed bool) {
	if !completed {
		s.finish(j, lost)
		return
	}
	s.d.served(s, j, service)
	j.stage++
	if j.stage < len(pipeline) {
		s.enter(j)
		return
	}
	if s.clock.now.After(j.deadline) {
		s.finish(j, lost)
		return
	}
	s.finish(j, inTime)
}

func (s *site) finish(j *job, end outcome) {
	j.outcome = end
	j.ended = s.clock.now
	s.d.ended(j)
}

// bottleneck is the index of the narrowest pool in pipeline.
const bottleneck = 3

// accumulateIdle adds up the slot seconds that the bottleneck was idle, in total and while jobs were waiting.
func (s *site) accumulateIdle() {
	elapsed := s.clock.now.Sub(s.since).Seconds()
	s.since = s.clock.now
	s.idle += elapsed * float64(s.free[bottleneck])
	s.idleBacklog += elapsed * float64(min(s.free[bottleneck], s.d.backlog(bottleneck)))
}

// tally counts the outcomes of the requests that arrived in a window.
type tally struct {
	offered, inTime, refused, lost int
	work, wasted                   float64
	refusals                       []time.Duration
}

func (s *site) tally(from, to time.Duration, account string) tally {
	var t tally
	for _, j := range s.jobs {
		at := j.arrived.Sub(start)
		if at < from || at >= to || account != "" && j.source.account != account {
			continue
		}
		t.add(j)
	}
	return t
}

func (t *tally) add(j *job) {
	t.offered++
	t.work += j.spent
	switch j.outcome {
	case inTime:
		t.inTime++
		return
	case refused:
		t.refused++
		t.refusals = append(t.refusals, j.ended.Sub(j.arrived))
	default:
		t.lost++
	}
	t.wasted += j.spent
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 1
	}
	return part / whole
}

// attainment returns the share of the offered requests that were answered in time.
func (t tally) attainment() float64 { return ratio(float64(t.inTime), float64(t.offered)) }

// admittedAttainment returns the share of the admitted requests that were answered in time.
func (t tally) admittedAttainment() float64 {
	return ratio(float64(t.inTime), float64(t.inTime+t.lost))
}

func (t tally) wastedShare() float64 {
	if t.work == 0 {
		return 0
	}
	return t.wasted / t.work
}
