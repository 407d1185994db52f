package limiter

import (
	"math"
	"time"
)

// shareAge is how long a computed share is used when no report has come meanwhile.
const shareAge = 100 * time.Millisecond

// update brings the account's buckets up to now, by a portion computed anew when reports
// have come or time has passed. The portion comes first: after an idle time the last one
// may be from when no peer was heard yet, and would have filled the buckets too little.
func (l *Limiter) update(a *account, now time.Time) {
	if a.stale || now.Sub(a.sharedAt) >= shareAge {
		a.stale = false
		a.sharedAt = now
		l.listen(now)
		l.lapse(a, now)
		a.portion = l.portion(a, now)
	}
	a.refill(now)
	a.lend(l.cfg.Heartbeat, now)
}

// lapse drops reports that are no longer repeated by a peer that is heard, and keeps those
// of silent peers out of the predictions: their parts are set aside instead.
func (l *Limiter) lapse(a *account, now time.Time) {
	kept := a.peerUses[:0]
	for i := range a.peerUses {
		u := &a.peerUses[i]
		if u.peer.gone || u.peer.silent {
			a.uncount(u)
		}
		if u.peer.gone || u.peer.heardAt.Sub(u.at) >= l.cfg.UsageTTL || now.Sub(u.peer.heardAt) >= forgetPeer {
			a.uncount(u)
			continue
		}
		kept = append(kept, *u)
	}
	clear(a.peerUses[len(kept):])
	a.peerUses = kept
}

// forgetPeer is the silence after which a peer's last report has lost its meaning: its part has
// long become an even one.
const forgetPeer = time.Minute

// portion gives this entry's part of the account's limits.
//
// While peers are heard, demand that fits the limit is granted whole and what is left is
// split evenly; demand beyond the limit is granted in proportion, above an even floor. An
// entry that is not heard may still be admitting, so its part is set aside: first what it
// had when it was last heard, which is what it goes on to use, then with time an even
// part. It reckons the same way of those that it does not hear, so that both sides of a
// partition together stay within the limit.
func (l *Limiter) portion(a *account, now time.Time) portion {
	n := float64(l.entries)
	heard := math.Max(1, n-float64(l.unheard()))
	part := math.Max(0, 1-l.setAside(a, now))
	own := a.demand.at(now)
	total := a.total(own, now)
	split := splitter{limit: a.tightest(total) * part, demand: total.demand, entries: heard, floor: l.cfg.FloorShare}
	for i := range a.peerUses {
		if a.peerUses[i].counted {
			a.peerUses[i].setShare(part * split.share(a.peerUses[i].demand))
		}
	}
	if heard == n {
		a.idleShare = split.share(0)
		a.idleAt = now
	}
	return portion{share: part * split.share(own), heard: part, entries: heard}
}

// shareWeight is the weight of a peer's newest share in the one that is set aside for it.
const shareWeight = 0.05

// setShare keeps a mean of the peer's shares too. Each entry computes them from its own moment's
// reports, so single ones differ from entry to entry, and what all set aside for each
// other in a partition would not add up.
func (u *peerUse) setShare(share float64) {
	u.share = share
	if u.usual == 0 {
		u.usual = share
		return
	}
	u.usual += shareWeight * (share - u.usual)
}

// total sums up this entry's use of an account and that of the peers that are heard.
type total struct {
	demand, rate, costRate, inFlight float64
}

func (a *account) total(demand float64, now time.Time) total {
	t := total{demand: demand, rate: a.rate.at(now), costRate: a.costRate.at(now), inFlight: float64(a.inFlight)}
	for i := range a.peerUses {
		u := &a.peerUses[i]
		if !u.counted {
			continue
		}
		t.demand += u.demand
		t.rate += u.rate
		t.costRate += u.costRate
		t.inFlight += float64(u.inFlight)
	}
	return t
}

// tightest gives the requests a second that the account's tightest limit allows, by what
// its requests cost and how long they run now. Whether demand fits must be judged by that
// limit: under one that is not met, shares would go to entries that can't use them.
func (a *account) tightest(t total) float64 {
	limit := a.limits.RatePerSecond
	if a.limits.CostPerSecond > 0 && t.costRate > 0 {
		limit = math.Min(limit, a.limits.CostPerSecond*t.rate/t.costRate)
	}
	if a.limits.Concurrency > 0 && t.inFlight > 0 {
		limit = math.Min(limit, float64(a.limits.Concurrency)*t.rate/t.inFlight)
	}
	return limit
}

// unheard is the number of entries that are silent or were never heard.
func (l *Limiter) unheard() int {
	never := max(0, l.entries-1-len(l.peers))
	return never + len(l.silent)
}

// setAside is the part of the account's limits that is left to entries that are not heard.
func (l *Limiter) setAside(a *account, now time.Time) float64 {
	even := 1 / float64(l.entries)
	part := even * float64(l.unheard()-len(l.silent))
	for _, p := range l.silent {
		part += l.setAsideFor(a, p, now)
	}
	return part
}

func (l *Limiter) setAsideFor(a *account, p *peer, now time.Time) float64 {
	even := 1 / float64(l.entries)
	last := even
	if !a.idleAt.Before(p.heardAt) {
		last = a.idleShare
	}
	for i := range a.peerUses {
		if a.peerUses[i].peer == p {
			last = a.peerUses[i].usual
		}
	}
	silence := now.Sub(p.heardAt) - l.cfg.PeerTimeout
	decayed := math.Min(1, float64(silence)/float64(l.cfg.PeerDecay))
	return last + (even-last)*decayed
}

// splitter splits a limit over the entries that are heard.
type splitter struct {
	limit, demand, entries, floor float64
}

// share is the part for an entry with this demand.
func (s splitter) share(demand float64) float64 {
	if s.limit <= 0 || s.demand <= 0 {
		return 1 / s.entries
	}
	if s.demand <= s.limit {
		return (demand + (s.limit-s.demand)/s.entries) / s.limit
	}
	return s.floor/s.entries + (1-s.floor)*demand/s.demand
}
