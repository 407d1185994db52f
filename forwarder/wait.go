package forwarder

import (
	"time"

	"geraniumline/switcher"
)

// waitLife is how long a peer's word on a stage's queue holds: some heartbeats.
const waitLife = time.Second

// stageWait is what is said of a service's pool at the entry that collects for it.
type stageWait struct {
	// wait is how long a piece that comes now would wait for its call.
	wait time.Duration
	// passage is how long groups of pieces take there.
	passage time.Duration
	// short tells that it is short of space for results.
	short bool
	at    time.Time
}

// poolWait gives the newest word on a service's pool, or nothing. The lock is held.
func (f *Forwarder) poolWait(service string, now time.Time) stageWait {
	if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
		if p, collects := f.pools[service]; collects {
			return stageWait{wait: p.Wait(), passage: p.Passage(), short: p.Short(now), at: now}
		}
		return stageWait{}
	}
	if w, known := f.waits[service]; known && now.Sub(w.at) < waitLife {
		return w
	}
	return stageWait{}
}

// waitOf predicts how long pieces of a service wait at the entry that collects them.
func (f *Forwarder) waitOf(service string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poolWait(service, time.Now()).wait
}

// comeBack tells when a refused caller should come back: once what waits now is done, spread so that callers who were
// refused together do not come back together.
func (f *Forwarder) comeBack(service string) time.Duration { return f.waitOf(service) + soon() }

// shortOfSpace tells whether a service's pool is held back by the space for its results.
func (f *Forwarder) shortOfSpace(service string) bool {
	if f.cfg.Off.Has(switcher.FetchedFreed) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poolWait(service, time.Now()).short
}
