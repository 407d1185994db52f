package forwarder

import (
	"math/rand/v2"
	"time"

	"geraniumline/planner"
)

// waitLife is how long a peer's word on a stage's queue holds: some heartbeats.
const waitLife = time.Second

// stageWait is what a peer said of a service's pool that it collects for.
type stageWait struct {
	load planner.Load
	at   time.Time
}

// poolLoad gives the newest word on a service's pool, or nothing. The lock is held.
func (f *Forwarder) poolLoad(service string, now time.Time) planner.Load {
	if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
		p, collects := f.pools[service]
		if !collects {
			return planner.Load{}
		}
		return planner.Load{Wait: p.Wait(), Passage: p.Passage(), Short: p.Short(now)}
	}
	if w, known := f.waits[service]; known && now.Sub(w.at) < waitLife {
		return w.load
	}
	return planner.Load{}
}

// waitOf predicts how long pieces of a service wait at the entry that collects them.
func (f *Forwarder) waitOf(service string) time.Duration { return poolView{f}.Load(service).Wait }

// comeBack tells when a refused caller should come back: once what waits now is done, spread so that callers who were
// refused together do not come back together.
func (f *Forwarder) comeBack(service string) time.Duration {
	return planner.ReturnAfter(f.waitOf(service), rand.Float64())
}

// soon tells a caller to come back within a moment.
func soon() time.Duration { return planner.ReturnAfter(0, rand.Float64()) }
