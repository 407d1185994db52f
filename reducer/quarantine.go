package reducer

import (
	"maps"
	"slices"
	"time"

	"geraniumline/carrier"
	"geraniumline/quarantiner"
)

// isolationDelay is how long a suspect request waits before it runs isolated. Peers' crash marks can arrive in that
// time, so that content which crashed endpoints at several entries at once is not tried again at each of them.
const isolationDelay = 50 * time.Millisecond

// isolatedRun is a run of a suspect request that has an endpoint reserved for it or waits for one.
type isolatedRun struct {
	request uint64
	stage   int
	// notBefore is when this entry's turn begins if entries share an endpoint for such runs.
	notBefore time.Time
	// address is the endpoint that is reserved for it; empty while it has none.
	address string
	// attempt is the call that runs there; 0 while other calls still run at the endpoint.
	attempt int
}

// checkQuarantine returns a failure if the content is quarantined because the endpoints that ran it were lost.
func (c *Core) checkQuarantine(digest [32]byte, now time.Time) *Failure {
	if c.quarantiner.Verdict(digest, now) != quarantiner.Quarantined {
		return nil
	}
	return &Failure{Code: CodeQuarantined, Message: "endpoints that ran this content were lost; it is not run again", State: StateNotRun}
}

// recordCrash counts the loss of an endpoint's connection against the content that ran there and schedules a
// heartbeat for the next tick to inform the peers. It reports whether the content is now quarantined, which has
// ended the request.
//
// A lost connection counts as a lost endpoint. Waiting for proof would let the content run beside other requests
// once more, while counting a mere connection loss costs only a few isolated calls.
func (c *Core) recordCrash(r *request, address string, now time.Time) bool {
	verdict := c.quarantiner.RecordCrash(r.digest, address, now)
	c.nextHeartbeat = now
	if verdict != quarantiner.Quarantined {
		return false
	}
	c.quarantineContent(r.digest, now)
	return true
}

// quarantineContent fails all requests with the content.
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

// handleCrashMarks merges a peer's marks of contents whose runs lost endpoints.
func (c *Core) handleCrashMarks(marks []carrier.CrashMark, now time.Time) {
	if len(marks) == 0 {
		return
	}
	for _, digest := range c.quarantiner.Merge(marks, now) {
		c.quarantineContent(digest, now)
	}
}

// applyQuarantine keeps a request with suspect content out of the pool's queue and fails one whose content is
// quarantined. It reports whether it did either.
func (c *Core) applyQuarantine(r *request, now time.Time) bool {
	switch c.quarantiner.Verdict(r.digest, now) {
	case quarantiner.Quarantined:
		c.counters.RequestsQuarantined++
		c.fail(r, CodeQuarantined, "the endpoints that ran this content were lost; it is not run again", 0, now)
		return true
	case quarantiner.Suspect:
		if !c.applyPartVerdict(r, now) {
			c.runIsolated(r, now)
		}
		return true
	default:
		return c.applyPartVerdict(r, now)
	}
}

// runIsolated queues the request for an endpoint of its own.
func (c *Core) runIsolated(r *request, now time.Time) {
	r.phase = phaseQueued
	r.queuedAt = now
	pool := r.currentStage().Pool
	from := now.Add(isolationDelay + time.Duration(c.router.IsolationTurn(pool))*c.isolatedTurn(r))
	c.isolatedRuns[pool] = append(c.isolatedRuns[pool], isolatedRun{request: r.id, stage: r.stage, notBefore: from})
	c.dispatchIsolated(pool, now)
}

// isolatedTurn returns the time allotted to an isolated run of a request's current stage.
func (c *Core) isolatedTurn(r *request) time.Duration {
	_, high := c.stageTime(r)
	return max(time.Duration(overdueFactor*float64(high)), minSilence)
}

// dispatchIsolated runs the suspect requests of a pool, each alone at an endpoint that is reserved for it. Content
// that crashes endpoints then affects no other request, and the other suspects are answered and cleared.
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

// releaseEndedRuns removes the runs that have ended and releases their endpoints.
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

// advanceIsolatedRun reserves an endpoint for a run and dispatches it once the endpoint is idle.
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

// contentHasEndpoint reports whether another run of the same content already has an endpoint: two runs at a time
// could lose two more endpoints.
func (c *Core) contentHasEndpoint(pool string, r *request) bool {
	return slices.ContainsFunc(c.isolatedRuns[pool], func(run isolatedRun) bool {
		other, running := c.requests[run.request]
		return running && run.address != "" && other.digest == r.digest
	})
}
