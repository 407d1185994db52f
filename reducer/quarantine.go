package reducer

import (
	"maps"
	"slices"
	"time"

	"geraniumline/carrier"
	"geraniumline/quarantiner"
)

// loneAfter is how long a suspect waits before it runs alone: for what peers have seen of its content to
// arrive, so that content which ended endpoints at several entries at once is not tried at each again.
const loneAfter = 50 * time.Millisecond

// loneRun is a suspect request that waits for an endpoint of its own, or has it.
type loneRun struct {
	request uint64
	stage   int
	// from is this entry's turn, where entries share an endpoint for such runs.
	from time.Time
	// address is the endpoint that is kept for it; empty while it has none.
	address string
	// attempt is the call that runs there; 0 while the endpoint has others to end.
	attempt int
}

// checkQuarantine refuses content that has lost endpoints wherever it ran.
func (c *Core) checkQuarantine(digest [32]byte, now time.Time) *Failure {
	if c.quarantiner.Verdict(digest, now) != quarantiner.Quarantined {
		return nil
	}
	return &Failure{Code: CodeQuarantined, Message: "endpoints that ran this content were lost; it is not run again", State: StateNotRun}
}

// countCrash counts the loss of an endpoint's connection against the content that ran there, has peers
// told with the next tick, and tells whether the request has ended by it.
//
// A cut connection is taken for a lost endpoint. Waiting for proof would let the content run beside
// others once more; taking a mere cut for a loss costs a few calls that run alone.
func (c *Core) countCrash(r *request, address string, now time.Time) bool {
	verdict := c.quarantiner.RecordCrash(r.digest, address, now)
	c.heartbeatAt = now
	if verdict != quarantiner.Quarantined {
		return false
	}
	c.quarantine(r.digest, now)
	return true
}

// quarantine ends all requests with the content.
func (c *Core) quarantine(digest [32]byte, now time.Time) {
	c.counters.ContentsQuarantined++
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		r := c.requests[id]
		if r.digest == digest {
			c.counters.RequestsQuarantined++
			c.fail(r, CodeQuarantined, "the endpoints that ran this content were lost; it is not run again", 0, now)
		}
	}
}

// takeCrashes takes what a peer knows of contents that lose endpoints.
func (c *Core) takeCrashes(marks []carrier.CrashMark, now time.Time) {
	if len(marks) == 0 {
		return
	}
	for _, digest := range c.quarantiner.Merge(marks, now) {
		c.quarantine(digest, now)
	}
}

// divert keeps a request with suspect content out of the common queue, and ends one whose content is
// not run any more. It tells whether it did either.
func (c *Core) divert(r *request, now time.Time) bool {
	switch c.quarantiner.Verdict(r.digest, now) {
	case quarantiner.Quarantined:
		c.counters.RequestsQuarantined++
		c.fail(r, CodeQuarantined, "the endpoints that ran this content were lost; it is not run again", 0, now)
		return true
	case quarantiner.Suspect:
		r.phase = phaseQueued
		r.queuedAt = now
		pool := r.stageConfig().Pool
		from := now.Add(loneAfter + time.Duration(c.router.IsolationTurn(pool))*c.loneTurn(r))
		c.lone[pool] = append(c.lone[pool], loneRun{request: r.id, stage: r.stage, from: from})
		c.pumpLone(pool, now)
		return true
	default:
		return false
	}
}

// loneTurn is how long a lone run of a request's present stage usually takes at the most.
func (c *Core) loneTurn(r *request) time.Duration {
	_, high := c.usual(r)
	return max(time.Duration(patienceOver*float64(high)), minWatch)
}

// pumpLone runs suspects of a pool, each alone at an endpoint that is kept for it, so that the one
// which loses endpoints loses no other request beside it, and the others are answered and cleared.
func (c *Core) pumpLone(pool string, now time.Time) {
	if len(c.lone[pool]) == 0 {
		return
	}
	c.endLone(pool)
	for i := 0; i < len(c.lone[pool]); i++ {
		c.stepLone(pool, i, now)
	}
	if len(c.lone[pool]) == 0 {
		delete(c.lone, pool)
	}
}

// endLone gives back the endpoints of runs that have ended.
func (c *Core) endLone(pool string) {
	c.lone[pool] = slices.DeleteFunc(c.lone[pool], func(l loneRun) bool {
		r, running := c.requests[l.request]
		ended := !running || r.stage != l.stage
		if !ended && l.attempt > 0 {
			ended = r.phase != phaseRunning || r.callOf(l.attempt) < 0
		}
		if ended && l.address != "" {
			c.router.Release(l.address)
		}
		return ended
	})
}

// stepLone takes one run as far as it can go now.
func (c *Core) stepLone(pool string, i int, now time.Time) {
	l := &c.lone[pool][i]
	r, running := c.requests[l.request]
	if !running || l.attempt > 0 || now.Before(l.from) {
		return
	}
	if l.address == "" {
		if c.lostBeside(pool, r) {
			return
		}
		ask := c.askOf(r)
		ask.Avoid = append(c.quarantiner.CrashedEndpoints(r.digest), r.tried...)
		address, found := c.router.Reserve(ask, now)
		if !found {
			return
		}
		l.address = address
	}
	idle, usable := c.router.Idle(l.address)
	if !usable {
		c.router.Release(l.address)
		l.address = ""
		return
	}
	if !idle {
		return
	}
	l.attempt = r.attempts + 1
	c.dispatch(r, l.address, false, now)
}

// lostBeside tells whether another run of the same content has an endpoint already: two at a time could
// lose two more.
func (c *Core) lostBeside(pool string, r *request) bool {
	return slices.ContainsFunc(c.lone[pool], func(l loneRun) bool {
		other, running := c.requests[l.request]
		return running && l.address != "" && other.digest == r.digest
	})
}
