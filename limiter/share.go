package limiter

import (
	"math"
	"time"
)

// allocationTTL is how long an allocation is used if no report arrives in the meantime.
const allocationTTL = 100 * time.Millisecond

// update brings the account's buckets up to date, and computes a new allocation if reports have
// arrived or time has passed. The allocation is computed first: after an idle period the last one
// may date from before any peer was reachable, and would have refilled the buckets too little.
func (l *Limiter) update(a *account, now time.Time) {
	if a.allocationStale || now.Sub(a.allocatedAt) >= allocationTTL {
		a.allocationStale = false
		a.allocatedAt = now
		l.updateSilentPeers(now)
		l.expireReports(a, now)
		a.allocation = l.allocate(a, now)
	}
	a.refill(now)
	a.resetBorrowing(l.cfg.Heartbeat, now)
}

// expireReports removes reports that a reachable peer no longer repeats. It excludes those of
// silent peers from the predictions, since their shares are reserved instead.
func (l *Limiter) expireReports(a *account, now time.Time) {
	remaining := a.peerUses[:0]
	for i := range a.peerUses {
		u := &a.peerUses[i]
		if u.peer.removed || u.peer.silent {
			a.excludeFromPrediction(u)
		}
		if u.peer.removed || u.peer.lastReportAt.Sub(u.at) >= l.cfg.UsageTTL || now.Sub(u.peer.lastReportAt) >= peerReportTTL {
			a.excludeFromPrediction(u)
			continue
		}
		remaining = append(remaining, *u)
	}
	clear(a.peerUses[len(remaining):])
	a.peerUses = remaining
}

// peerReportTTL is the silence after which a peer's last report is meaningless, since its share has
// converged to an even one long before.
const peerReportTTL = time.Minute

// allocate returns this entry's part of the account's limits.
//
// While all peers are reachable, demand that fits the limit is granted in full and the rest is
// split evenly. Demand beyond the limit is granted proportionally, above an even minimum. An
// unreachable entry may still be admitting requests, so a share is reserved for it: at first the
// share that it had when it was last reachable, which is what it continues to use, and with time an
// even share. The unreachable entry does the same for the entries that it cannot reach, so that
// both sides of a partition together stay within the limit.
func (l *Limiter) allocate(a *account, now time.Time) allocation {
	n := float64(l.entries)
	reachable := math.Max(1, n-float64(l.unreachable()))
	reachableShare := math.Max(0, 1-l.reservedShare(a, now))
	own := a.demand.at(now)
	totals := a.totals(own, now)
	split := splitter{limit: a.effectiveRateLimit(totals) * reachableShare, demand: totals.demand, entries: reachable, floor: l.cfg.FloorShare}
	for i := range a.peerUses {
		if a.peerUses[i].inPrediction {
			a.peerUses[i].setShare(reachableShare * split.share(a.peerUses[i].demand))
		}
	}
	if reachable == n {
		a.idleShare = split.share(0)
		a.idleAt = now
	}
	return allocation{share: reachableShare * split.share(own), reachableShare: reachableShare, reachableEntries: reachable}
}

// shareWeight is the weight of a peer's newest share in the mean share that is reserved for it.
const shareWeight = 0.05

// setShare sets the peer's share and updates the mean. Each entry computes the shares from the
// reports that it has at the moment, so single values differ between entries. If these were
// reserved in a partition, the shares that the entries reserve for each other would not add up.
func (u *peerUse) setShare(share float64) {
	u.share = share
	if u.meanShare == 0 {
		u.meanShare = share
		return
	}
	u.meanShare += shareWeight * (share - u.meanShare)
}

// usageTotals sums the usage of an account at this entry and at all reachable peers.
type usageTotals struct {
	demand, rate, costRate, inFlight float64
}

func (a *account) totals(demand float64, now time.Time) usageTotals {
	t := usageTotals{demand: demand, rate: a.rate.at(now), costRate: a.costRate.at(now), inFlight: float64(a.inFlight)}
	for i := range a.peerUses {
		u := &a.peerUses[i]
		if !u.inPrediction {
			continue
		}
		t.demand += u.demand
		t.rate += u.rate
		t.costRate += u.costRate
		t.inFlight += float64(u.inFlight)
	}
	return t
}

// effectiveRateLimit returns the requests per second that the account's tightest limit allows,
// based on the current cost and duration of its requests. That limit decides whether demand fits:
// with a limit that is not reached, shares would go to entries that cannot use them.
func (a *account) effectiveRateLimit(t usageTotals) float64 {
	limit := a.limits.RatePerSecond
	if a.limits.CostPerSecond > 0 && t.costRate > 0 {
		limit = math.Min(limit, a.limits.CostPerSecond*t.rate/t.costRate)
	}
	if a.limits.Concurrency > 0 && t.inFlight > 0 {
		limit = math.Min(limit, float64(a.limits.Concurrency)*t.rate/t.inFlight)
	}
	return limit
}

// unreachable returns the number of entries that are silent or have never reported.
func (l *Limiter) unreachable() int {
	never := max(0, l.entries-1-len(l.peers))
	return never + len(l.silent)
}

// reservedShare returns the fraction of the account's limits that is reserved for unreachable
// entries.
func (l *Limiter) reservedShare(a *account, now time.Time) float64 {
	even := 1 / float64(l.entries)
	reserved := even * float64(l.unreachable()-len(l.silent))
	for _, p := range l.silent {
		reserved += l.reservedShareOf(a, p, now)
	}
	return reserved
}

func (l *Limiter) reservedShareOf(a *account, p *peer, now time.Time) float64 {
	even := 1 / float64(l.entries)
	last := even
	if !a.idleAt.Before(p.lastReportAt) {
		last = a.idleShare
	}
	for i := range a.peerUses {
		if a.peerUses[i].peer == p {
			last = a.peerUses[i].meanShare
		}
	}
	silence := now.Sub(p.lastReportAt) - l.cfg.PeerTimeout
	decayed := math.Min(1, float64(silence)/float64(l.cfg.PeerDecay))
	return last + (even-last)*decayed
}

// splitter splits a limit over the reachable entries.
type splitter struct {
	limit, demand, entries, floor float64
}

// share returns the fraction for an entry with the given demand.
func (s splitter) share(demand float64) float64 {
	if s.limit <= 0 || s.demand <= 0 {
		return 1 / s.entries
	}
	if s.demand <= s.limit {
		return (demand + (s.limit-s.demand)/s.entries) / s.limit
	}
	return s.floor/s.entries + (1-s.floor)*demand/s.demand
}
