package reducer

import (
	"errors"
	"time"

	"geraniumline/claimer"
)

const (
	// logRetryAfter tells a caller when to come back while the log is not available.
	logRetryAfter = time.Second
	// logSilence is how long the claims stream may be silent before this entry stops claiming.
	logSilence = 3 * time.Second
	// claimDelayDecay is the weight of the newest claim in the mean of claims' delays.
	claimDelayDecay = 0.2
)

// logHealth is what is known of a stream of the log.
type logHealth struct {
	// caughtUp tells that the stream was read to its end at least once.
	caughtUp bool
	readAt   time.Time
	failing  bool
	reason   string
}

// claimsReady tells whether this entry may claim: it has read the stream to its end, so that it knows
// every earlier claim within the horizon, and can read and append now.
func (c *Core) claimsReady(now time.Time) bool {
	health := c.logs[StreamClaims]
	return health.caughtUp && !health.failing && now.Sub(health.readAt) < logSilence
}

// claimDelay is how long a claim made now will take to be read back: the mean of late ones, or the age
// of the oldest that still waits if that is greater.
func (c *Core) claimDelay(now time.Time) time.Duration {
	delay := c.claimMean
	if at, waiting := c.batcher.Oldest(); waiting {
		delay = max(delay, now.Sub(at))
	}
	return delay
}

// claim appends the request's claim. Nothing is dispatched before it is read back as the key's first.
func (c *Core) claim(r *request, now time.Time) {
	c.nextClaim++
	r.claimID = claimer.ClaimID(c.nextClaim)
	r.phase = phaseClaiming
	c.claiming[r.claimID] = r
	c.counters.ClaimsSent++
	c.batcher.Add(claimer.Claim{
		Key:         r.key,
		Digest:      r.digest,
		ClaimID:     r.claimID,
		Entry:       c.cfg.Entry,
		Incarnation: c.cfg.Incarnation,
	}, now)
	c.schedule(timer{at: now.Add(c.claimTimeout(r, now)), kind: timerClaim, subject: uint64(r.claimID)})
}

// claimTimeout leaves the stages the time that they need after the claim.
func (c *Core) claimTimeout(r *request, now time.Time) time.Duration {
	needed := time.Duration(r.estimated) * time.Millisecond
	left := r.deadline.Sub(now)
	return max(left-needed, left/2)
}

// passClaimTimeout gives up a request whose claim was not read back in time, and says so at once.
// The claim may still land: it is then never dispatched, since its request is gone, and released.
func (c *Core) passClaimTimeout(subject uint64, now time.Time) {
	r, waiting := c.claiming[claimer.ClaimID(subject)]
	if !waiting {
		return
	}
	c.fail(r, CodeLogUnavailable, "the claim was not confirmed in time", logRetryAfter, now)
}

// pumpClaims appends what the batcher says is due.
func (c *Core) pumpClaims(now time.Time) {
	for {
		batch, due := c.batcher.Due(now)
		if !due {
			return
		}
		data, err := claimer.Encode(batch)
		if err != nil {
			c.emit(LogChange{Message: "claims can't be encoded", Subject: err.Error()})
			c.batcher.Appended(batch.BatchID, err, now)
			continue
		}
		c.counters.Appends++
		c.emit(Append{Stream: StreamClaims, BatchID: batch.BatchID, Data: data})
	}
}

// takeAppended takes the end of an append.
func (c *Core) takeAppended(e Appended, now time.Time) {
	if e.Stream == StreamConfig {
		c.takeConfigAppended(e, now)
		return
	}
	for _, id := range c.batcher.Appended(e.BatchID, appendError(e.Result), now) {
		c.refuseClaim(id, now)
	}
}

func appendError(result AppendResult) error {
	switch result {
	case AppendDone:
		return nil
	case AppendRefused:
		return claimer.ErrNotAppended
	default:
		return claimer.ErrUncertain
	}
}

// refuseClaim gives up a request whose claim surely is not in the log.
func (c *Core) refuseClaim(id claimer.ClaimID, now time.Time) {
	r, waiting := c.claiming[id]
	if !waiting {
		return
	}
	c.fail(r, CodeLogUnavailable, "the log refused the claim", logRetryAfter, now)
}

// takeClaimRecord folds one record of the claims stream and acts on what it decides.
func (c *Core) takeClaimDecision(decision claimer.Decision, now time.Time) {
	switch d := decision.(type) {
	case claimer.Won:
		c.takeWon(d, now)
	case claimer.Lost:
		c.takeLost(d, now)
	case claimer.ForeignOutcome:
		c.takeForeignOutcome(d, now)
	}
}

// takeWon starts the stages of a request whose claim is the key's first.
func (c *Core) takeWon(d claimer.Won, now time.Time) {
	r, waiting := c.claiming[d.ClaimID]
	if !waiting {
		// The caller was told notRun already. Without the release the key could never be tried
		// again; with it nobody can run it twice, since this entry never dispatches a claim
		// whose request is gone.
		c.counters.ClaimsLate++
		c.batcher.Add(claimer.Release{Key: d.Key, ClaimID: d.ClaimID, Entry: c.cfg.Entry, Incarnation: c.cfg.Incarnation}, now)
		return
	}
	c.counters.ClaimsWon++
	c.noteClaimDelay(now.Sub(r.arrived))
	delete(c.claiming, d.ClaimID)
	r.claimed = true
	r.fence = d.Offset
	c.enqueue(r, now)
}

func (c *Core) noteClaimDelay(delay time.Duration) {
	c.claimMean += time.Duration(claimDelayDecay * float64(delay-c.claimMean))
}

// takeLost answers a request whose key another claim holds.
func (c *Core) takeLost(d claimer.Lost, now time.Time) {
	r, waiting := c.claiming[d.ClaimID]
	if !waiting {
		return
	}
	c.counters.ClaimsLost++
	callers := append([]uint64{r.id}, r.joined...)
	c.drop(r, now)
	for _, id := range callers {
		c.answerHeld(id, r.key, r.digest, d.Holding, r.deadline, now)
	}
}

// drop forgets a request that another claim serves.
func (c *Core) drop(r *request, now time.Time) {
	delete(c.claiming, r.claimID)
	delete(c.requests, r.id)
	delete(c.running, r.key)
	c.limiter.Release(r.key.Account, r.estimated, 0, now)
}

// endClaim records a claimed request's end, so that any entry can answer for it.
func (c *Core) endClaim(r *request, outcome Outcome, now time.Time) {
	if !r.plan.sideEffect {
		return
	}
	if _, waiting := c.claiming[r.claimID]; waiting {
		delete(c.claiming, r.claimID)
		c.batcher.Withdraw(r.claimID)
		return
	}
	if outcome.State == StateNotRun {
		c.batcher.Add(claimer.Release{Key: r.key, ClaimID: r.claimID, Entry: c.cfg.Entry, Incarnation: c.cfg.Incarnation}, now)
		return
	}
	c.batcher.Add(claimer.Outcome{
		Key:         r.key,
		ClaimID:     r.claimID,
		Entry:       c.cfg.Entry,
		Incarnation: c.cfg.Incarnation,
		State:       uint8(outcome.State),
		Answer:      outcome.Answer,
		Parts:       outcome.Parts,
		Code:        string(outcome.Failure.Code),
		Message:     outcome.Failure.Message,
	}, now)
}

func ageFailure(err error) *Failure {
	var old *claimer.KeyTooOldError
	if errors.As(err, &old) {
		return &Failure{Code: CodeKeyTooOld, Message: old.Error(), State: StateNotRun}
	}
	return &Failure{Code: CodeKeyFromFuture, Message: err.Error(), State: StateNotRun}
}
