package limiter

import (
	"math"
	"time"
)

const (
	retryUnknownAccount = 5 * time.Second
	// retryConcurrency is the retry delay when no slot is free, since it is unknown when one will
	// be.
	retryConcurrency = 250 * time.Millisecond
	minRetryAfter    = 5 * time.Millisecond
	// maxRetryAfter limits the retry delay of a refusal. Shares shift within seconds, so a longer
	// delay would be a guess.
	maxRetryAfter = 10 * time.Second
	// costBurstSeconds is the burst of an account's cost limit, in seconds of the limit.
	costBurstSeconds = 2.0
)

// allocation is the part of an account's limits that this entry works with.
type allocation struct {
	// share is the fraction of the limits for this entry.
	share float64
	// reachableShare is the fraction for this entry and all reachable peers together.
	reachableShare float64
	// reachableEntries is the number of these entries.
	reachableEntries float64
}

// account is the state of one client account at this entry.
type account struct {
	name   string
	limits Limits

	requests bucket
	cost     bucket
	filledAt time.Time
	// borrowingResetAt is when the borrowed amounts were last reset to 0.
	borrowingResetAt time.Time

	inFlight      int
	borrowedSlots int

	demand   rate
	rate     rate
	costRate rate

	allocation  allocation
	allocatedAt time.Time
	// idleShare is the share of an entry without demand when all peers were last reachable, at
	// idleAt.
	idleShare       float64
	idleAt          time.Time
	allocationStale bool
	peerUses        []peerUse
	lastReport      sentReport

	removed bool
}

func (a *account) setLimits(limits Limits, heartbeat time.Duration) {
	a.limits = limits
	a.requests.reportLag = heartbeat.Seconds()
	a.cost.reportLag = heartbeat.Seconds()
	a.requests.set(limits.RatePerSecond, limits.Burst)
	a.cost.set(limits.CostPerSecond, limits.CostPerSecond*costBurstSeconds)
	a.demand.span = rateSpan(limits.RatePerSecond)
	a.rate.span = maxSpan
	a.costRate.span = maxSpan
	a.allocationStale = true
}

func (a *account) refill(now time.Time) {
	elapsed := max(0, now.Sub(a.filledAt).Seconds())
	if elapsed > 0 {
		a.filledAt = now
	}
	a.requests.refill(elapsed, a.allocation)
	a.cost.refill(elapsed, a.allocation)
}

// resetBorrowing allows new borrowing once per heartbeat.
func (a *account) resetBorrowing(heartbeat time.Duration, now time.Time) {
	if now.Sub(a.borrowingResetAt) < heartbeat {
		return
	}
	a.borrowingResetAt = now
	a.requests.borrowed = 0
	a.cost.borrowed = 0
	a.borrowedSlots = 0
}

// admit makes the decision and, if the request is admitted, spends its cost.
func (a *account) admit(cost float64) Decision {
	slotFrom := a.slotSource()
	if slotFrom == sourceNone {
		return refuse(ReasonConcurrency, retryConcurrency)
	}
	costFrom := a.cost.sourceFor(cost, a.allocation)
	if costFrom == sourceNone {
		return refuse(ReasonCost, a.cost.timeUntil(cost, a.allocation))
	}
	requestFrom := a.requests.sourceFor(1, a.allocation)
	if requestFrom == sourceNone {
		return refuse(ReasonRate, a.requests.timeUntil(1, a.allocation))
	}
	a.requests.spend(1, requestFrom)
	a.cost.spend(cost, costFrom)
	a.inFlight++
	if slotFrom == sourceSystem {
		a.borrowedSlots++
	}
	return Admitted{}
}

// slotSource returns what one more request in flight would use. Requests running at a peer continue
// after the share has moved to this entry, so the peers' reports limit even the entry's own share.
func (a *account) slotSource() source {
	if a.limits.Concurrency <= 0 {
		return sourceOwnShare
	}
	limit := float64(a.limits.Concurrency)
	free := limit*a.allocation.reachableShare - float64(a.inFlight)
	for i := range a.peerUses {
		if a.peerUses[i].inPrediction {
			free -= float64(a.peerUses[i].inFlight)
		}
	}
	if free < 1 {
		return sourceNone
	}
	if float64(a.inFlight+1) <= math.Floor(a.allocation.share*limit) {
		return sourceOwnShare
	}
	if free < 2 && !a.hasLargestShare() {
		return sourceNone
	}
	if a.borrowedSlots > 0 && float64(a.borrowedSlots+1) > free/a.allocation.reachableEntries {
		return sourceNone
	}
	return sourceSystem
}

// hasLargestShare reports whether no reachable peer has a larger share of the limits. The last free
// slot goes to the entry with the largest share: two entries that took it at the same time would
// exceed the limit.
func (a *account) hasLargestShare() bool {
	for i := range a.peerUses {
		if a.peerUses[i].inPrediction && a.peerUses[i].share > a.allocation.share {
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
