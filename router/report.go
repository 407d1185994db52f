package router

import "time"

const (
	// historySize and historyInterval determine how much of its own call counts this entry
	// remembers for an endpoint: more than the maximum lag of a load report, 5 s.
	historySize     = 16
	historyInterval = 400 * time.Millisecond
	// unattributedWeight is the weight of the newest report in the moving average of unattributed
	// calls.
	unattributedWeight = 0.2
	// unattributedTTL is how long unattributed calls are taken into account after a report.
	unattributedTTL = 5 * time.Second
	// reportSkew is the maximum difference between the clocks of entries and endpoints.
	reportSkew = time.Second
)

// LoadReport is the load that an endpoint reported about itself as of AsOf.
type LoadReport struct {
	AsOf    time.Time
	Running int
	Waiting int
	Slots   int
	Leaving bool
}

// UpdateLoad applies an endpoint's load report, which lags behind.
//
// The reported count is outdated, and entries that all followed it would send to the same endpoint.
// It is therefore compared with the calls that this entry knew of at that time. The excess consists
// of calls that no known entry accounts for, such as those of an entry that died, and only the
// excess is added to the current count.
func (r *Router) UpdateLoad(address string, report LoadReport, now time.Time) {
	e, known := r.endpoints[address]
	if !known {
		return
	}
	e.reportedAt = now
	e.queued = report.Waiting
	if report.Slots > 0 {
		e.slots = report.Slots
	}
	e.pool.health.RecordAlive(&e.health)
	r.updateLeaving(e, report, now)
	excess := float64(report.Running+report.Waiting) - e.history.at(report.AsOf, e.calls())
	e.unattributed += unattributedWeight * (excess - e.unattributed)
	e.unattributedAt = now
	e.history.record(e.calls(), now)
	r.refresh(e)
}

// MarkUnreachable records that the connection for a load report was refused, so nothing listens at
// the address. It reports whether this ejected the endpoint. Without it, a dead endpoint would be
// shown as live and chosen until a call to it failed.
func (r *Router) MarkUnreachable(address string, now time.Time) bool {
	e, known := r.endpoints[address]
	if !known {
		return false
	}
	ejected := r.recordHealth(e, CallEnd{Result: Unreachable}, now)
	r.refresh(e)
	return ejected
}

// unattributedCalls returns the calls that no known entry accounts for. They decay with the age of
// the last report.
func (e *endpoint) unattributedCalls(now time.Time) float64 {
	if e.unattributed <= 0 {
		return 0
	}
	age := now.Sub(e.unattributedAt)
	if age >= unattributedTTL {
		return 0
	}
	return e.unattributed * float64(unattributedTTL-age) / float64(unattributedTTL)
}

// callHistory is a short history of the known calls at an endpoint.
type callHistory struct {
	// times are in Unix nanoseconds, or 0 for a sample that was not taken yet.
	times [historySize]int64
	calls [historySize]int32
	next  int
}

// record adds a sample of the current count, at most one per historyInterval.
func (h *callHistory) record(calls int, now time.Time) {
	last := (h.next + historySize - 1) % historySize
	if h.times[last] != 0 && now.UnixNano()-h.times[last] < int64(historyInterval) {
		return
	}
	h.times[h.next] = now.UnixNano()
	h.calls[h.next] = int32(calls)
	h.next = (h.next + 1) % historySize
}

// at returns the count at time t: the mean of the samples around t if there are any, else present.
func (h *callHistory) at(t time.Time, present int) float64 {
	after := float64(present)
	for i := range historySize {
		k := (h.next + historySize - 1 - i) % historySize
		if h.times[k] == 0 {
			break
		}
		if h.times[k] <= t.UnixNano() {
			return (after + float64(h.calls[k])) / 2
		}
		after = float64(h.calls[k])
	}
	return after
}
