package forwarder

import (
	"math/rand/v2"
	"time"

	"geraniumline/carrier"
	"geraniumline/divider"
	"geraniumline/planner"
	"geraniumline/regulator"
	"geraniumline/selector"
)

// waitLife is how long what a peer tells of a stage's queue holds: some heartbeats.
const waitLife = time.Second

// stageWait is what a peer said of a service's pool that it collects for.
type stageWait struct {
	load planner.Load
	at   time.Time
}

// stageWaits gives the newest waits of stage pools: of those that this entry collects for, and those that it was told. The
// lock is held.
func (f *Forwarder) stageWaits(now time.Time) []carrier.StageWait {
	var list []carrier.StageWait
	for service, p := range f.pools {
		if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
			load := planner.LoadOf(p, now)
			list = append(list, waitMessage(service, load, 0))
		}
	}
	for service, w := range f.waits {
		if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
			continue
		}
		if age := now.Sub(w.at); age < waitLife {
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

// takeStageWaits takes the waits that a peer tells where they are newer than those known. Told by the collecting entry alone they
// would come to each of many entries once in seconds; passed on by all they are as old as news of a peer. The lock is held.
func (f *Forwarder) takeStageWaits(list []carrier.StageWait, now time.Time) {
	for _, s := range list {
		if pool := divider.Parse(s.Service); pool.Zone != "" {
			f.divider.MarkDivided(pool.Service)
		}
		at := now.Add(-time.Duration(s.AgeMillis) * time.Millisecond)
		if known, found := f.waits[s.Service]; found && !at.After(known.at) {
			continue
		}
		f.waits[s.Service] = stageWait{at: at, load: planner.Load{
			Wait:          time.Duration(s.Millis) * time.Millisecond,
			Turnaround:    time.Duration(s.TurnaroundMillis) * time.Millisecond,
			ShortOfSpace:  s.Short,
			OverloadedFor: time.Duration(s.OverMillis) * time.Millisecond,
		}}
	}
}

// poolLoad gives the newest load known of a service's pool, or nothing. The lock is held.
func (f *Forwarder) poolLoad(service string, now time.Time) planner.Load {
	if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
		p, collects := f.pools[service]
		if !collects {
			return planner.Load{}
		}
		return planner.LoadOf(p, now)
	}
	if w, known := f.waits[service]; known && now.Sub(w.at) < waitLife {
		return w.load
	}
	return planner.Load{}
}

// comeBack tells when a refused caller should come back: once what waits now is done, spread so that callers who were
// refused together do not come back together.
func (v poolView) comeBack(service string) time.Duration {
	return planner.RetryAfter(v.Load(service), rand.Float64())
}

// urgentPriority is up to which priority callers come back before all others.
const urgentPriority = 0

// heldReturn tells when a caller should come back whose service takes no call now, since all its endpoints have asked for fewer.
// The lock is held.
func (f *Forwarder) heldReturn(service string, held selector.Throttle, priority int, now time.Time) time.Duration {
	r, known := f.returns[service]
	if !known {
		r = &regulator.ReturnSchedule{}
		f.returns[service] = r
	}
	return r.RetryAfter(held.Until, f.returnRate(service), priority <= urgentPriority, now)
}

// returnRate is how many of the callers that come back the limits of a service's endpoints allow to each entry; 0 where one has
// no limit. The lock is held.
func (f *Forwarder) returnRate(service string) float64 {
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
	// storeAnswers is how long after its start an entry has heard the store, if that answers: some ten times its usual answer.
	storeAnswers = 150 * time.Millisecond
	// storeAwayReturn is when the caller of an entry that knows nothing comes back while the store is away. Most callers try
	// once more: told to come back within a moment, all that came in an outage of three seconds were refused twice, and lost.
	// Outages last for seconds; two of them leave most callers time for an answer.
	storeAwayReturn = 2 * time.Second
)

// startReturn tells when a caller should come back to an entry that does not know the configuration or the endpoints yet: soon
// after a start, later if the store has left it without an answer. The lock is held.
func (f *Forwarder) startReturn(now time.Time) time.Duration {
	load := planner.Load{}
	if f.storeLost || now.Sub(f.began) >= storeAnswers {
		load.Wait = storeAwayReturn
	}
	return planner.RetryAfter(load, rand.Float64())
}

// soon tells a caller to come back within a moment.
func soon() time.Duration { return planner.RetryAfter(planner.Load{}, rand.Float64()) }
