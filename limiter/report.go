package limiter

import (
	"math"
	"time"

	"geraniumline/carrier"
)

const (
	// minReportedChange is the relative change in usage that is reported before the next refresh is
	// due.
	minReportedChange = 0.05
	// minDemand is the demand per second below which an account counts as idle.
	minDemand = 0.01
)

// sentReport is the usage that was last reported to peers.
type sentReport struct {
	at       time.Time
	demand   float64
	rate     float64
	inFlight int
}

// UsageReports returns the usage that peers need to know of: accounts whose usage has changed or
// was not reported for Config.UsageRefresh, at most Config.MaxReportedAccounts of them. It is
// called once per heartbeat, and the result is sent to all peers.
func (l *Limiter) UsageReports(now time.Time) []carrier.AccountUse {
	var uses []carrier.AccountUse
	remaining := l.active[:0]
	var deferred []*account
	for _, a := range l.active {
		if a.removed {
			continue
		}
		if l.reportDue(a, now) {
			if len(uses) == l.cfg.MaxReportedAccounts {
				deferred = append(deferred, a)
				continue
			}
			uses = append(uses, a.makeReport(l.cfg.UsageRefresh, now))
		}
		if a.reportedIdle() && l.releaseIfIdle(a, now) {
			continue
		}
		remaining = append(remaining, a)
	}
	l.active = l.prependDeferred(deferred, remaining)
	return uses
}

// releaseIfIdle releases the account's state if it equals that of a new account. It reports whether
// it did.
func (l *Limiter) releaseIfIdle(a *account, now time.Time) bool {
	l.update(a, now)
	if len(a.peerUses) > 0 || !a.requests.full(a.allocation) || !a.cost.full(a.allocation) {
		return false
	}
	delete(l.accounts, a.name)
	if len(l.freeAccounts) < len(l.accounts)+1 {
		l.freeAccounts = append(l.freeAccounts, a)
	}
	return true
}

// prependDeferred puts the accounts that did not fit into this report first in the next one, so
// that a bounded report never omits an account forever.
func (l *Limiter) prependDeferred(deferred, remaining []*account) []*account {
	clear(l.active[len(remaining):])
	if len(deferred) > 0 {
		return append(deferred, remaining...)
	}
	return remaining
}

// reportDue reports whether the peers' view of the account is out of date.
func (l *Limiter) reportDue(a *account, now time.Time) bool {
	if a.reportedIdle() && a.requests.used == 0 && a.currentDemand(now) == 0 {
		return false
	}
	if now.Sub(a.lastReport.at) >= l.cfg.UsageRefresh || a.inFlight != a.lastReport.inFlight {
		return true
	}
	threshold := minReportedChange * math.Max(a.lastReport.demand, a.limits.RatePerSecond/float64(l.entries))
	if math.Abs(a.currentDemand(now)-a.lastReport.demand) > threshold {
		return true
	}
	predicted := a.lastReport.rate * now.Sub(a.lastReport.at).Seconds()
	return math.Abs(a.requests.used-predicted) > minReportedChange*a.limits.Burst
}

// makeReport returns the report on the account and records it as sent.
func (a *account) makeReport(refresh time.Duration, now time.Time) carrier.AccountUse {
	elapsed := max(min(now.Sub(a.lastReport.at), refresh), time.Millisecond).Seconds()
	a.lastReport = sentReport{
		at:       now,
		demand:   a.currentDemand(now),
		rate:     a.requests.report(elapsed),
		inFlight: a.inFlight,
	}
	return carrier.AccountUse{
		Account:  a.name,
		Rate:     float32(a.lastReport.rate),
		Demand:   float32(a.lastReport.demand),
		CostRate: float32(a.cost.report(elapsed)),
		InFlight: int32(a.inFlight),
	}
}

func (a *account) currentDemand(now time.Time) float64 {
	demand := a.demand.at(now)
	if demand < minDemand {
		return 0
	}
	return demand
}

// reportedIdle reports whether the account is idle and was last reported as idle.
func (a *account) reportedIdle() bool {
	return a.lastReport.demand == 0 && a.lastReport.rate == 0 && a.lastReport.inFlight == 0 && a.inFlight == 0
}
