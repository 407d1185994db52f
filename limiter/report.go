package limiter

import (
	"math"
	"time"

	"geraniumline/carrier"
)

const (
	// changeWorthTelling is the part by which a use must change to be told before it is due.
	changeWorthTelling = 0.05
	// quietDemand is the demand a second below which an account has nothing to say.
	quietDemand = 0.01
)

// told is what peers were told last of this entry's use.
type told struct {
	at       time.Time
	demand   float64
	rate     float64
	inFlight int
}

// UsageReports gives what peers have to know of this entry's use: accounts whose use has changed or
// was not repeated for Config.UseRefresh, at most Config.MaxUses of them. It is called once
// for each heartbeat, which then goes to all peers.
func (l *Limiter) UsageReports(now time.Time) []carrier.AccountUse {
	var uses []carrier.AccountUse
	kept := l.used[:0]
	var late []*account
	for _, a := range l.used {
		if a.removed {
			continue
		}
		if l.due(a, now) {
			if len(uses) == l.cfg.MaxReportedAccounts {
				late = append(late, a)
				continue
			}
			uses = append(uses, a.tell(l.cfg.UsageRefresh, now))
		}
		if a.quiet() && l.rest(a, now) {
			continue
		}
		kept = append(kept, a)
	}
	l.used = l.lateFirst(late, kept)
	return uses
}

// rest drops the account's state when it is worth no more than that of a new one.
func (l *Limiter) rest(a *account, now time.Time) bool {
	l.update(a, now)
	if len(a.peerUses) > 0 || !a.requests.full(a.portion) || !a.cost.full(a.portion) {
		return false
	}
	delete(l.accounts, a.name)
	if len(l.unused) < len(l.accounts)+1 {
		l.unused = append(l.unused, a)
	}
	return true
}

// lateFirst puts the accounts that found no room in this report first in the next, so that
// a bounded report leaves none out for ever.
func (l *Limiter) lateFirst(late, kept []*account) []*account {
	clear(l.used[len(kept):])
	if len(late) > 0 {
		return append(late, kept...)
	}
	return kept
}

// due tells whether peers' view of the account is out of date.
func (l *Limiter) due(a *account, now time.Time) bool {
	if a.quiet() && a.requests.used == 0 && a.demandNow(now) == 0 {
		return false
	}
	if now.Sub(a.told.at) >= l.cfg.UsageRefresh || a.inFlight != a.told.inFlight {
		return true
	}
	worth := changeWorthTelling * math.Max(a.told.demand, a.limits.RatePerSecond/float64(l.entries))
	if math.Abs(a.demandNow(now)-a.told.demand) > worth {
		return true
	}
	predicted := a.told.rate * now.Sub(a.told.at).Seconds()
	return math.Abs(a.requests.used-predicted) > changeWorthTelling*a.limits.Burst
}

// tell gives the report and notes what was told.
func (a *account) tell(refresh time.Duration, now time.Time) carrier.AccountUse {
	elapsed := max(min(now.Sub(a.told.at), refresh), time.Millisecond).Seconds()
	a.told = told{
		at:       now,
		demand:   a.demandNow(now),
		rate:     a.requests.report(elapsed),
		inFlight: a.inFlight,
	}
	return carrier.AccountUse{
		Account:  a.name,
		Rate:     float32(a.told.rate),
		Demand:   float32(a.told.demand),
		CostRate: float32(a.cost.report(elapsed)),
		InFlight: int32(a.inFlight),
	}
}

func (a *account) demandNow(now time.Time) float64 {
	demand := a.demand.at(now)
	if demand < quietDemand {
		return 0
	}
	return demand
}

// quiet tells that peers know that there is nothing to know.
func (a *account) quiet() bool {
	return a.told.demand == 0 && a.told.rate == 0 && a.told.inFlight == 0 && a.inFlight == 0
}
