package reducer

import (
	"errors"
	"maps"
	"slices"
	"time"

	"geraniumline/claimer"
)

const (
	// logRetryAfter is the least Retry-After sent to callers while the log is unavailable.
	logRetryAfter = time.Second
	// maxClaimsSilence is the longest time since the last read of the claims stream at which this entry still claims.
	maxClaimsSilence = 3 * time.Second
	// uncertainClaimTimeout bounds the wait for a claim to be read back once the result of its append is uncertain.
	uncertainClaimTimeout = 300 * time.Millisecond
	// claimDelayWeight is the weight of the newest sample in the moving average of claim delays.
	claimDelayWeight = 0.2
)

// streamHealth is the state of reading one stream of the log.
type streamHealth struct {
	// caughtUp is set once the stream has been read to its end.
	caughtUp bool
	lastRead time.Time
	failing  bool
	reason   string
	// era is the highest era of the pages read. eraChanged is set if it has changed since this process's first read.
	era        int64
	eraChanged bool
}

// observeEra records the era of a page.
func (h *streamHealth) observeEra(era int64) {
	h.eraChanged = h.eraChanged || era > h.era && !h.lastRead.IsZero()
	h.era = max(h.era, era)
}

// canClaim reports whether this entry may claim keys: it has read the claims stream to its end, so that it knows
// every earlier claim within the horizon, and its last reads succeeded.
func (c *Core) canClaim(now time.Time) bool {
	health := c.streams[StreamClaims]
	return health.caughtUp && !health.failing && now.Sub(health.lastRead) < maxClaimsSilence
}

// claimDelay estimates how long a claim made now takes to be read back: the moving average of recent claims, or the
// batcher's estimate if that is greater.
func (c *Core) claimDelay(now time.Time) time.Duration {
	return max(c.meanClaimDelay, c.batcher.ExpectedDelay(now))
}

// appendClaim queues the request's claim for the log. No stage is dispatched before the claim has been read back
// as the first for its key.
func (c *Core) appendClaim(r *request, now time.Time) {
	c.lastClaimID++
	r.claimID = c.lastClaimID
	r.phase = phaseClaiming
	c.claiming[r.claimID] = r
	c.counters.ClaimsSent++
	c.batcher.Add(claimer.Claim{Key: r.key, Digest: r.digest, ClaimID: r.claimID})
	c.schedule(timer{at: now.Add(c.claimTimeout(r, now)), kind: timerClaim, subject: r.claimID})
}

// claimTimeout returns how long to wait for the claim: the time left until the deadline less the estimated time of
// the stages, but at least half of the time left.
func (c *Core) claimTimeout(r *request, now time.Time) time.Duration {
	needed := time.Duration(r.estimatedCost) * time.Millisecond
	left := r.deadline.Sub(now)
	return max(left-needed, left/2)
}

// handleClaimTimeout fails a request whose claim was not read back in time. The claim may still be read later; it is
// then released and never dispatched, since its request has ended.
func (c *Core) handleClaimTimeout(subject uint64, now time.Time) {
	r, waiting := c.claiming[subject]
	if !waiting {
		return
	}
	c.fail(r, CodeLogUnavailable, "the claim was not confirmed in time", logRetryAfter, now)
}

// appendDueClaims emits appends for all batches that are due.
func (c *Core) appendDueClaims(now time.Time) {
	for {
		batch, due := c.batcher.Due(now)
		if !due {
			return
		}
		data, err := claimer.Encode(batch)
		if err != nil {
			c.emit(LogChange{Message: "failed to encode claims", Subject: err.Error()})
			c.batcher.Appended(batch.BatchID, claimer.AppendDone{}, now)
			continue
		}
		c.claimAppendsInFlight++
		c.emit(Append{Stream: StreamClaims, BatchID: batch.BatchID, Data: data})
	}
}

// handleAppended handles the result of an append to any stream.
func (c *Core) handleAppended(e Appended, now time.Time) {
	switch e.Stream {
	case StreamConfig:
		c.handleConfigAppended(e, now)
		return
	case StreamLeases:
		c.leaser.AppendFinished(e.BatchID, e.Result, now)
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

// shortenClaimTimeouts limits the wait for claims whose append's result is uncertain, and for those queued behind it,
// to uncertainClaimTimeout. If only the reply was lost, the claim is read back within that time and the log accepts
// the next ones; an append that hangs would otherwise hold its callers until their deadlines.
func (c *Core) shortenClaimTimeouts(now time.Time) {
	for id := range c.claiming {
		c.schedule(timer{at: now.Add(uncertainClaimTimeout), kind: timerClaim, subject: id})
	}
}

// failRefusedClaims fails the requests whose claims are certainly not in the log. Holding them while the log refuses
// appends would only delay the same answer.
func (c *Core) failRefusedClaims(retryAfter time.Duration, now time.Time) {
	ids := slices.Sorted(maps.Keys(c.claiming))
	for _, id := range ids {
		if c.batcher.Withdraw(id) {
			c.fail(c.claiming[id], CodeLogUnavailable, "the log refused the claim", retryAfter, now)
		}
	}
}

// handleClaimDecision handles a decision that follows from a record of the claims stream.
func (c *Core) handleClaimDecision(decision claimer.Decision, now time.Time) {
	switch d := decision.(type) {
	case claimer.Won:
		c.handleClaimWon(d, now)
	case claimer.Lost:
		c.handleClaimLost(d, now)
	case claimer.Voided:
		c.handleClaimVoided(d.ClaimID, voidCode(d.Reason), now)
	case claimer.Unverified:
		c.handleClaimUnproved(d, now)
	case claimer.ForeignOutcome:
		c.handleForeignOutcome(d, now)
	case claimer.IncarnationClosed:
		c.failOwnerQueries(d.Entry)
	case claimer.BatchCommitted:
		c.batcher.Committed(d.BatchID, now)
	}
}

// handleClaimWon starts the stages of a request whose claim is the first for its key.
func (c *Core) handleClaimWon(d claimer.Won, now time.Time) {
	r, waiting := c.claiming[d.ClaimID]
	if !waiting {
		// The caller has already received notRun. Without the release, the key could never be tried
		// again. Releasing it can't make it run twice, since this entry never dispatches a claim
		// whose request has ended.
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

// recordClaimDelay adds a sample to the moving average of claim delays.
func (c *Core) recordClaimDelay(delay time.Duration) {
	c.meanClaimDelay += time.Duration(claimDelayWeight * float64(delay-c.meanClaimDelay))
}

// handleClaimLost answers a request whose key is held by another claim.
func (c *Core) handleClaimLost(d claimer.Lost, now time.Time) {
	r, waiting := c.claiming[d.ClaimID]
	if !waiting {
		return
	}
	c.counters.ClaimsLost++
	c.answerByHolder(r, d.Holder, now)
}

// answerByHolder drops a request whose key another claim holds, and answers its callers from that claim.
func (c *Core) answerByHolder(r *request, holder claimer.KeyStatus, now time.Time) {
	callers := append([]uint64{r.id}, r.joined...)
	c.dropRequest(r, now)
	for _, id := range callers {
		c.answerClaimed(id, r.key, r.digest, holder, r.deadline, now)
	}
}

// dropRequest removes a request whose key another claim holds, without recording an outcome.
func (c *Core) dropRequest(r *request, now time.Time) {
	delete(c.claiming, r.claimID)
	c.removeRequest(r)
	c.limiter.Release(r.key.Account, r.estimatedCost, 0, now)
}

// recordClaimEnd appends the end of a claimed request to the claims stream, so that any entry can answer for its key.
// A claim that has not been read back is withdrawn instead, and one whose request did not run is released.
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

// keyAgeFailure converts an error of claimer.CheckAge to a failure.
func keyAgeFailure(err error) *Failure {
	var old *claimer.KeyTooOldError
	if errors.As(err, &old) {
		// Whether the key ran earlier is no longer known, so "not run" might be false. It did not run now.
		return &Failure{Code: CodeKeyTooOld, Message: old.Error() + "; it was not run now", State: StateUnknown}
	}
	return &Failure{Code: CodeKeyFromFuture, Message: err.Error(), State: StateNotRun}
}

// handleClaimVoided ends a request whose claim is void. It is answered by the key's holder if there is one.
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

// handleClaimUnproved ends a request whose claim is the first for its key that this entry has read, although it may
// have missed earlier ones. The claim is neither dispatched nor released, since an earlier one may have run.
func (c *Core) handleClaimUnproved(d claimer.Unverified, now time.Time) {
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

func stateToClaim(state State) claimer.OutcomeState {
	if state == StateAnswered {
		return claimer.StateAnswered
	}
	return claimer.StateUnknown
}

func stateFromClaim(state claimer.OutcomeState) State {
	if state == claimer.StateAnswered {
		return StateAnswered
	}
	return StateUnknown
}
