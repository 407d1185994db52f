package forwarder

import (
	"math/rand/v2"
	"time"

	"geraniumline/carrier"
	"geraniumline/collector"
	"geraniumline/divider"
	"geraniumline/planner"
	"geraniumline/regulator"
	"geraniumline/selector"
)

// loadTTL is how long the queue load reported by a peer stays valid: some heartbeats.
const loadTTL = time.Second

// reportedLoad is the load that a peer reported for a pool that it collects for.
type reportedLoad struct {
	load planner.Load
	at   time.Time
	// classes are the loads by priority that were reported with it.
	classes []collector.ClassLoad
}

// stageWaits returns the newest loads of stage pools: of those that this entry collects for, and of those reported by
// peers. The lock must be held.
func (f *Forwarder) stageWaits(now time.Time) []carrier.StageWait {
	var list []carrier.StageWait
	for service, p := range f.pools {
		if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
			load := planner.LoadOf(p, now)
			list = append(list, waitMessage(service, load, 0))
		}
	}
	for service, w := range f.reportedLoads {
		if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
			continue
		}
		if age := now.Sub(w.at); age < loadTTL {
			list = append(list, waitMessage(service, w.load, age))
		}
	}
	return list
}

func waitMessage(service string, load planner.Load, age time.Duration) carrier.StageWait {
	return carrier.StageWait{
		Service:          service,
		Millis:           int32(load.Wait.Milliseconds()),
		TurnaroundMillis: int32(load.Turnaround.Milliseconds()),
		Short:            load.ShortOfSpace,
		OverMillis:       int32(load.OverloadedFor.Milliseconds()),
		AgeMillis:        uint32(age.Milliseconds()),
	}
}

// applyStageWaits stores the loads reported by a peer that are newer than the stored ones. If only the collecting
// entry reported them, each of many entries would receive them once in seconds; since all entries pass them on, they
// are as recent as the gossip about a peer. The lock must be held.
func (f *Forwarder) applyStageWaits(list []carrier.StageWait, now time.Time) {
	for _, s := range list {
		if pool := divider.Parse(s.Service); pool.Zone != "" {
			f.divider.MarkDivided(pool.Service)
		}
		at := now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)
		if known, found := f.reportedLoads[s.Service]; found && !at.After(known.at) {
			continue
		}
		f.reportedLoads[s.Service] = reportedLoad{at: at, load: planner.Load{
			Wait:          time.Duration(s.Millis) * time.Millisecond,
			Turnaround:    time.Duration(s.TurnaroundMillis) * time.Millisecond,
			ShortOfSpace:  s.Short,
			OverloadedFor: time.Duration(s.OverMillis) * time.Millisecond,
		}}
	}
}

// poolLoad returns the newest known load of a pool for pieces of a rank, or the zero value. The lock must be held.
func (f *Forwarder) poolLoad(service string, rank int, now time.Time) planner.Load {
	if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
		p, collects := f.pools[service]
		if !collects {
			return planner.Load{}
		}
		return planner.LoadFor(p, rank, now)
	}
	if w, known := f.reportedLoads[service]; known && now.Sub(w.at) < loadTTL {
		return planner.ClassOf(w.load, w.classes, rank)
	}
	return planner.Load{}
}

// retryDelay returns when a refused caller should retry: once the present queue is done, with jitter so that callers
// refused together do not retry together.
func (v poolView) retryDelay(service string) time.Duration {
	return planner.RetryAfter(v.Load(service, v.rank), rand.Float64())
}

// urgentPriority is the largest priority value whose callers are scheduled to retry before all others.
const urgentPriority = 0

// heldBackRetryDelay returns when a caller should retry if all endpoints of the service have asked for fewer calls.
// The lock must be held.
func (f *Forwarder) heldBackRetryDelay(service string, held selector.Throttle, priority int, now time.Time) time.Duration {
	r, known := f.retrySchedules[service]
	if !known {
		r = &regulator.ReturnSchedule{}
		f.retrySchedules[service] = r
	}
	return r.RetryAfter(held.Until, f.retryRate(service), priority <= urgentPriority, now)
}

// retryRate returns the rate per second of retrying callers that the limits of a service's endpoints allow for each
// entry, or 0 if an endpoint has no limit. The lock must be held.
func (f *Forwarder) retryRate(service string) float64 {
	total := 0.0
	for _, id := range f.selector.EndpointIDs(service) {
		perSecond, limited := f.regulator.Limit(id)
		if !limited {
			return 0
		}
		total += perSecond
	}
	return total / float64(f.regulator.EntryCount())
}

const (
	// storeResponseTime is how long after its start an entry has heard from a store that answers: about ten times the
	// usual response time.
	storeResponseTime = 150 * time.Millisecond
	// storeOutageRetryDelay is the retry delay that an entry without a configuration returns while the store is down.
	// Most callers retry once: with a delay of a moment, all callers that arrived in an outage of three seconds were
	// refused twice, and lost. Outages last for seconds; a delay of two leaves most callers time for a response.
	storeOutageRetryDelay = 2 * time.Second
)

// startupRetryDelay returns when a caller should retry at an entry that has no configuration or endpoints yet: soon
// after a start, later if the store has not answered. The lock must be held.
func (f *Forwarder) startupRetryDelay(now time.Time) time.Duration {
	load := planner.Load{}
	if f.storeLost || now.Sub(f.startTime) >= storeResponseTime {
		load.Wait = storeOutageRetryDelay
	}
	return planner.RetryAfter(load, rand.Float64())
}

// shortRetryDelay returns a short, jittered retry delay.
func shortRetryDelay() time.Duration { return planner.RetryAfter(planner.Load{}, rand.Float64()) }
