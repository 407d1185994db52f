package limiter

import (
	"slices"
	"time"

	"geraniumline/carrier"
)

// peer is another entry that reports its use.
type peer struct {
	name    string
	heardAt time.Time
	silent  bool
	gone    bool
}

// peerUse is a peer's last report on one account.
type peerUse struct {
	peer     *peer
	at       time.Time
	demand   float64
	rate     float64
	costRate float64
	inFlight int
	// share is the peer's part of the limits, and usual the mean of its recent ones, which is
	// set aside for it when it falls silent.
	share, usual float64
	// counted tells that rate and costRate are in the buckets' predictions.
	counted bool
}

// UpdatePeerUsage takes in what a peer reports in a heartbeat. An account that it leaves out is
// unchanged; a report that is not repeated lapses after Config.UseLifetime.
func (l *Limiter) UpdatePeerUsage(name string, uses []carrier.AccountUse, now time.Time) {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{name: name}
		l.peers[name] = p
		l.order = append(l.order, p)
	}
	p.heardAt = now
	p.silent = false
	for i := range uses {
		if a := l.account(uses[i].Account, now); a != nil {
			l.update(a, now)
			a.learn(p, &uses[i], l.cfg.UsageRefresh, now)
		}
	}
}

// RemovePeer drops a peer that is known to have ended: its part is free at once. Silence is
// not enough to call it, or both sides of a partition would take the whole limit.
func (l *Limiter) RemovePeer(name string, _ time.Time) {
	p, ok := l.peers[name]
	if !ok {
		return
	}
	p.gone = true
	delete(l.peers, name)
	l.order = slices.DeleteFunc(l.order, func(other *peer) bool { return other == p })
	l.listenedAt = time.Time{}
}

// SetEntryCount sets how many entries there are, this one included: those that are live and
// those that are silent but not known to have ended.
func (l *Limiter) SetEntryCount(n int, _ time.Time) {
	l.entries = max(n, 1)
	l.listenedAt = time.Time{}
}

// listenEach is how often peers are looked over for silence.
const listenEach = 50 * time.Millisecond

// listen finds the silent peers, at most once in listenEach for all accounts.
func (l *Limiter) listen(now time.Time) {
	if now.Sub(l.listenedAt) < listenEach {
		return
	}
	l.listenedAt = now
	l.silent = l.silent[:0]
	for _, p := range l.order {
		p.silent = now.Sub(p.heardAt) >= l.cfg.PeerTimeout
		if p.silent {
			l.silent = append(l.silent, p)
		}
	}
}

// learn takes in a peer's report on the account.
func (a *account) learn(p *peer, use *carrier.AccountUse, refresh time.Duration, now time.Time) {
	a.stale = true
	u := a.usedBy(p)
	elapsed := min(now.Sub(u.at), refresh).Seconds()
	predicted, predictedCost := u.rate, u.costRate
	if !u.counted {
		predicted, predictedCost = 0, 0
	}
	a.requests.learn(predicted, float64(use.Rate), elapsed)
	a.cost.learn(predictedCost, float64(use.CostRate), elapsed)
	u.at = now
	u.demand = float64(use.Demand)
	u.rate = float64(use.Rate)
	u.costRate = float64(use.CostRate)
	u.inFlight = int(use.InFlight)
	u.counted = true
}

// usedBy gives the peer's report on the account, a new one when there is none.
func (a *account) usedBy(p *peer) *peerUse {
	for i := range a.peerUses {
		if a.peerUses[i].peer == p {
			return &a.peerUses[i]
		}
	}
	a.peerUses = append(a.peerUses, peerUse{peer: p})
	return &a.peerUses[len(a.peerUses)-1]
}

// uncount takes a report out of the predictions, as its peer is silent or says no more.
func (a *account) uncount(u *peerUse) {
	if !u.counted {
		return
	}
	u.counted = false
	a.requests.peerUse = max(0, a.requests.peerUse-u.rate)
	a.cost.peerUse = max(0, a.cost.peerUse-u.costRate)
}
