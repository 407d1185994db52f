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

// gate decides on admission at one entry, with the limiter under test or a baseline.
type gate interface {
	admit(cost float64, now time.Time) bool
	release(estimated, actual float64, now time.Time)
}

// limitTrial simulates entries that share one limited account.
type limitTrial struct {
	clock    *clock
	rng      *rand.Rand
	limits   limiter.Limits
	gates    []gate
	limiters []*limiter.Limiter
	// partition is the side of a network partition that each entry is on; heartbeats between sides are dropped.
	partition []int
	dead      []bool
	// demand returns the offered requests per second of an entry.
	demand  demandFunc
	service time.Duration
	cost    float64

	// deathNotice is the time until peers detect that an entry has ended.
	deathNotice time.Duration

	admitted, offered []time.Duration
	// work holds the cost of each admitted request, at the same index as in admitted.
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
		clock:     newClock(),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		limits:    limits,
		partition: make([]int, entryCount),
		dead:      make([]bool, entryCount),
		demand:    demand,
		service:   100 * time.Millisecond,
		cost:      100,
	}
	if limits.Concurrency > 0 {
		tr.service = slotService
	}
	tr.slotSince = tr.clock.now
	for i := range entryCount {
		tr.gates = append(tr.gates, tr.newGate(kind, i))
	}
	for i := range entryCount {
		tr.scheduleArrival(i)
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
		tr.clock.every(phase, heartbeat, func() { tr.sendHeartbeat(i) })
		return limiterGate{l}
	}
}

func entryName(i int) string { return string(rune('a' + i)) }

// sendHeartbeat sends one entry's heartbeat to all entries that it can reach.
func (tr *limitTrial) sendHeartbeat(from int) {
	if tr.dead[from] {
		return
	}
	reports := tr.limiters[from].UsageReports(tr.clock.now)
	for to := range tr.limiters {
		if to == from || tr.partition[to] != tr.partition[from] || tr.dead[to] {
			continue
		}
		tr.clock.after(heartbeatDelay, func() {
			tr.limiters[to].UpdatePeerUsage(entryName(from), reports, tr.clock.now)
		})
	}
}

// scheduleArrival schedules one entry's next arrival, after an exponential gap at the current demand.
func (tr *limitTrial) scheduleArrival(entry int) {
	perSecond := tr.demand(entry, tr.clock.elapsed())
	const pollInterval = 10 * time.Millisecond
	if perSecond <= 0 {
		tr.clock.after(pollInterval, func() { tr.scheduleArrival(entry) })
		return
	}
	gap := time.Duration(tr.rng.ExpFloat64() / perSecond * float64(time.Second))
	if gap > 20*pollInterval {
		// The demand may change meanwhile, and exponential gaps are memoryless, so draw again later.
		tr.clock.after(20*pollInterval, func() { tr.scheduleArrival(entry) })
		return
	}
	tr.clock.after(gap, func() {
		tr.request(entry)
		tr.scheduleArrival(entry)
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
	// The actual cost is only known at the end of a request; it is exponential with the estimate as its mean.
	factor := tr.rng.ExpFloat64()
	actual := factor * tr.cost
	tr.admitted = append(tr.admitted, tr.clock.elapsed())
	tr.work = append(tr.work, actual)
	tr.addInFlight(1)
	tr.clock.after(time.Duration(factor*float64(tr.service)), func() {
		tr.addInFlight(-1)
		tr.gates[entry].release(tr.cost, actual, tr.clock.now)
	})
}

func (tr *limitTrial) addInFlight(change int) {
	elapsed := tr.clock.now.Sub(tr.slotSince).Seconds()
	tr.slotTime += float64(tr.inFlight) * elapsed
	tr.excessTime += float64(max(0, tr.inFlight-tr.limits.Concurrency)) * elapsed
	tr.slotSince = tr.clock.now
	tr.inFlight += change
}

// resetSlots restarts the measurement of slots in use.
func (tr *limitTrial) resetSlots() {
	tr.slotTime, tr.excessTime = 0, 0
	tr.slotSince, tr.slotsFrom = tr.clock.now, tr.clock.now
}

// slotExcess returns the mean number of requests in flight beyond the limit, as a share of the limit.
func (tr *limitTrial) slotExcess() float64 {
	return tr.excessTime / tr.slotAllowance()
}

// usableSlots returns the mean number of requests in flight within the limit, as a share of the limit.
func (tr *limitTrial) usableSlots() float64 {
	return (tr.slotTime - tr.excessTime) / tr.slotAllowance()
}

func (tr *limitTrial) slotAllowance() float64 {
	return float64(tr.limits.Concurrency) * tr.clock.now.Sub(tr.slotsFrom).Seconds()
}

// kill ends an entry; its peers detect this after tr.deathNotice.
func (tr *limitTrial) kill(entry int) {
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

// excess returns the share by which the requests admitted in the window exceed the limit.
func (tr *limitTrial) excess(from, to time.Duration) float64 {
	allowed := tr.limits.RatePerSecond * (to - from).Seconds()
	return max(0, within(tr.admitted, from, to)/allowed-1)
}

// usable returns the admitted requests of the window as a share of those that were offered and allowed by the
// contract.
func (tr *limitTrial) usable(from, to time.Duration) float64 {
	allowed := tr.limits.RatePerSecond * (to - from).Seconds()
	return within(tr.admitted, from, to) / min(allowed, within(tr.offered, from, to))
}

// workRate returns the rate of work admitted in the window, as a share of the limit on cost.
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

// bucketGate is the baseline: a token bucket with a fixed share of the limits.
type bucketGate struct {
	limits   limiter.Limits
	share    float64
	tokens   float64
	cost     float64
	inFlight int
	filled   time.Time
}

func newBucketGate(limits limiter.Limits, share float64) *bucketGate {
	return &bucketGate{limits: limits, share: share, tokens: max(1, limits.Burst*share), cost: 2 * limits.CostPerSecond * share, filled: start}
}

func (g *bucketGate) admit(cost float64, now time.Time) bool {
	elapsed := now.Sub(g.filled).Seconds()
	g.filled = now
	g.tokens = min(max(1, g.limits.Burst*g.share), g.tokens+elapsed*g.limits.RatePerSecond*g.share)
	g.cost = min(2*g.limits.CostPerSecond*g.share, g.cost+elapsed*g.limits.CostPerSecond*g.share)
	if g.limits.Concurrency > 0 && float64(g.inFlight) >= max(1, float64(g.limits.Concurrency)*g.share) {
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
