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

// phase tells how far a request has come.
type phase uint8

const (
	// phaseClaiming waits for the request's own claim to be read back.
	phaseClaiming phase = iota
	// phaseQueued waits for an endpoint of the present stage's pool.
	phaseQueued
	// phaseRunning has a stage call in flight.
	phaseRunning
)

// request is one request that this entry serves.
type request struct {
	id uint64
	// name is what endpoints see: unique over all entries and incarnations.
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
	// prefix is that of input, for the choice of an endpoint.
	prefix   router.Prefix
	attempts int
	tried    []string
	// announced is the cost of each stage to come that the scheduler was told of; 0 for none.
	announced [publisher.MaxStages]float64
	calls     []call
	// firstCall is the memory of calls while there is but one.
	firstCall [1]call
	queuedAt  time.Time
	// possible counts the calls that an endpoint may have acted on.
	possible int
	// sent is the text of the last stage that the caller has been sent already.
	sent      string
	estimated float64
	cost      float64
	resumes   int

	// callerGone tells that nobody listens at id any more.
	callerGone bool
	joined     []uint64
	peers      []peerWaiter
}

// peerWaiter is an entry that waits for a request's end on behalf of a caller.
type peerWaiter struct {
	address string
	callID  uint64
}

func (r *request) stageConfig() *publisher.Stage {
	return &r.plan.pipeline.Stages[r.stage]
}

func (r *request) last() bool {
	return r.stage == len(r.plan.pipeline.Stages)-1
}

// takeRequest admits a request or answers it at once.
func (c *Core) takeRequest(e *RequestArrived, now time.Time) {
	contract, failure := c.authenticate(e.Credentials)
	if failure != nil {
		c.refuse(e.ID, e.Key, notKnown(*failure, e.Key))
		return
	}
	key := claimer.Key{Account: e.Credentials.Account, Key: e.Key}
	plan, failure := c.planOf(contract, e.Pipeline)
	if failure == nil {
		failure = c.checkDeadline(e.Deadline)
	}
	if failure != nil {
		c.refuse(e.ID, e.Key, *failure)
		return
	}
	if c.answerKnown(e, key, plan, now) {
		return
	}
	if failure := c.checkAdmission(e, contract, plan, now); failure != nil {
		c.refuseAdmission(e, key, plan, urgencyOf(contract, e.Pipeline), *failure, now)
		return
	}
	c.admit(e, key, contract, plan, now)
}

// notKnown makes the refusal of an entry that has no configuration yet true of the key too: it can't tell whether
// the pipeline has side effects, nor whether another entry has run them under a key that allows them.
func notKnown(failure Failure, key string) Failure {
	if _, err := claimer.Birth(key); failure.Code == CodeNotReady && err == nil {
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

// authenticate finds the contract that the credentials prove.
func (c *Core) authenticate(credentials Credentials) (*publisher.Contract, *Failure) {
	if !c.ready() {
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

func (c *Core) ready() bool {
	return c.fold.Offset() > 0
}

// checkDeadline refuses a deadline that no request can have.
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

// answerKnown answers a request whose key is known already, and tells whether it was.
func (c *Core) answerKnown(e *RequestArrived, key claimer.Key, plan *plan, now time.Time) bool {
	if r, running := c.running[key]; running {
		if r.digest != e.Digest {
			c.refuse(e.ID, e.Key, keyReused())
			return true
		}
		c.counters.RequestsJoined++
		r.joined = append(r.joined, e.ID)
		c.joined[e.ID] = r.id
		return true
	}
	if outcome, known := c.outcomes.get(key); known && (outcome.State == StateAnswered || plan.sideEffect && outcome.State != StateNotRun) {
		if outcome.Digest != e.Digest {
			c.refuse(e.ID, e.Key, keyReused())
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
	c.answerHeld(e.ID, key, e.Digest, holding, now.Add(e.Deadline), now)
	return true
}

func keyReused() Failure {
	return Failure{Code: CodeKeyReused, Message: "the key was used for another request; nothing ran for this one", State: StateNotRun}
}

// checkAdmission refuses what cannot or may not be served now.
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
	asks := c.asks(plan, contract, 0, now)
	if refused, no := c.admitter.Admit(asks, now.Add(e.Deadline), now).(admitter.Refused); no {
		return &Failure{Code: CodeCannotFinish, Message: "the stages cannot end by the deadline", State: StateNotRun, RetryAfter: refused.RetryAfter}
	}
	if refused, no := c.limiter.Admit(contract.Account, c.expectedCost(plan), now).(limiter.Refused); no {
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

// checkClaimable refuses a request with side effects whose key could not be claimed in time.
func (c *Core) checkClaimable(e *RequestArrived, now time.Time) *Failure {
	birth, err := claimer.Birth(e.Key)
	if err != nil {
		return &Failure{Code: CodeUnsupportedKey, Message: "a request with side effects needs a UUIDv7 as its key", State: StateNotRun}
	}
	if err := claimer.CheckAge(birth, now, c.cfg.KeyHorizon); err != nil {
		return ageFailure(err)
	}
	if !c.claimsReady(now) {
		return &Failure{Code: CodeLogUnavailable, Message: "the log can't be read, so the request can't be claimed", State: StateNotRun, RetryAfter: logRetryAfter}
	}
	if err := c.table.CheckProvable(birth); err != nil {
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

// admit starts a request.
func (c *Core) admit(e *RequestArrived, key claimer.Key, contract *publisher.Contract, plan *plan, now time.Time) {
	r := &request{
		id:        e.ID,
		name:      c.requestName(e.ID),
		key:       key,
		digest:    e.Digest,
		plan:      plan,
		contract:  contract,
		urgency:   urgencyOf(contract, plan.pipeline.Name),
		arrived:   now,
		deadline:  now.Add(e.Deadline),
		stream:    e.Stream,
		input:     e.Input,
		estimated: c.expectedCost(plan),
	}
	r.calls = r.firstCall[:0]
	c.requests[r.id] = r
	c.running[key] = r
	c.schedule(timer{at: r.deadline, kind: timerDeadline, subject: r.id})
	c.announce(r)
	if plan.sideEffect {
		c.claim(r, now)
		return
	}
	c.enqueue(r, now)
}

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

func urgencyOf(contract *publisher.Contract, pipeline string) scheduler.Urgency {
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

func (r *request) callOf(attempt int) int {
	return slices.IndexFunc(r.calls, func(k call) bool { return k.attempt == attempt })
}
