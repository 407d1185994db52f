package measurer_test

import (
	"math"
	"math/rand/v2"
	"time"

	"geraniumline/scheduler"
)

// stageSpec is one stage of the pipeline in the trials: its pool and its service times,
// log-normal about the mean.
type stageSpec struct {
	name  string
	slots int
	mean  time.Duration
	sigma float64
}

// pipeline has its bottleneck at the end, where a request that fails has cost the most.
var pipeline = []stageSpec{
	{"encode", 2, 12 * time.Millisecond, 0.3},
	{"retrieve", 4, 30 * time.Millisecond, 0.4},
	{"rerank", 4, 40 * time.Millisecond, 0.4},
	{"generate", 40, 900 * time.Millisecond, 0.5},
}

// siteCapacity is the requests a second that the narrowest pool can serve.
func siteCapacity() float64 {
	least := math.Inf(1)
	for _, s := range pipeline {
		least = min(least, float64(s.slots)/s.mean.Seconds())
	}
	return least
}

// callers are one account's arrivals.
type callers struct {
	account  string
	weight   float64
	urgency  scheduler.Urgency
	deadline time.Duration
	// perSecond is the offered rate at a time since start.
	perSecond func(elapsed time.Duration) float64
}

// job is one request on its way through the pipeline.
type job struct {
	id       uint64
	from     *callers
	arrived  time.Time
	deadline time.Time
	stage    int
	service  []time.Duration
	spent    float64
	started  time.Time
	expected float64
	end      ending
	ended    time.Time
	entered  time.Time
	// announced are the items of the stages after the first.
	announced []scheduler.Item
}

type ending uint8

const (
	running ending = iota
	inTime
	refused
	lost
)

// dispatcher is a way to admit, queue and give up requests: ours or a baseline's.
type dispatcher interface {
	admit(s *site, j *job) bool
	push(s *site, pool int, j *job)
	// pop gives the next job of a pool, or nil.
	pop(s *site, pool int) *job
	backlog(pool int) int
	// budget is how long the job's present stage may run.
	budget(s *site, j *job) time.Duration
	served(s *site, j *job, service time.Duration)
	ended(j *job)
}

// site is a pipeline of pools with one dispatcher before them, in simulated time.
type site struct {
	clock *clock
	rng   *rand.Rand
	d     dispatcher
	free  []int
	jobs  []*job

	idleBacklog, idle float64
	// idleUntil is idle at the end of the window that is counted.
	idleUntil float64
	since     time.Time
}

func newSite(d dispatcher, seed uint64, load []callers) *site {
	s := &site{clock: newClock(), rng: rand.New(rand.NewPCG(seed, 2)), d: d}
	s.since = s.clock.now
	for _, spec := range pipeline {
		s.free = append(s.free, spec.slots)
	}
	for i := range load {
		s.arrive(&load[i])
	}
	return s
}

func (s *site) arrive(from *callers) {
	const look = 50 * time.Millisecond
	perSecond := from.perSecond(s.clock.elapsed())
	gap := time.Duration(math.MaxInt64)
	if perSecond > 0 {
		gap = time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	if gap > look {
		s.clock.after(look, func() { s.arrive(from) })
		return
	}
	s.clock.after(gap, func() {
		s.request(from)
		s.arrive(from)
	})
}

func (s *site) request(from *callers) {
	j := &job{id: uint64(len(s.jobs) + 1), from: from, arrived: s.clock.now, deadline: s.clock.now.Add(from.deadline)}
	for _, spec := range pipeline {
		mu := -spec.sigma * spec.sigma / 2
		stretch := math.Exp(mu + spec.sigma*s.rng.NormFloat64())
		j.service = append(j.service, time.Duration(stretch*float64(spec.mean)))
	}
	s.jobs = append(s.jobs, j)
	if !s.d.admit(s, j) {
		s.finish(j, refused)
		return
	}
	s.enter(j)
}

func (s *site) enter(j *job) {
	j.entered = s.clock.now
	s.measure()
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

// run serves one stage; it is cut when its budget ends.
func (s *site) run(pool int, j *job) {
	s.measure()
	s.free[pool]--
	j.started = s.clock.now
	service, whole := j.service[j.stage], true
	if budget := s.d.budget(s, j); service > budget {
		service, whole = max(budget, 0), false
	}
	s.clock.after(service, func() {
		s.measure()
		s.free[pool]++
		j.spent += float64(service.Milliseconds())
		s.advance(j, service, whole)
		s.dispatch(pool)
	})
}

func (s *site) advance(j *job, service time.Duration, whole bool) {
	if !whole {
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

func (s *site) finish(j *job, end ending) {
	j.end = end
	j.ended = s.clock.now
	s.d.ended(j)
}

// bottleneck is the index of the narrowest pool.
const bottleneck = 3

// measure adds up the idle slots of the bottleneck, and those that were idle under backlog.
func (s *site) measure() {
	elapsed := s.clock.now.Sub(s.since).Seconds()
	s.since = s.clock.now
	s.idle += elapsed * float64(s.free[bottleneck])
	s.idleBacklog += elapsed * float64(min(s.free[bottleneck], s.d.backlog(bottleneck)))
}

// tally is what became of the requests that arrived in a window.
type tally struct {
	offered, inTime, refused, lost int
	work, wasted                   float64
	refusals                       []time.Duration
}

func (s *site) tally(from, to time.Duration, account string) tally {
	var t tally
	for _, j := range s.jobs {
		at := j.arrived.Sub(start)
		if at < from || at >= to || account != "" && j.from.account != account {
			continue
		}
		t.add(j)
	}
	return t
}

func (t *tally) add(j *job) {
	t.offered++
	t.work += j.spent
	switch j.end {
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

// attainment is the part of the offered requests that was answered in time.
func (t tally) attainment() float64 { return ratio(float64(t.inTime), float64(t.offered)) }

// admittedAttainment is the part of the admitted requests that was answered in time.
func (t tally) admittedAttainment() float64 {
	return ratio(float64(t.inTime), float64(t.inTime+t.lost))
}

func (t tally) wastedPart() float64 {
	if t.work == 0 {
		return 0
	}
	return t.wasted / t.work
}
