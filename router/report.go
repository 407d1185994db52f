package router

import "time"

const (
	// pastKept and pastEvery bound how far back this entry knows its own view of an endpoint's calls:
	// more than the greatest lag of a report, 5 s.
	pastKept  = 16
	pastEvery = 400 * time.Millisecond
	// foreignWeight is the weight of the newest report in what is held for others' calls.
	foreignWeight = 0.2
	// foreignFor is how long a report's count of others' calls is believed.
	foreignFor = 5 * time.Second
	// reportSkew is how far the clocks of entries and endpoints may differ.
	reportSkew = time.Second
)

// LoadReport is an endpoint's load as it was at AsOf, as it tells.
type LoadReport struct {
	AsOf    time.Time
	Running int
	Waiting int
	Slots   int
	Leaving bool
}

// UpdateLoad takes an endpoint's own, lagging load report.
//
// The count itself is old, and entries that all follow it would send to the same endpoint. So it is
// compared with what this entry knew at that time: what is over are calls that no entry answers for,
// such as those of an entry that died, and only these are added to what is known now.
func (r *Router) UpdateLoad(address string, report LoadReport, now time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	e.reported = now
	e.waiting = report.Waiting
	if report.Slots > 0 {
		e.slots = report.Slots
	}
	e.pool.health.RecordAlive(&e.health)
	r.takeLeavingWord(e, report, now)
	over := float64(report.Running+report.Waiting) - e.past.at(report.AsOf, e.calls())
	e.foreign += foreignWeight * (over - e.foreign)
	e.foreignAt = now
	e.past.note(e.calls(), now)
	r.refresh(e)
}

// MarkUnreachable takes a refused connection by which an endpoint was to be asked for its load: nothing serves at the
// address. Without it a dead endpoint would be shown as live, and chosen, until a call has failed by it.
func (r *Router) MarkUnreachable(address string, now time.Time) bool {
	e, known := r.endpoints[address]
	if !known {
		return false
	}
	ejected := r.judge(e, CallEnd{Result: Unreachable}, now)
	r.refresh(e)
	return ejected
}

// foreignCalls is the calls that no entry answers for, fading with the age of the last report.
func (e *endpoint) foreignCalls(now time.Time) float64 {
	if e.foreign <= 0 {
		return 0
	}
	age := now.Sub(e.foreignAt)
	if age >= foreignFor {
		return 0
	}
	return e.foreign * float64(foreignFor-age) / float64(foreignFor)
}

// past is a short history of the calls that were known of at an endpoint.
type past struct {
	// times are in Unix nanoseconds, 0 for a sample not taken yet.
	times [pastKept]int64
	calls [pastKept]int32
	next  int
}

// note keeps the present count, at most one in pastEvery.
func (p *past) note(calls int, now time.Time) {
	last := (p.next + pastKept - 1) % pastKept
	if p.times[last] != 0 && now.UnixNano()-p.times[last] < int64(pastEvery) {
		return
	}
	p.times[p.next] = now.UnixNano()
	p.calls[p.next] = int32(calls)
	p.next = (p.next + 1) % pastKept
}

// at is the count as of a time: the mean of the samples around it, else the present count.
func (p *past) at(t time.Time, present int) float64 {
	after := float64(present)
	for i := range pastKept {
		k := (p.next + pastKept - 1 - i) % pastKept
		if p.times[k] == 0 {
			break
		}
		if p.times[k] <= t.UnixNano() {
			return (after + float64(p.calls[k])) / 2
		}
		after = float64(p.calls[k])
	}
	return after
}
