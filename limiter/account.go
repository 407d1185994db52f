package limiter

import (
	"math"
	"time"
)

const (
	retryUnknownAccount = 5 * time.Second
	// retryConcurrency is told when no slot is free: a slot's end can't be foreseen here.
	retryConcurrency = 250 * time.Millisecond
	// costBurst is how many seconds of an account's cost limit may be used at once.
	costBurst = 2.0
	// shareAge is how long a computed share is used before peers' reports are looked at anew.
	shareAge = 100 * time.Millisecond
)

// account is one client account's state at this entry.
type account struct {
	name     string
	limits   Limits
	inFlight int

	// tokens and costTokens may be below 0: a request is admitted when a part of a token is
	// there, since an entry's part of a small burst is less than one request.
	tokens     float64
	costTokens float64
	filledAt   time.Time

	demand   rate
	admitted rate
	cost     rate

	share     float64
	even      float64
	sharedAt  time.Time
	stale     bool
	peerUses  []peerUse
	advertise advertised

	active  bool
	removed bool
}

// advertised is what peers were told last of this entry's use.
type advertised struct {
	at       time.Time
	demand   float64
	previous float64
	inFlight int
}

func newAccount(name string, now time.Time) *account {
	return &account{name: name, filledAt: now, stale: true}
}

func (a *account) setShare(share, even float64) {
	a.share = share
	a.even = even
	a.clip()
}

// capacity is the most tokens that this entry may hold.
func (a *account) capacity() float64 { return a.share * a.limits.Burst }

func (a *account) costCapacity() float64 { return a.share * a.limits.CostPerSecond * costBurst }

func (a *account) fill() {
	a.tokens = a.capacity()
	a.costTokens = a.costCapacity()
}

func (a *account) clip() {
	a.tokens = math.Min(a.tokens, a.capacity())
	a.costTokens = math.Min(a.costTokens, a.costCapacity())
}

func (a *account) refill(now time.Time) {
	elapsed := now.Sub(a.filledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	a.filledAt = now
	a.tokens += elapsed * a.share * a.limits.RatePerSecond
	a.costTokens += elapsed * a.share * a.limits.CostPerSecond
	a.clip()
}

func (a *account) offered(now time.Time) {
	a.demand.add(now, 1)
	a.refill(now)
}

// check gives the refusal, or nil.
func (a *account) check(cost float64, slots int) Verdict {
	if a.limits.Concurrency > 0 && a.inFlight >= slots {
		return refuse(ReasonConcurrency, retryConcurrency)
	}
	if a.limits.CostPerSecond > 0 {
		needed := math.Min(cost, a.costCapacity())
		if a.costTokens < needed {
			return refuse(ReasonCost, a.until(needed-a.costTokens, a.limits.CostPerSecond))
		}
	}
	needed := math.Min(1, a.capacity())
	if a.tokens < needed {
		return refuse(ReasonRate, a.until(needed-a.tokens, a.limits.RatePerSecond))
	}
	return nil
}

// until gives the time in which this entry's part of the limit brings the missing tokens.
func (a *account) until(missing, perSecond float64) time.Duration {
	gain := perSecond * a.share
	if gain <= 0 {
		return math.MaxInt64
	}
	return time.Duration(missing / gain * float64(time.Second))
}

func (a *account) take(cost float64) {
	a.inFlight++
	a.tokens--
	a.costTokens -= cost
	a.admitted.add(a.filledAt, 1)
	a.cost.add(a.filledAt, cost)
}
