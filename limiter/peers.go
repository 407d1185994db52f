package limiter

import (
	"slices"
	"time"

	"geraniumline/carrier"
)

// peer is another entry that reports its usage.
type peer struct {
	name         string
	lastReportAt time.Time
	silent       bool
	removed      bool
}

// peerUse is a peer's last report on one account.
type peerUse struct {
	peer     *peer
	at       time.Time
	demand   float64
	rate     float64
	costRate float64
	inFlight int
	// share is the peer's share of the limits, and meanShare its moving average, which is reserved
	// for the peer when it falls silent.
	share, meanShare float64
	// inPrediction is set while rate and costRate are included in the buckets' predictions.
	inPrediction bool
}

// UpdatePeerUsage applies the usage that a peer reports in a heartbeat. An omitted account is
// unchanged; a report that is not repeated expires after Config.UsageTTL.
func (l *Limiter) UpdatePeerUsage(name string, uses []carrier.AccountUse, now time.Time) {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{name: name}
		l.peers[name] = p
		l.peerOrder = append(l.peerOrder, p)
	}
	p.lastReportAt = now
	if p.silent {
		// The peer's share must not be reserved any more once its reports count.
		p.silent = false
		l.silenceCheckedAt = time.Time{}
	}
	for i := range uses {
		if a := l.account(uses[i].Account, now); a != nil {
			l.update(a, now)
			a.applyReport(p, &uses[i], l.cfg.UsageRefresh, now)
		}
	}
}

// RemovePeer removes a peer that is known to have stopped, which frees its share at once. Silence
// is not enough to remove a peer, or both sides of a partition would use the whole limit.
func (l *Limiter) RemovePeer(name string, _ time.Time) {
	p, ok := l.peers[name]
	if !ok {
		return
	}
	p.removed = true
	delete(l.peers, name)
	l.peerOrder = slices.DeleteFunc(l.peerOrder, func(other *peer) bool { return other == p })
	l.silenceCheckedAt = time.Time{}
}

// SetEntryCount sets the number of entries, including this one: those that are live and those that
// are silent but not known to have stopped.
func (l *Limiter) SetEntryCount(n int, _ time.Time) {
	l.entries = max(n, 1)
	l.silenceCheckedAt = time.Time{}
}

// silenceCheckInterval is how often the peers are checked for silence.
const silenceCheckInterval = 50 * time.Millisecond

// updateSilentPeers finds the silent peers, at most once per silenceCheckInterval for all accounts
// together.
func (l *Limiter) updateSilentPeers(now time.Time) {
	if now.Sub(l.silenceCheckedAt) < silenceCheckInterval {
		return
	}
	l.silenceCheckedAt = now
	l.silent = l.silent[:0]
	for _, p := range l.peerOrder {
		p.silent = now.Sub(p.lastReportAt) >= l.cfg.PeerTimeout
		if p.silent {
			l.silent = append(l.silent, p)
		}
	}
}

// applyReport applies a peer's report on the account.
func (a *account) applyReport(p *peer, use *carrier.AccountUse, refresh time.Duration, now time.Time) {
	a.allocationStale = true
	u := a.peerUseOf(p)
	elapsed := min(now.Sub(u.at), refresh).Seconds()
	predicted, predictedCost := u.rate, u.costRate
	if !u.inPrediction {
		predicted, predictedCost = 0, 0
	}
	a.requests.correctPeerUse(predicted, float64(use.Rate), elapsed)
	a.cost.correctPeerUse(predictedCost, float64(use.CostRate), elapsed)
	u.at = now
	u.demand = float64(use.Demand)
	u.rate = float64(use.Rate)
	u.costRate = float64(use.CostRate)
	u.inFlight = int(use.InFlight)
	u.inPrediction = true
}

// peerUseOf returns the peer's report on the account, and creates an empty one if there is none.
func (a *account) peerUseOf(p *peer) *peerUse {
	for i := range a.peerUses {
		if a.peerUses[i].peer == p {
			return &a.peerUses[i]
		}
	}
	a.peerUses = append(a.peerUses, peerUse{peer: p})
	return &a.peerUses[len(a.peerUses)-1]
}

// excludeFromPrediction removes a report from the predictions when its peer is silent or no longer
// repeats it.
func (a *account) excludeFromPrediction(u *peerUse) {
	if !u.inPrediction {
		return
	}
	u.inPrediction = false
	a.requests.peerUse = max(0, a.requests.peerUse-u.rate)
	a.cost.peerUse = max(0, a.cost.peerUse-u.costRate)
}
