package reducer

import (
	"crypto/subtle"
	"slices"
	"strconv"
	"strings"
	"time"

	"geraniumline/admitter"
	"geraniumline/biller"
	"geraniumline/claimer"
	"geraniumline/limiter"
	"geraniumline/publisher"
	"geraniumline/router"
	"geraniumline/scheduler"
)

// phase is the progress of a request.
type phase uint8

const (
	// phaseClaiming means that the request waits for its claim to be read back.
	phaseClaiming phase = iota
	// phaseQueued means that the current stage waits for an endpoint of its pool.
	phaseQueued
	// phaseRunning means that a call of the current stage is in flight.
	phaseRunning
)

// request is a request that this entry serves.
type request struct {
	id uint64
	// name is the request id sent to endpoints. It is unique among all entries and incarnations.
	name     string
	key      claimer.Key
	digest   [32]byte
	plan     *plan
	contract *publisher.Contract
	urgency  scheduler.Urgency
	arrived  time.Time
	deadline time.Time
	stream   bool
	phase    phase

	claimID uint64
	claimed bool
	fence   int64

	stage int
	input string
	// prefix is the prompt prefix of input, which the choice of an endpoint uses.
	prefix         router.Prefix
	attempts       int
	triedAddresses []string
	// announcedCosts are the costs of later stages that were announced to the scheduler; 0 for none.
	announcedCosts [publisher.MaxStages]float64
	calls          []callState
	// inlineCall is the backing array of calls while there is at most one, which saves an allocation.
	inlineCall [1]callState
	queuedAt   time.Time
	// possibleRuns counts the calls that an endpoint may have acted on.
	possibleRuns int
	// sentText is the text of the last stage that has already been sent to the caller.
	sentText      string
	estimatedCost float64
	measuredCost  float64
	resumes       int

	// callerGone is set if the first caller has disconnected.
	callerGone  bool
	joined      []uint64
	peerWaiters []peerWaiter
}

// peerWaiter is a peer that waits for a request's end on behalf of a caller.
type peerWaiter struct {
	address string
	callID  uint64
}

// currentStage returns the configuration of the current stage.
func (r *request) currentStage() *publisher.Stage {
	return &r.plan.pipeline.Stages[r.stage]
}

func (r *request) onLastStage() bool {
	return r.stage == len(r.plan.pipeline.Stages)-1
}

// handleRequest admits a request or answers it immediately.
func (c *Core) handleRequest(e *RequestArrived, now time.Time) {
	contract, failure := c.authenticate(e.Credentials)
	if failure != nil {
		c.refuse(e.ID, e.Key, qualifyNotReady(*failure, e.Key))
		return
	}
	key := claimer.Key{Account: e.Credentials.Account, Key: e.Key}
	plan, failure := c.findPlan(contract, e.Pipeline)
	if failure == nil {
		failure = c.checkDeadline(e.Deadline)
	}
	if failure != nil {
		c.refuse(e.ID, e.Key, *failure)
		return
	}
	if c.answerFromKey(e, key, plan, now) {
		return
	}
	if failure := c.checkAdmission(e, contract, plan, now); failure != nil {
		c.refuseAdmission(e, key, plan, contractUrgency(contract, e.Pipeline), *failure, now)
		return
	}
	c.admit(e, key, contract, plan, now)
}

// qualifyNotReady changes the refusal of an entry without configuration from notRun to unknown if the key is valid
// for side effects: this entry can't tell whether the pipeline has any, nor whether another entry has run them.
func qualifyNotReady(failure Failure, key string) Failure {
	if _, err := claimer.KeyTime(key); failure.Code == CodeNotReady && err == nil {
		failure.State = StateUnknown
		failure.Message += "; this attempt did not run"
	}
	return failure
}

// refuseAdmission answers a request that was not admitted.
func (c *Core) refuseAdmission(e *RequestArrived, key claimer.Key, plan *plan, urgency scheduler.Urgency, failure Failure, now time.Time) {
	if plan.sideEffect && failure.Code != CodeUnsupportedKey {
		c.refuseKey([]uint64{e.ID}, refusedKey{key: key, digest: e.Digest, urgency: urgency}, failure, now)
		return
	}
	c.biller.CountOutcome(key.Account, urgency, biller.NotRun)
	c.refuse(e.ID, e.Key, failure)
}

// authenticate returns the contract of the client account, or a failure if the credentials do not match.
func (c *Core) authenticate(credentials Credentials) (*publisher.Contract, *Failure) {
	if !c.hasConfig() {
		return nil, &Failure{Code: CodeNotReady, Message: "this entry has no configuration yet", State: StateNotRun, RetryAfter: time.Second}
	}
	contract, known := c.fold.Contract(credentials.Account)
	if !known {
		return nil, &Failure{Code: CodeUnknownAccount, Message: "no contract names this client account", State: StateNotRun}
	}
	if subtle.ConstantTimeCompare([]byte(contract.CredentialSha256), []byte(credentials.Hash)) != 1 {
		return nil, &Failure{Code: CodeWrongCredential, Message: "the credential is not the account's", State: StateNotRun}
	}
	return contract, nil
}

// hasConfig reports whether this entry has read any configuration.
func (c *Core) hasConfig() bool {
	return c.fold.Offset() > 0
}

// checkDeadline returns a failure for a deadline that is not positive or exceeds MaxDeadline.
func (c *Core) checkDeadline(deadline time.Duration) *Failure {
	if deadline <= 0 || deadline > c.cfg.MaxDeadline {
		return &Failure{
			Code:    CodeBadDeadline,
			Message: "deadlineMillis must be from 1 to " + strconv.FormatInt(c.cfg.MaxDeadline.Milliseconds(), 10),
			State:   StateNotRun,
		}
	}
	return nil
}

// answerFromKey answers a request whose key is already known and reports whether it did: the request joins a running
// one, or is answered from a stored outcome or by the entry that holds the claim.
func (c *Core) answerFromKey(e *RequestArrived, key claimer.Key, plan *plan, now time.Time) bool {
	if r, running := c.running[key]; running {
		if r.digest != e.Digest {
			c.refuse(e.ID, e.Key, keyReusedFailure())
			return true
		}
		c.counters.RequestsJoined++
		r.joined = append(r.joined, e.ID)
		c.joinedCallers[e.ID] = r.id
		return true
	}
	if outcome, known := c.outcomes.get(key); known && (outcome.State == StateAnswered || plan.sideEffect && outcome.State != StateNotRun) {
		if outcome.Digest != e.Digest {
			c.refuse(e.ID, e.Key, keyReusedFailure())
			return true
		}
		c.sendOutcome(e.ID, key, outcome)
		return true
	}
	if !plan.sideEffect {
		return false
	}
	holding, known := c.table.Lookup(key)
	if !known || !holding.Held {
		return false
	}
	c.answerClaimed(e.ID, key, e.Digest, holding, now.Add(e.Deadline), now)
	return true
}

func keyReusedFailure() Failure {
	return Failure{Code: CodeKeyReused, Message: "the key was used for another request; nothing ran for this one", State: StateNotRun}
}

// checkAdmission returns a failure for a request that can't or may not be served now.
func (c *Core) checkAdmission(e *RequestArrived, contract *publisher.Contract, plan *plan, now time.Time) *Failure {
	if !c.drainer.AcceptsWork(now) {
		return &Failure{Code: CodeStopping, Message: "this entry is stopping; ask for addresses again", State: StateNotRun}
	}
	if failure := c.checkQuarantine(e.Digest, now); failure != nil {
		return failure
	}
	if plan.sideEffect {
		if failure := c.checkClaimable(e, now); failure != nil {
			return failure
		}
	}
	stages := c.pendingStages(plan, contract, 0, now)
	if refused, isRefused := c.admitter.Admit(stages, now.Add(e.Deadline), now).(admitter.Refused); isRefused {
		return &Failure{Code: CodeCannotFinish, Message: "the stages cannot end by the deadline", State: StateNotRun, RetryAfter: refused.RetryAfter}
	}
	if refused, isRefused := c.limiter.Admit(contract.Account, c.expectedCost(plan), now).(limiter.Refused); isRefused {
		return &Failure{Code: limitCode(refused.Reason), Message: "the contract's limit is reached", State: StateNotRun, RetryAfter: refused.RetryAfter}
	}
	return nil
}

func limitCode(reason limiter.Reason) Code {
	switch reason {
	case limiter.ReasonConcurrency:
		return CodeConcurrency
	case limiter.ReasonCost:
		return CodeCostLimited
	case limiter.ReasonUnknownAccount:
		return CodeUnknownAccount
	default:
		return CodeRateLimited
	}
}

// checkClaimable returns a failure for a request with side effects whose key can't be claimed in time.
func (c *Core) checkClaimable(e *RequestArrived, now time.Time) *Failure {
	birth, err := claimer.KeyTime(e.Key)
	if err != nil {
		return &Failure{Code: CodeUnsupportedKey, Message: "a request with side effects needs a UUIDv7 as its key", State: StateNotRun}
	}
	if err := claimer.CheckAge(birth, now, c.cfg.KeyHorizon); err != nil {
		return keyAgeFailure(err)
	}
	if !c.canClaim(now) {
		return &Failure{Code: CodeLogUnavailable, Message: "the log can't be read, so the request can't be claimed", State: StateNotRun, RetryAfter: logRetryAfter}
	}
	if err := c.table.CheckVerifiable(birth); err != nil {
		return &Failure{Code: CodeNotReady, Message: "this entry has not read the claims from the time of the key", State: StateNotRun, RetryAfter: logRetryAfter}
	}
	if wait, available := c.batcher.Available(now); !available {
		return &Failure{Code: CodeLogUnavailable, Message: "the log takes no appends, so the request can't be claimed", State: StateNotRun, RetryAfter: wait}
	}
	if delay := c.claimDelay(now); delay > e.Deadline {
		return &Failure{Code: CodeLogUnavailable, Message: "the log is too slow to claim the request by its deadline", State: StateNotRun, RetryAfter: delay}
	}
	return nil
}

// admit starts an admitted request: with its claim if it has side effects, and otherwise with its first stage.
func (c *Core) admit(e *RequestArrived, key claimer.Key, contract *publisher.Contract, plan *plan, now time.Time) {
	r := &request{
		id:            e.ID,
		name:          c.requestName(e.ID),
		key:           key,
		digest:        e.Digest,
		plan:          plan,
		contract:      contract,
		urgency:       contractUrgency(contract, plan.pipeline.Name),
		arrived:       now,
		deadline:      now.Add(e.Deadline),
		stream:        e.Stream,
		input:         e.Input,
		estimatedCost: c.expectedCost(plan),
	}
	r.calls = r.inlineCall[:0]
	c.requests[r.id] = r
	c.running[key] = r
	c.schedule(timer{at: r.deadline, kind: timerDeadline, subject: r.id})
	c.announceStages(r)
	if plan.sideEffect {
		c.appendClaim(r, now)
		return
	}
	c.enqueue(r, now)
}

// requestName returns the request id that endpoints receive: entry, incarnation and id, separated by dots.
func (c *Core) requestName(id uint64) string {
	var b strings.Builder
	b.Grow(len(c.cfg.Entry) + 34)
	b.WriteString(c.cfg.Entry)
	b.WriteByte('.')
	b.WriteString(strconv.FormatUint(c.cfg.Incarnation, 36))
	b.WriteByte('.')
	b.WriteString(strconv.FormatUint(id, 36))
	return b.String()
}

// contractUrgency returns the urgency that a contract sets for a pipeline.
func contractUrgency(contract *publisher.Contract, pipeline string) scheduler.Urgency {
	name := contract.Urgency
	if own, set := contract.PipelineUrgency[pipeline]; set {
		name = own
	}
	switch name {
	case publisher.Urgent:
		return scheduler.Urgent
	case publisher.Relaxed:
		return scheduler.Relaxed
	default:
		return scheduler.Normal
	}
}

// callIndex returns the index in calls of an attempt, or -1.
func (r *request) callIndex(attempt int) int {
	return slices.IndexFunc(r.calls, func(call callState) bool { return call.attempt == attempt })
}
