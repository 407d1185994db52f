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
const isolationDelay = 50 * time.Millisecond

// loneRun is a suspect request that waits for an endpoint of its own, or has it.
type isolatedRun struct {
	request uint64
	stage   int
	// from is this entry's turn, where entries share an endpoint for such runs.
	notBefore time.Time
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
func (c *Core) recordCrash(r *request, address string, now time.Time) bool {
	verdict := c.quarantiner.RecordCrash(r.digest, address, now)
	c.nextHeartbeat = now
	if verdict != quarantiner.Quarantined {
		return false
	}
	c.quarantineContent(r.digest, now)
	return true
}

// quarantine ends all requests with the content.
func (c *Core) quarantineContent(digest [32]byte, now time.Time) {
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
func (c *Core) handleCrashMarks(marks []carrier.CrashMark, now time.Time) {
	if len(marks) == 0 {
		return
	}
	for _, digest := range c.quarantiner.Merge(marks, now) {
		c.quarantineContent(digest, now)
	}
}

// divert keeps a request with suspect content out of the common queue, and ends one whose content is
// not run any more. It tells whether it did either.
func (c *Core) applyQuarantine(r *request, now time.Time) bool {
	switch c.quarantiner.Verdict(r.digest, now) {
	case quarantiner.Quarantined:
		c.counters.RequestsQuarantined++
		c.fail(r, CodeQuarantined, "the endpoints that ran this content were lost; it is not run again", 0, now)
		return true
	case quarantiner.Suspect:
		r.phase = phaseQueued
		r.queuedAt = now
		pool := r.currentStage().Pool
		from := now.Add(isolationDelay + time.Duration(c.router.IsolationTurn(pool))*c.isolatedTurn(r))
		c.isolatedRuns[pool] = append(c.isolatedRuns[pool], isolatedRun{request: r.id, stage: r.stage, notBefore: from})
		c.dispatchIsolated(pool, now)
		return true
	default:
		return false
	}
}

// loneTurn is how long a lone run of a request's present stage usually takes at the most.
func (c *Core) isolatedTurn(r *request) time.Duration {
	_, high := c.stageTime(r)
	return max(time.Duration(overdueFactor*float64(high)), minSilence)
}

// pumpLone runs suspects of a pool, each alone at an endpoint that is kept for it, so that the one
// which loses endpoints loses no other request beside it, and the others are answered and cleared.
func (c *Core) dispatchIsolated(pool string, now time.Time) {
	if len(c.isolatedRuns[pool]) == 0 {
		return
	}
	c.releaseEndedRuns(pool)
	for i := 0; i < len(c.isolatedRuns[pool]); i++ {
		c.advanceIsolatedRun(pool, i, now)
	}
	if len(c.isolatedRuns[pool]) == 0 {
		delete(c.isolatedRuns, pool)
	}
}

// endLone gives back the endpoints of runs that have ended.
func (c *Core) releaseEndedRuns(pool string) {
	c.isolatedRuns[pool] = slices.DeleteFunc(c.isolatedRuns[pool], func(run isolatedRun) bool {
		r, running := c.requests[run.request]
		ended := !running || r.stage != run.stage
		if !ended && run.attempt > 0 {
			ended = r.phase != phaseRunning || r.callIndex(run.attempt) < 0
		}
		if ended && run.address != "" {
			c.router.Release(run.address)
		}
		return ended
	})
}

// stepLone takes one run as far as it can go now.
func (c *Core) advanceIsolatedRun(pool string, i int, now time.Time) {
	run := &c.isolatedRuns[pool][i]
	r, running := c.requests[run.request]
	if !running || run.attempt > 0 || now.Before(run.notBefore) {
		return
	}
	if run.address == "" {
		if c.contentHasEndpoint(pool, r) {
			return
		}
		query := c.routerQuery(r)
		query.Avoid = append(c.quarantiner.CrashedEndpoints(r.digest), r.triedAddresses...)
		address, found := c.router.Reserve(query, now)
		if !found {
			return
		}
		run.address = address
	}
	idle, usable := c.router.Idle(run.address)
	if !usable {
		c.router.Release(run.address)
		run.address = ""
		return
	}
	if !idle {
		return
	}
	run.attempt = r.attempts + 1
	c.dispatch(r, run.address, false, now)
}

// lostBeside tells whether another run of the same content has an endpoint already: two at a time could
// lose two more.
func (c *Core) contentHasEndpoint(pool string, r *request) bool {
	return slices.ContainsFunc(c.isolatedRuns[pool], func(run isolatedRun) bool {
		other, running := c.requests[run.request]
		return running && run.address != "" && other.digest == r.digest
	})
}
