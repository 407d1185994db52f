package forwarder

import "time"

// waitLife is how long a peer's word on a stage's queue holds: some heartbeats.
const waitLife = time.Second

// stageWait is a peer's word on how long pieces of a service wait.
type stageWait struct {
	wait time.Duration
	at   time.Time
}

// waitOf predicts how long pieces of a service wait at the entry that collects them.
func (f *Forwarder) waitOf(service string) time.Duration {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if owner, known := f.owner(service, nil); known && owner == f.cfg.Name {
		if p, collects := f.pools[service]; collects {
			return p.Wait()
		}
		return 0
	}
	if w, known := f.waits[service]; known && now.Sub(w.at) < waitLife {
		return w.wait
	}
	return 0
}

// comeBack tells when a refused caller should come back: once what waits now is done, spread so that callers who were
// refused together do not come back together.
func (f *Forwarder) comeBack(service string) time.Duration { return f.waitOf(service) + soon() }
