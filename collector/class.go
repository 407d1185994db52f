package collector

import (
	"time"

	"geraniumline/switcher"
)

const (
	// classExpiry is how long a class without new groups or results keeps a load of its own. It is longer than a reported
	// load is valid, so that no entry knows a load of a class that is no longer reported.
	classExpiry = 2 * time.Second
	// turnaroundCalls is the number of full calls that a group takes once its turn has come: the rest of a call in progress,
	// which is half on average, its own call, and half a call for one that is slow.
	turnaroundCalls = 2
	// smallShare is the share of a pool's pieces up to which a class is not put behind more urgent routes.
	smallShare = 0.125
)

// class is the recent use of a pool by the groups of one class.
type class struct {
	// turnaround is the mean time from arrival to last result of groups that did not arrive late, measuredAt the time of
	// the newest one. usedAt is when a group of the class last arrived or was done.
	turnaround turnaround
	measuredAt time.Time
	usedAt     time.Time
	// rate is the recent rate at which pieces of the class were added to calls.
	rate recentRate
}

// classes holds the use of a pool by class.
type classes [ClassCount]class

func (c *classes) recordArrival(priority int, now time.Time) { c[Class(priority)].usedAt = now }

func (c *classes) recordTurnaround(priority int, took time.Duration, now time.Time) {
	k := &c[Class(priority)]
	k.turnaround.add(took)
	k.measuredAt, k.usedAt = now, now
}

func (c *classes) recordPiece(class int, now time.Time) { c[class].rate.add(1, now) }

// order returns the position of each class in the order of groups. A class goes behind more urgent ones of the same request
// priority only while it has more than smallShare of the pool: a route with few requests takes little time from others, and
// behind a surge of them its callers would get nothing.
func (c *classes) order(now time.Time) [ClassCount]int {
	var rates [ClassCount]float64
	total := 0.0
	for i := range c {
		if c[i].used(now) {
			rates[i] = c[i].rate.perSecond(now)
			total += rates[i]
		}
	}
	var order [ClassCount]int
	for i := range order {
		order[i] = i
		if total > 0 && rates[i] <= smallShare*total {
			order[i] = pairOf(PriorityOf(i), 0)
		}
	}
	return order
}

func (k *class) used(now time.Time) bool {
	return !k.usedAt.IsZero() && now.Sub(k.usedAt) < classExpiry
}

// several reports whether groups of more than one class use the pool.
func (c *classes) several(now time.Time) bool {
	n := 0
	for i := range c {
		if c[i].used(now) {
			n++
		}
	}
	return n > 1
}

func (k *class) measured(now time.Time) bool {
	return k.turnaround.mean > 0 && now.Sub(k.measuredAt) < classExpiry
}

// turnaroundOf returns the recent turnaround of a class, or that of the whole pool if it has none. It is at most that of
// any less urgent class, since groups of that one wait for it.
func (c *classes) turnaroundOf(i int, pool time.Duration, now time.Time) time.Duration {
	mean := pool
	if c[i].measured(now) {
		mean = c[i].turnaround.mean
	}
	for j := i + 1; j < len(c); j++ {
		if c[j].measured(now) {
			mean = min(mean, c[j].turnaround.mean)
		}
	}
	return mean
}

// ClassLoad is the load of a pool for the pieces of one class.
type ClassLoad struct {
	// Class is the index that Class returns for the priority.
	Class      int
	Wait       time.Duration
	Turnaround time.Duration
}

// PredictedWaitOf estimates how long a piece of a priority that arrives now would wait for its call to begin. In an overload
// by less urgent requests, PredictedWait counts their pieces too, and urgent callers would be refused because of them.
func (p *Pool) PredictedWaitOf(priority int, now time.Time) time.Duration {
	if p.cfg.Disabled.Has(switcher.ClassLoads) {
		return p.PredictedWait(now)
	}
	return p.waitBehind(p.piecesAhead()[Class(priority)], now)
}

// TurnaroundOf returns the recent mean time from a group's arrival to its last result for groups of a priority. Due times
// that leave the mean of all priorities for later stages make urgent groups count as late in an overload by less urgent ones.
func (p *Pool) TurnaroundOf(priority int, now time.Time) time.Duration {
	if p.cfg.Disabled.Has(switcher.ClassLoads) {
		return p.Turnaround()
	}
	return p.expectedTurnaround(Class(priority), p.PredictedWaitOf(priority, now), now)
}

// expectedTurnaround returns the turnaround of a class. While several classes contend for the pool, it is at most the wait and
// freeTurnaround: after a surge, the mean of the less urgent groups would otherwise make new ones count as late, and go behind
// the backlog of those that are late.
func (p *Pool) expectedTurnaround(class int, wait time.Duration, now time.Time) time.Duration {
	if !p.contended(now) {
		return p.Turnaround()
	}
	return min(p.classes.turnaroundOf(class, p.Turnaround(), now), wait+p.freeTurnaround())
}

// freeTurnaround is the longest usual turnaround in a pool without a backlog.
func (p *Pool) freeTurnaround() time.Duration {
	return turnaroundCalls * p.cfg.Stage.CallDuration(p.cfg.Stage.Batch)
}

// contended reports whether groups of several classes use the pool and take longer than in a pool without a backlog.
// Otherwise one turnaround serves all.
func (p *Pool) contended(now time.Time) bool {
	return p.Turnaround() > p.freeTurnaround() && p.classes.several(now)
}

// ClassLoads returns the loads by class: of the most urgent one, and of those used recently. Any other one waits as long as the
// next more urgent one in the list. It returns none while one load serves all.
func (p *Pool) ClassLoads(now time.Time) []ClassLoad {
	if p.cfg.Disabled.Has(switcher.ClassLoads) {
		return nil
	}
	if p.PredictedWait(now) <= 0 && !p.contended(now) {
		return nil
	}
	var list []ClassLoad
	ahead := p.piecesAhead()
	for i := range p.classes {
		waits := i > 0 && ahead[i] > ahead[i-1]
		if i > 0 && !waits && !p.classes[i].used(now) {
			continue
		}
		wait := p.waitBehind(ahead[i], now)
		list = append(list, ClassLoad{
			Class:      i,
			Wait:       wait,
			Turnaround: p.expectedTurnaround(i, wait, now),
		})
	}
	return list
}

// HadPriority reports whether any group of a request's priority has arrived.
func (p *Pool) HadPriority(priority int) bool {
	for i := range p.classes {
		if PriorityOf(i) == priority && !p.classes[i].usedAt.IsZero() {
			return true
		}
	}
	return false
}

// piecesAhead returns for each class the number of waiting pieces that go before a new one of that class: those of
// groups that are no less urgent or partly processed.
func (p *Pool) piecesAhead() [ClassCount]int {
	var ahead [ClassCount]int
	for _, g := range p.groups {
		first := g.class
		if g.started() && !p.cfg.Disabled.Has(switcher.StartedFirst) {
			first = 0
		}
		ahead[first] += len(g.waiting)
	}
	for i := 1; i < len(ahead); i++ {
		ahead[i] += ahead[i-1]
	}
	return ahead
}
