package limiter

import (
	"math"
	"time"
)

const (
	retryUnknownAccount = 5 * time.Second
	// retryConcurrency is told when no slot is free: a slot's end can't be foreseen here.
	retryConcurrency = 250 * time.Millisecond
	retryShortest    = 5 * time.Millisecond
	// retryLongest bounds the wait that a refusal tells: shares move within seconds, so a
	// longer wait would be a guess.
	retryLongest = 10 * time.Second
	// costBurst is how many seconds of an account's cost limit may be used at once.
	costBurst = 2.0
)

// portion is the part of an account's limits that this entry reckons with.
type portion struct {
	// share is the part of the limits for this entry.
	share float64
	// heard is the part for this entry and all peers that are heard.
	heard float64
	// entries is the number of those.
	entries float64
}

// account is one client account's state at this entry.
type account struct {
	name   string
	limits Limits

	requests bucket
	cost     bucket
	filledAt time.Time
	// lentAt is when the borrowed amounts were last set to 0.
	lentAt time.Time

	inFlight      int
	borrowedSlots int

	demand   rate
	rate     rate
	costRate rate

	portion  portion
	sharedAt time.Time
	// idleShare is what an entry without demand was left when all peers were last heard, at idleAt.
	idleShare float64
	idleAt    time.Time
	stale     bool
	peerUses  []peerUse
	told      told

	removed bool
}

func (a *account) setLimits(limits Limits, heartbeat time.Duration) {
	a.limits = limits
	a.requests.lag = heartbeat.Seconds()
	a.cost.lag = heartbeat.Seconds()
	a.requests.set(limits.RatePerSecond, limits.Burst)
	a.cost.set(limits.CostPerSecond, limits.CostPerSecond*costBurst)
	a.demand.span = rateSpan(limits.RatePerSecond)
	a.rate.span = longestSpan
	a.costRate.span = longestSpan
	a.stale = true
}

func (a *account) refill(now time.Time) {
	elapsed := max(0, now.Sub(a.filledAt).Seconds())
	if elapsed > 0 {
		a.filledAt = now
	}
	a.requests.refill(elapsed, a.portion)
	a.cost.refill(elapsed, a.portion)
}

// lend allows borrowing anew in each heartbeat.
func (a *account) lend(heartbeat time.Duration, now time.Time) {
	if now.Sub(a.lentAt) < heartbeat {
		return
	}
	a.lentAt = now
	a.requests.borrowed = 0
	a.cost.borrowed = 0
	a.borrowedSlots = 0
}

// admit decides and, when it admits, takes.
func (a *account) admit(cost float64) Decision {
	slot := a.slot()
	if slot == fromNothing {
		return refuse(ReasonConcurrency, retryConcurrency)
	}
	work := a.cost.pay(cost, a.portion)
	if work == fromNothing {
		return refuse(ReasonCost, a.cost.until(cost, a.portion))
	}
	request := a.requests.pay(1, a.portion)
	if request == fromNothing {
		return refuse(ReasonRate, a.requests.until(1, a.portion))
	}
	a.requests.take(1, request)
	a.cost.take(cost, work)
	a.inFlight++
	if slot == fromSystem {
		a.borrowedSlots++
	}
	return Admitted{}
}

// slot tells whether one more request may be in flight. Requests that run at a peer go on
// after the share has moved here, so the peers' reports bound even the entry's own part.
func (a *account) slot() source {
	if a.limits.Concurrency <= 0 {
		return fromPart
	}
	limit := float64(a.limits.Concurrency)
	free := limit*a.portion.heard - float64(a.inFlight)
	for i := range a.peerUses {
		if a.peerUses[i].counted {
			free -= float64(a.peerUses[i].inFlight)
		}
	}
	if free < 1 {
		return fromNothing
	}
	if float64(a.inFlight+1) <= math.Floor(a.portion.share*limit) {
		return fromPart
	}
	if free < 2 && !a.leads() {
		return fromNothing
	}
	if a.borrowedSlots > 0 && float64(a.borrowedSlots+1) > free/a.portion.entries {
		return fromNothing
	}
	return fromSystem
}

// leads tells that no peer that is heard has a greater part of the limits. The last free
// slot goes to the entry that leads: two that took it at once would be over the limit.
func (a *account) leads() bool {
	for i := range a.peerUses {
		if a.peerUses[i].counted && a.peerUses[i].share > a.portion.share {
			return false
		}
	}
	return true
}

func (a *account) release(extraCost float64) {
	if a.inFlight > 0 {
		a.inFlight--
	}
	a.cost.correct(extraCost)
}
