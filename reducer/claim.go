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
	maxClaimsSilence = 3 * time.Second
	// uncertainGrace is how long a claim may take to be read back once its append's end is uncertain.
	uncertainClaimTimeout = 300 * time.Millisecond
	// claimDelayDecay is the weight of the newest claim in the mean of claims' delays.
	claimDelayWeight = 0.2
)

// logHealth is what is known of a stream of the log.
type streamHealth struct {
	// caughtUp tells that the stream was read to its end at least once.
	caughtUp bool
	lastRead time.Time
	failing  bool
	reason   string
	// era is that of the pages read; renewed tells that it has changed while this process read the stream.
	era        int64
	eraChanged bool
}

// takeEra notes the era of a page.
func (h *streamHealth) observeEra(era int64) {
	h.eraChanged = h.eraChanged || era > h.era && !h.lastRead.IsZero()
	h.era = max(h.era, era)
}

// claimsReady tells whether this entry may claim: it has read the stream to its end, so that it knows
// every earlier claim within the horizon, and can read and append now.
func (c *Core) canClaim(now time.Time) bool {
	health := c.streams[StreamClaims]
	return health.caughtUp && !health.failing && now.Sub(health.lastRead) < maxClaimsSilence
}

// claimDelay is how long a claim made now will take to be read back: the mean of recent ones, or what the
// batcher expects if that is greater.
func (c *Core) claimDelay(now time.Time) time.Duration {
	return max(c.meanClaimDelay, c.batcher.Delay(now))
}

// claim appends the request's claim. Nothing is dispatched before it is read back as the key's first.
func (c *Core) appendClaim(r *request, now time.Time) {
	c.lastClaimID++
	r.claimID = c.lastClaimID
	r.phase = phaseClaiming
	c.claiming[r.claimID] = r
	c.counters.ClaimsSent++
	c.batcher.Add(claimer.Claim{Key: r.key, Digest: r.digest, ClaimID: r.claimID})
	c.schedule(timer{at: now.Add(c.claimTimeout(r, now)), kind: timerClaim, subject: r.claimID})
}

// claimTimeout leaves the stages the time that they need after the claim.
func (c *Core) claimTimeout(r *request, now time.Time) time.Duration {
	needed := time.Duration(r.estimatedCost) * time.Millisecond
	left := r.deadline.Sub(now)
	return max(left-needed, left/2)
}

// passClaimTimeout gives up a request whose claim was not read back in time, and says so at once.
// The claim may still land: it is then never dispatched, since its request is gone, and released.
func (c *Core) handleClaimTimeout(subject uint64, now time.Time) {
	r, waiting := c.claiming[subject]
	if !waiting {
		return
	}
	c.fail(r, CodeLogUnavailable, "the claim was not confirmed in time", logRetryAfter, now)
}

// pumpClaims appends what the batcher says is due.
func (c *Core) appendDueClaims(now time.Time) {
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
		c.claimAppendsInFlight++
		c.emit(Append{Stream: StreamClaims, BatchID: batch.BatchID, Data: data})
	}
}

// takeAppended takes the end of an append.
func (c *Core) handleAppended(e Appended, now time.Time) {
	switch e.Stream {
	case StreamConfig:
		c.handleConfigAppended(e, now)
		return
	case StreamLeases:
		c.leaser.Ended(e.BatchID, e.Result, now)
		return
	}
	c.claimAppendsInFlight--
	c.batcher.Appended(e.BatchID, e.Result, now)
	switch result := e.Result.(type) {
	case claimer.AppendRefused:
		c.failRefusedClaims(max(result.RetryAfter, logRetryAfter), now)
	case claimer.AppendUncertain:
		c.shortenClaimTimeouts(now)
	}
}

// hurryClaims gives claims whose append's end is uncertain, and those that wait behind it, a short time to be read
// back. A lost reply shows within that time, and the log then takes the next ones; an append that hangs would
// otherwise hold its callers to the end of their deadlines.
func (c *Core) shortenClaimTimeouts(now time.Time) {
	for id := range c.claiming {
		c.schedule(timer{at: now.Add(uncertainClaimTimeout), kind: timerClaim, subject: id})
	}
}

// refuseClaims gives up, at once, the requests whose claims are surely not in the log: holding them while
// the log refuses appends would only make their callers wait for the same answer.
func (c *Core) failRefusedClaims(retryAfter time.Duration, now time.Time) {
	ids := slices.Sorted(maps.Keys(c.claiming))
	for _, id := range ids {
		if c.batcher.Withdraw(id) {
			c.fail(c.claiming[id], CodeLogUnavailable, "the log refused the claim", retryAfter, now)
		}
	}
}

// takeClaimDecision acts on what a record of the claims stream has settled.
func (c *Core) handleClaimDecision(decision claimer.Decision, now time.Time) {
	switch d := decision.(type) {
	case claimer.Won:
		c.handleClaimWon(d, now)
	case claimer.Lost:
		c.handleClaimLost(d, now)
	case claimer.Voided:
		c.handleClaimVoided(d.ClaimID, voidCode(d.Reason), now)
	case claimer.Unproved:
		c.handleClaimUnproved(d, now)
	case claimer.ForeignOutcome:
		c.handleForeignOutcome(d, now)
	case claimer.ClosedOwner:
		c.failOwnerQueries(d.Entry)
	case claimer.Landed:
		c.batcher.Landed(d.BatchID, now)
	}
}

// takeWon starts the stages of a request whose claim is the key's first.
func (c *Core) handleClaimWon(d claimer.Won, now time.Time) {
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
	c.recordClaimDelay(now.Sub(r.arrived))
	delete(c.claiming, d.ClaimID)
	r.claimed = true
	r.fence = d.Offset
	c.enqueue(r, now)
}

func (c *Core) recordClaimDelay(delay time.Duration) {
	c.meanClaimDelay += time.Duration(claimDelayWeight * float64(delay-c.meanClaimDelay))
}

// takeLost answers a request whose key another claim holds.
func (c *Core) handleClaimLost(d claimer.Lost, now time.Time) {
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
	c.dropRequest(r, now)
	for _, id := range callers {
		c.answerClaimed(id, r.key, r.digest, holder, r.deadline, now)
	}
}

// drop forgets a request that another claim serves.
func (c *Core) dropRequest(r *request, now time.Time) {
	delete(c.claiming, r.claimID)
	c.removeRequest(r)
	c.limiter.Release(r.key.Account, r.estimatedCost, 0, now)
}

// endClaim records a claimed request's end, so that any entry can answer for it.
func (c *Core) recordClaimEnd(r *request, outcome Outcome) {
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
		State:   stateToClaim(outcome.State),
		Answer:  outcome.Answer,
		Parts:   outcome.Parts,
		Code:    string(outcome.Failure.Code),
		Message: outcome.Failure.Message,
	})
}

func keyAgeFailure(err error) *Failure {
	var old *claimer.KeyTooOldError
	if errors.As(err, &old) {
		// Whether it ran once is no longer known, so "not run" might be untrue. It did not run now.
		return &Failure{Code: CodeKeyTooOld, Message: old.Error() + "; it was not run now", State: StateUnknown}
	}
	return &Failure{Code: CodeKeyFromFuture, Message: err.Error(), State: StateNotRun}
}

// takeVoided ends a request whose claim holds nothing, for anyone.
func (c *Core) handleClaimVoided(claimID uint64, code Code, now time.Time) {
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
func (c *Core) handleClaimUnproved(d claimer.Unproved, now time.Time) {
	r, waiting := c.claiming[d.ClaimID]
	if !waiting {
		return
	}
	callers := append([]uint64{r.id}, r.joined...)
	c.dropRequest(r, now)
	for _, id := range callers {
		c.emit(SendFailure{ID: id, Failure: mayHaveRunFailure(r.key, 0)})
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

func stateToClaim(state State) claimer.State {
	if state == StateAnswered {
		return claimer.StateAnswered
	}
	return claimer.StateUnknown
}

func stateFromClaim(state claimer.State) State {
	if state == claimer.StateAnswered {
		return StateAnswered
	}
	return StateUnknown
}
