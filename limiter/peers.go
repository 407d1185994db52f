package limiter

import (
	"math"
	"time"

	"geraniumline/carrier"
)

// peer is another entry that reports its use.
type peer struct {
	name    string
	heardAt time.Time
	gone    bool
}

// peerUse is a peer's last report on one account.
type peerUse struct {
	peer     *peer
	at       time.Time
	demand   float64
	inFlight int
}

// PeerUses takes in what a peer reports in a heartbeat. An account that it leaves out is
// unchanged; a report that is not repeated lapses after Config.UseLifetime.
func (l *Limiter) PeerUses(name string, uses []carrier.AccountUse, now time.Time) {
	p := l.peer(name)
	p.heardAt = now
	p.gone = false
	for i := range uses {
		a, ok := l.accounts[uses[i].Account]
		if !ok {
			continue
		}
		a.report(p, &uses[i], now)
	}
}

func (l *Limiter) peer(name string) *peer {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{name: name}
		l.peers[name] = p
	}
	return p
}

// PeerGone drops a peer that is known to have ended: its part is free at once.
func (l *Limiter) PeerGone(name string, _ time.Time) {
	p, ok := l.peers[name]
	if !ok {
		return
	}
	p.gone = true
	delete(l.peers, name)
}

// SetPeers sets how many entries are live, this one included.
func (l *Limiter) SetPeers(n int, _ time.Time) {
	l.entries = max(n, 1)
}

func (a *account) report(p *peer, use *carrier.AccountUse, now time.Time) {
	a.stale = true
	for i := range a.peerUses {
		if a.peerUses[i].peer == p {
			a.peerUses[i].take(use, now)
			return
		}
	}
	a.peerUses = append(a.peerUses, peerUse{peer: p})
	a.peerUses[len(a.peerUses)-1].take(use, now)
}

func (u *peerUse) take(use *carrier.AccountUse, now time.Time) {
	u.at = now
	u.demand = float64(use.Demand)
	u.inFlight = int(use.InFlight)
}

// Uses gives what peers have to know of this entry's use: accounts whose use has changed or
// was not repeated for Config.UseRefresh, at most Config.MaxUses of them.
func (l *Limiter) Uses(now time.Time) []carrier.AccountUse {
	var uses []carrier.AccountUse
	kept := l.active[:0]
	for _, a := range l.active {
		if a.removed {
			continue
		}
		if len(uses) < l.cfg.MaxUses && l.due(a, now) {
			uses = append(uses, a.use(now))
			a.advertised(now)
		}
		if a.quiet() {
			a.active = false
			continue
		}
		kept = append(kept, a)
	}
	l.active = kept
	return uses
}

// due tells whether peers' view of the account is out of date.
func (l *Limiter) due(a *account, now time.Time) bool {
	if now.Sub(a.advertise.at) >= l.cfg.UseRefresh {
		return true
	}
	if a.inFlight != a.advertise.inFlight {
		return true
	}
	change := math.Abs(a.demand.at(now) - a.advertise.demand)
	return change > changeWorthTelling*math.Max(a.advertise.demand, a.limits.RatePerSecond/float64(l.entries))
}

// changeWorthTelling is the part by which a use must change to be told before it is due.
const changeWorthTelling = 0.05

// quietDemand is the demand a second below which an account has nothing to say.
const quietDemand = 0.01

func (a *account) use(now time.Time) carrier.AccountUse {
	return carrier.AccountUse{
		Account:  a.name,
		Rate:     float32(a.admitted.at(now)),
		Demand:   float32(a.demandNow(now)),
		CostRate: float32(a.cost.at(now)),
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

func (a *account) advertised(now time.Time) {
	a.advertise.at = now
	a.advertise.previous = a.advertise.demand
	a.advertise.demand = a.demandNow(now)
	a.advertise.inFlight = a.inFlight
	a.stale = true
}

func (a *account) quiet() bool {
	return a.advertise.demand == 0 && a.advertise.inFlight == 0 && a.inFlight == 0
}
