package limiter

import (
	"math"
	"time"
)

// update computes the account's share anew when reports have come or time has passed.
func (l *Limiter) update(a *account, now time.Time) {
	if !a.stale && now.Sub(a.sharedAt) < shareAge {
		return
	}
	a.refill(now)
	a.stale = false
	a.sharedAt = now
	a.setShare(l.share(a, now), 1/float64(l.entries))
}

// share gives this entry's part of the account's limits.
//
// While peers are heard, demand that fits the limit is granted whole and what is left is
// split evenly; demand beyond the limit is granted in proportion, above an even floor. An
// entry that is not heard may still be admitting: it is left an even part, and as it
// reckons the same way of those that it does not hear, both sides of a partition together
// stay within the limit.
func (l *Limiter) share(a *account, now time.Time) float64 {
	n := float64(l.entries)
	own := a.demand.at(now)
	others, heard := l.heard(a, now)
	unheard := math.Max(0, n-float64(heard)-1)
	part := 1 - unheard/n
	limit := a.limits.RatePerSecond * part
	total := own + others
	split := float64(heard + 1)
	if limit <= 0 || total <= 0 {
		return part / split
	}
	if total <= limit {
		return part * (own + (limit-total)/split) / limit
	}
	floor := l.cfg.FloorShare
	return part * (floor/split + (1-floor)*own/total)
}

// heard sums the demand of the peers that are heard and counts those peers.
func (l *Limiter) heard(a *account, now time.Time) (demand float64, count int) {
	for _, p := range l.peers {
		if now.Sub(p.heardAt) < l.cfg.PeerSilence {
			count++
		}
	}
	kept := a.peerUses[:0]
	for _, u := range a.peerUses {
		if u.peer.gone || now.Sub(u.at) >= l.cfg.UseLifetime {
			continue
		}
		kept = append(kept, u)
		if now.Sub(u.peer.heardAt) < l.cfg.PeerSilence {
			demand += u.demand
		}
	}
	a.peerUses = kept
	return demand, count
}

// slots gives how many requests of the account this entry may have in flight: its part of
// the limit, and no more than peers leave free, since requests that run at a peer go on
// after the share has moved here.
func (l *Limiter) slots(a *account, now time.Time) int {
	if a.limits.Concurrency <= 0 {
		return math.MaxInt
	}
	free := a.limits.Concurrency
	for i := range a.peerUses {
		if now.Sub(a.peerUses[i].at) < l.cfg.UseLifetime {
			free -= a.peerUses[i].inFlight
		}
	}
	part := int(math.Round(a.share * float64(a.limits.Concurrency)))
	return min(max(part, 1), free)
}
