package reducer

import (
	"errors"
	"maps"
	"slices"
	"time"

	"geraniumline/claimer"
)

const (
	// logRetryAfter tells a caller when to come back while the log is not available.
	logRetryAfter = time.Second
	// logSilence is how long the claims stream may be silent before this entry stops claiming.
	logSilence = 3 * time.Second
	// uncertainGrace is how long a claim may take to be read back once its append's end is uncertain.
	uncertainGrace = 300 * time.Millisecond
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
	// era is that of the pages read; renewed tells that it has changed while this process read the stream.
	era     int64
	renewed bool
}

// takeEra notes the era of a page.
func (h *logHealth) takeEra(era int64) {
	h.renewed = h.renewed || era > h.era && !h.readAt.IsZero()
	h.era = max(h.era, era)
}

// claimsReady tells whether this entry may claim: it has read the stream to its end, so that it knows
// every earlier claim within the horizon, and can read and append now.
func (c *Core) claimsReady(now time.Time) bool {
	health := c.logs[StreamClaims]
	return health.caughtUp && !health.failing && now.Sub(health.readAt) < logSilence
}

// claimDelay is how long a claim made now will take to be read back: the mean of recent ones, or what the
// batcher expects if that is greater.
func (c *Core) claimDelay(now time.Time) time.Duration {
	return max(c.claimMean, c.batcher.Delay(now))
}

// claim appends the request's claim. Nothing is dispatched before it is read back as the key's first.
func (c *Core) claim(r *request, now time.Time) {
	c.nextClaim++
	r.claimID = c.nextClaim
	r.phase = phaseClaiming
	c.claiming[r.claimID] = r
	c.counters.ClaimsSent++
	c.batcher.Add(claimer.Claim{Key: r.key, Digest: r.digest, ClaimID: r.claimID})
	c.schedule(timer{at: now.Add(c.claimTimeout(r, now)), kind: timerClaim, subject: r.claimID})
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
	r, waiting := c.claiming[subject]
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
			c.batcher.Appended(batch.BatchID, claimer.AppendDone{}, now)
			continue
		}
		c.appending++
		c.emit(Append{Stream: StreamClaims, BatchID: batch.BatchID, Data: data})
	}
}

// takeAppended takes the end of an append.
func (c *Core) takeAppended(e Appended, now time.Time) {
	switch e.Stream {
	case StreamConfig:
		c.takeConfigAppended(e, now)
		return
	case StreamLeases:
		c.leaser.AppendFinished(e.BatchID, e.Result, now)
		return
	}
	c.appending--
	c.batcher.Appended(e.BatchID, e.Result, now)
	switch result := e.Result.(type) {
	case claimer.AppendRefused:
		c.refuseClaims(max(result.RetryAfter, logRetryAfter), now)
	case claimer.AppendUncertain:
		c.hurryClaims(now)
	}
}

// hurryClaims gives claims whose append's end is uncertain, and those that wait behind it, a short time to be read
// back. A lost reply shows within that time, and the log then takes the next ones; an append that hangs would
// otherwise hold its callers to the end of their deadlines.
func (c *Core) hurryClaims(now time.Time) {
	for id := range c.claiming {
		c.schedule(timer{at: now.Add(uncertainGrace), kind: timerClaim, subject: id})
	}
}

// refuseClaims gives up, at once, the requests whose claims are surely not in the log: holding them while
// the log refuses appends would only make their callers wait for the same answer.
func (c *Core) refuseClaims(retryAfter time.Duration, now time.Time) {
	ids := slices.Sorted(maps.Keys(c.claiming))
	for _, id := range ids {
		if c.batcher.Withdraw(id) {
			c.fail(c.claiming[id], CodeLogUnavailable, "the log refused the claim", retryAfter, now)
		}
	}
}

// takeClaimDecision acts on what a record of the claims stream has settled.
func (c *Core) takeClaimDecision(decision claimer.Decision, now time.Time) {
	switch d := decision.(type) {
	case claimer.Won:
		c.takeWon(d, now)
	case claimer.Lost:
		c.takeLost(d, now)
	case claimer.Voided:
		c.takeVoided(d.ClaimID, voidCode(d.Reason), now)
	case claimer.Unproved:
		c.takeUnproved(d, now)
	case claimer.ForeignOutcome:
		c.takeForeignOutcome(d, now)
	case claimer.ClosedOwner:
		c.ownerDied(d.Entry)
	case claimer.Landed:
		c.batcher.Landed(d.BatchID, now)
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
		c.batcher.Add(claimer.Release{Key: d.Key, ClaimID: d.ClaimID})
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
	c.answerByHolder(r, d.Holder, now)
}

// answerByHolder answers the callers of a request that another claim serves.
func (c *Core) answerByHolder(r *request, holder claimer.Holding, now time.Time) {
	callers := append([]uint64{r.id}, r.joined...)
	c.drop(r, now)
	for _, id := range callers {
		c.answerHeld(id, r.key, r.digest, holder, r.deadline, now)
	}
}

// drop forgets a request that another claim serves.
func (c *Core) drop(r *request, now time.Time) {
	delete(c.claiming, r.claimID)
	c.forget(r)
	c.limiter.Release(r.key.Account, r.estimated, 0, now)
}

// endClaim records a claimed request's end, so that any entry can answer for it.
func (c *Core) endClaim(r *request, outcome Outcome) {
	if !r.plan.sideEffect {
		return
	}
	if _, waiting := c.claiming[r.claimID]; waiting {
		delete(c.claiming, r.claimID)
		c.batcher.Withdraw(r.claimID)
		return
	}
	if outcome.State == StateNotRun {
		c.batcher.Add(claimer.Release{Key: r.key, ClaimID: r.claimID})
		return
	}
	c.batcher.Add(claimer.Outcome{
		Key:     r.key,
		ClaimID: r.claimID,
		State:   claimState(outcome.State),
		Answer:  outcome.Answer,
		Parts:   outcome.Parts,
		Code:    string(outcome.Failure.Code),
		Message: outcome.Failure.Message,
	})
}

func ageFailure(err error) *Failure {
	var old *claimer.KeyTooOldError
	if errors.As(err, &old) {
		// Whether it ran once is no longer known, so "not run" might be untrue. It did not run now.
		return &Failure{Code: CodeKeyTooOld, Message: old.Error() + "; it was not run now", State: StateUnknown}
	}
	return &Failure{Code: CodeKeyFromFuture, Message: err.Error(), State: StateNotRun}
}

// takeVoided ends a request whose claim holds nothing, for anyone.
func (c *Core) takeVoided(claimID uint64, code Code, now time.Time) {
	r, waiting := c.claiming[claimID]
	if !waiting {
		return
	}
	holding, known := c.table.Lookup(r.key)
	if !known || !holding.Held {
		c.fail(r, code, "the claim does not hold; nothing ran", 0, now)
		return
	}
	c.answerByHolder(r, holding, now)
}

// takeUnproved ends a request whose claim is the first that this entry knows, although it may have missed
// earlier ones. It is neither dispatched nor released, and an earlier claim may have run.
func (c *Core) takeUnproved(d claimer.Unproved, now time.Time) {
	r, waiting := c.claiming[d.ClaimID]
	if !waiting {
		return
	}
	callers := append([]uint64{r.id}, r.joined...)
	c.drop(r, now)
	for _, id := range callers {
		c.emit(SendFailure{ID: id, Failure: mayHaveRun(r.key, 0)})
	}
}

func voidCode(reason claimer.VoidReason) Code {
	switch reason {
	case claimer.VoidTooOld:
		return CodeKeyTooOld
	case claimer.VoidFromFuture:
		return CodeKeyFromFuture
	case claimer.VoidBadKey:
		return CodeUnsupportedKey
	default:
		return CodeNotReady
	}
}

func claimState(state State) claimer.State {
	if state == StateAnswered {
		return claimer.StateAnswered
	}
	return claimer.StateUnknown
}

func stateOfClaim(state claimer.State) State {
	if state == claimer.StateAnswered {
		return StateAnswered
	}
	return StateUnknown
}
