package measurer_test

import (
	"math/rand/v2"
	"time"

	"geraniumline/limiter"
)

const (
	entryCount     = 7
	heartbeat      = 200 * time.Millisecond
	heartbeatDelay = 2 * time.Millisecond
	limitedAccount = "wallcare"
	slotService    = 500 * time.Millisecond
)

// gate is one entry's decision on limits, ours or a baseline's.
type gate interface {
	admit(cost float64, now time.Time) bool
	release(estimated, actual float64, now time.Time)
}

// limitTrial is a system of entries with one limited account.
type limitTrial struct {
	clock    *clock
	rng      *rand.Rand
	limits   limiter.Limits
	gates    []gate
	limiters []*limiter.Limiter
	// side is the part of the network that each entry is in; entries of other sides are not heard.
	side []int
	dead []bool
	// demand gives the offered requests a second of an entry.
	demand  demandFunc
	service time.Duration
	cost    float64

	// deathNotice is how long peers take to know that an entry has ended.
	deathNotice time.Duration

	admitted, offered []time.Duration
	// work is the cost of each admitted request, by index in admitted.
	work       []float64
	inFlight   int
	slotTime   float64
	excessTime float64
	slotSince  time.Time
	slotsFrom  time.Time
}

type gateKind int

const (
	ours gateKind = iota
	evenSplit
	unlimitedLocal
	central
)

func newLimitTrial(kind gateKind, limits limiter.Limits, demand demandFunc, seed uint64) *limitTrial {
	tr := &limitTrial{
		clock:   newClock(),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		limits:  limits,
		side:    make([]int, entryCount),
		dead:    make([]bool, entryCount),
		demand:  demand,
		service: 100 * time.Millisecond,
		cost:    100,
	}
	if limits.Concurrency > 0 {
		tr.service = slotService
	}
	tr.slotSince = tr.clock.now
	for i := range entryCount {
		tr.gates = append(tr.gates, tr.newGate(kind, i))
	}
	for i := range entryCount {
		tr.arrive(i)
	}
	return tr
}

func (tr *limitTrial) newGate(kind gateKind, i int) gate {
	switch kind {
	case evenSplit:
		return newBucketGate(tr.limits, 1/float64(entryCount))
	case unlimitedLocal:
		return newBucketGate(tr.limits, 1)
	case central:
		if i > 0 {
			return tr.gates[0]
		}
		return newBucketGate(tr.limits, 1)
	default:
		l := limiter.New(limiter.Config{Entry: entryName(i)})
		l.SetEntryCount(entryCount, tr.clock.now)
		l.SetLimits(limitedAccount, tr.limits, tr.clock.now)
		tr.limiters = append(tr.limiters, l)
		phase := heartbeat * time.Duration(i) / entryCount
		tr.clock.every(phase, heartbeat, func() { tr.beat(i) })
		return limiterGate{l}
	}
}

func entryName(i int) string { return string(rune('a' + i)) }

// beat sends one entry's heartbeat to all whom it reaches.
func (tr *limitTrial) beat(from int) {
	if tr.dead[from] {
		return
	}
	uses := tr.limiters[from].UsageReports(tr.clock.now)
	for to := range tr.limiters {
		if to == from || tr.side[to] != tr.side[from] || tr.dead[to] {
			continue
		}
		tr.clock.after(heartbeatDelay, func() {
			tr.limiters[to].UpdatePeerUsage(entryName(from), uses, tr.clock.now)
		})
	}
}

// arrive schedules one entry's next arrival; gaps are exponential at the present demand.
func (tr *limitTrial) arrive(entry int) {
	perSecond := tr.demand(entry, tr.clock.elapsed())
	const look = 10 * time.Millisecond
	if perSecond <= 0 {
		tr.clock.after(look, func() { tr.arrive(entry) })
		return
	}
	gap := time.Duration(tr.rng.ExpFloat64() / perSecond * float64(time.Second))
	if gap > 20*look {
		// The demand may change meanwhile: an exponential gap has no memory, so look again.
		tr.clock.after(20*look, func() { tr.arrive(entry) })
		return
	}
	tr.clock.after(gap, func() {
		tr.request(entry)
		tr.arrive(entry)
	})
}

func (tr *limitTrial) request(entry int) {
	if tr.dead[entry] || tr.demand(entry, tr.clock.elapsed()) <= 0 {
		return
	}
	tr.offered = append(tr.offered, tr.clock.elapsed())
	if !tr.gates[entry].admit(tr.cost, tr.clock.now) {
		return
	}
	// What a request costs is known at its end only, and is exponential about the estimate.
	stretch := tr.rng.ExpFloat64()
	actual := stretch * tr.cost
	tr.admitted = append(tr.admitted, tr.clock.elapsed())
	tr.work = append(tr.work, actual)
	tr.count(1)
	tr.clock.after(time.Duration(stretch*float64(tr.service)), func() {
		tr.count(-1)
		tr.gates[entry].release(tr.cost, actual, tr.clock.now)
	})
}

func (tr *limitTrial) count(change int) {
	elapsed := tr.clock.now.Sub(tr.slotSince).Seconds()
	tr.slotTime += float64(tr.inFlight) * elapsed
	tr.excessTime += float64(max(0, tr.inFlight-tr.limits.Concurrency)) * elapsed
	tr.slotSince = tr.clock.now
	tr.inFlight += change
}

// resetSlots begins the count of slots in use anew.
func (tr *limitTrial) resetSlots() {
	tr.slotTime, tr.excessTime = 0, 0
	tr.slotSince, tr.slotsFrom = tr.clock.now, tr.clock.now
}

// slotsOver is the mean number of requests in flight beyond the limit, as a part of it.
func (tr *limitTrial) slotsOver() float64 {
	return tr.excessTime / tr.slotAllowance()
}

// slotsUsable is the mean number in flight within the limit, as a part of it.
func (tr *limitTrial) slotsUsable() float64 {
	return (tr.slotTime - tr.excessTime) / tr.slotAllowance()
}

func (tr *limitTrial) slotAllowance() float64 {
	return float64(tr.limits.Concurrency) * tr.clock.now.Sub(tr.slotsFrom).Seconds()
}

// die ends an entry; its peers learn of it only after tr.deathNotice.
func (tr *limitTrial) die(entry int) {
	tr.dead[entry] = true
	tr.clock.after(tr.deathNotice, func() {
		for i, l := range tr.limiters {
			if tr.dead[i] {
				continue
			}
			l.SetEntryCount(entryCount-1, tr.clock.now)
			l.RemovePeer(entryName(entry), tr.clock.now)
		}
	})
}

func within(times []time.Duration, from, to time.Duration) float64 {
	n := 0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return float64(n)
}

// over is the part by which admitted requests exceed the limit in the window.
func (tr *limitTrial) over(from, to time.Duration) float64 {
	allowed := tr.limits.RatePerSecond * (to - from).Seconds()
	return max(0, within(tr.admitted, from, to)/allowed-1)
}

// usable is the part of what the contract allows and callers asked for that was admitted.
func (tr *limitTrial) usable(from, to time.Duration) float64 {
	allowed := tr.limits.RatePerSecond * (to - from).Seconds()
	return within(tr.admitted, from, to) / min(allowed, within(tr.offered, from, to))
}

// workRate is the work that was admitted in the window, as a part of the limit on cost.
func (tr *limitTrial) workRate(from, to time.Duration) float64 {
	total := 0.0
	for i, t := range tr.admitted {
		if t >= from && t < to {
			total += tr.work[i]
		}
	}
	return total / (to - from).Seconds() / tr.limits.CostPerSecond
}

type limiterGate struct{ l *limiter.Limiter }

func (g limiterGate) admit(cost float64, now time.Time) bool {
	_, ok := g.l.Admit(limitedAccount, cost, now).(limiter.Admitted)
	return ok
}

func (g limiterGate) release(estimated, actual float64, now time.Time) {
	g.l.Release(limitedAccount, estimated, actual, now)
}

// bucketGate is the baseline: a token bucket with a fixed part of the limits.
type bucketGate struct {
	limits   limiter.Limits
	part     float64
	tokens   float64
	cost     float64
	inFlight int
	filled   time.Time
}

func newBucketGate(limits limiter.Limits, part float64) *bucketGate {
	return &bucketGate{limits: limits, part: part, tokens: max(1, limits.Burst*part), cost: 2 * limits.CostPerSecond * part, filled: start}
}

func (g *bucketGate) admit(cost float64, now time.Time) bool {
	elapsed := now.Sub(g.filled).Seconds()
	g.filled = now
	g.tokens = min(max(1, g.limits.Burst*g.part), g.tokens+elapsed*g.limits.RatePerSecond*g.part)
	g.cost = min(2*g.limits.CostPerSecond*g.part, g.cost+elapsed*g.limits.CostPerSecond*g.part)
	if g.limits.Concurrency > 0 && float64(g.inFlight) >= max(1, float64(g.limits.Concurrency)*g.part) {
		return false
	}
	if g.tokens < 1 || g.limits.CostPerSecond > 0 && g.cost < cost {
		return false
	}
	g.tokens--
	g.cost -= cost
	g.inFlight++
	return true
}

func (g *bucketGate) release(estimated, actual float64, _ time.Time) {
	g.inFlight--
	g.cost -= actual - estimated
}
