package reducer

import (
	"math"
	"slices"
	"time"

	"geraniumline/carrier"
	"geraniumline/claimer"
	"geraniumline/detector"
)

// outcomeWait bounds how long peers may take to say that they know an outcome.
const outcomeQueryTimeout = time.Second

// pendingAsk is a caller's question, or a request held by another entry's claim, that peers were asked about.
type peerQuery struct {
	id  uint64
	key claimer.Key
	// owner is the entry that holds the claim; empty when all peers were asked.
	owner string
	// incarnation is the owner's process that holds the claim.
	incarnation uint64
	// outcomeOnly tells that the caller asked for the outcome, and not to run a request.
	outcomeOnly bool
	// refusal is what a refused request is told if no peer knows its key; nil for other questions.
	refusal        *Failure
	refusedRequest refusedKey
	// lost tells that an entry which may have served the key can't be asked.
	peerLost       bool
	pendingReplies int
	// best is the best that is known so far; its state is StateNone while nothing is.
	best Outcome
	// notRunBy are the entries that gave a request under the key up before anything ran.
	notRunBy []string
}

func (c *Core) handleAddressesRequested(e AddressesRequested, _ time.Time) {
	if _, failure := c.authenticate(e.Credentials); failure != nil {
		c.refuse(e.ID, "", *failure)
		return
	}
	c.emit(SendAddresses{ID: e.ID, Answer: c.addresser.Answer(e.Credentials.Account, c.detector.Members())})
}

// takeOutcomeAsked answers by what this entry knows, else by what its peers know. That a request ended here
// without an answer is not final: its caller may have sent it again to another entry, where it ran.
func (c *Core) handleOutcomeRequested(e OutcomeRequested, now time.Time) {
	if _, failure := c.authenticate(e.Credentials); failure != nil {
		c.refuse(e.ID, e.Key, *failure)
		return
	}
	c.counters.OutcomesRequested++
	key := claimer.Key{Account: e.Credentials.Account, Key: e.Key}
	outcome := c.localOutcome(key)
	if outcome.State == StateAnswered || outcome.State == StateRunning {
		c.emit(SendOutcome{ID: e.ID, Key: e.Key, Outcome: outcome})
		return
	}
	query := &peerQuery{id: e.ID, key: key, outcomeOnly: true, best: outcome}
	if outcome.State == StateNotRun {
		query.notRunBy = []string{c.cfg.Entry}
	}
	c.queryPeers(query, now.Add(outcomeQueryTimeout), now)
}

// better tells which of two entries' answers on a key says more: an answer, that it runs, that it may have run,
// that it did not run, nothing.
func moreConclusive(a, b Outcome) Outcome {
	rank := map[State]int{StateAnswered: 4, StateRunning: 3, StateUnknown: 2, StateNotRun: 1}
	if rank[b.State] > rank[a.State] {
		return b
	}
	return a
}

// localOutcome is what this entry knows of a key without asking: its own requests, and the claims table.
func (c *Core) localOutcome(key claimer.Key) Outcome {
	if _, running := c.running[key]; running {
		return Outcome{State: StateRunning}
	}
	outcome, _ := c.outcomes.get(key)
	holding, held := c.table.Lookup(key)
	if held && holding.Ended {
		return moreConclusive(outcome, outcomeFromHolding(key, holding))
	}
	return outcome
}

func outcomeFromHolding(key claimer.Key, holding claimer.Holding) Outcome {
	if holding.Outcome.State == claimer.StateAnswerNotKept {
		return Outcome{State: StateUnknown, Digest: holding.Digest, Failure: answerNotKeptFailure(key)}
	}
	state := stateFromClaim(holding.Outcome.State)
	return Outcome{
		State:  state,
		Answer: holding.Outcome.Answer,
		Parts:  holding.Outcome.Parts,
		Digest: holding.Digest,
		Failure: Failure{
			Code:    Code(holding.Outcome.Code),
			Message: holding.Outcome.Message,
			State:   state,
			Key:     key.Key,
		},
	}
}

// answerHeld answers a request whose key a claim holds already.
func (c *Core) answerClaimed(id uint64, key claimer.Key, digest [32]byte, holding claimer.Holding, until, now time.Time) {
	if holding.Digest != digest {
		c.refuse(id, key.Key, keyReusedFailure())
		return
	}
	if holding.Ended {
		c.sendOutcome(id, key, outcomeFromHolding(key, holding))
		return
	}
	owner, known := c.detector.Member(holding.Entry)
	alive := known && !holding.OwnerClosed && owner.Incarnation == holding.Incarnation && owner.State != detector.Dead && owner.State != detector.Stopped
	if !alive || holding.Entry == c.cfg.Entry {
		c.emit(SendFailure{ID: id, Failure: ownerLostFailure(key)})
		return
	}
	query := &peerQuery{id: id, key: key, owner: holding.Entry, incarnation: holding.Incarnation, pendingReplies: 1}
	c.sendQuery(query, []string{owner.PeerAddress}, until, now)
}

// ownerLost is the truth about a key whose claim's entry can't be asked: it may have run, and since
// nobody else may ever dispatch that claim, it will not be run again.
func ownerLostFailure(key claimer.Key) Failure {
	return Failure{
		Code:    CodeOwnerLost,
		Message: "the entry that served this key was lost before it recorded an outcome; it will not be run again",
		State:   StateUnknown,
		Key:     key.Key,
	}
}

// answerNotKept is the truth about a key whose request was answered, when the answer was too large to keep.
func answerNotKeptFailure(key claimer.Key) Failure {
	return Failure{
		Code:    CodeAnswerNotKept,
		Message: "the request ran once and was answered; its answer is no longer kept",
		State:   StateUnknown,
		Key:     key.Key,
	}
}

// askPeers asks all live peers.
func (c *Core) queryPeers(query *peerQuery, until, now time.Time) {
	var addresses []string
	for _, member := range c.detector.Members() {
		if member.Name == c.cfg.Entry || member.State == detector.Dead || member.State == detector.Stopped {
			continue
		}
		addresses = append(addresses, member.PeerAddress)
	}
	query.pendingReplies = len(addresses)
	if query.pendingReplies == 0 {
		c.finishQuery(query, now)
		return
	}
	c.sendQuery(query, addresses, until, now)
}

func (c *Core) sendQuery(query *peerQuery, addresses []string, until, now time.Time) {
	c.lastPeerCallID++
	id := c.lastPeerCallID
	c.peerQueries[id] = query
	wait := int32(0)
	if !query.outcomeOnly && query.refusal == nil {
		wait = int32(until.Sub(now).Milliseconds())
	}
	for _, address := range addresses {
		c.emit(SendPeer{Address: address, Message: &carrier.OutcomeCall{CallID: id, Account: query.key.Account, Key: query.key.Key, WaitMillis: wait}})
	}
	c.schedule(timer{at: until, kind: timerQuery, subject: id})
}

// takeOutcomeCall answers a peer, at once or when the request has ended.
func (c *Core) handleOutcomeCall(from string, call *carrier.OutcomeCall, now time.Time) {
	member, known := c.detector.Member(from)
	if !known {
		return
	}
	key := claimer.Key{Account: call.Account, Key: call.Key}
	if r, running := c.running[key]; running && call.WaitMillis > 0 {
		r.peerWaiters = append(r.peerWaiters, peerWaiter{address: member.PeerAddress, callID: call.CallID})
		return
	}
	outcome := c.localOutcome(key)
	c.sendPeerOutcome(member.PeerAddress, call.CallID, key, outcome, now)
}

func (c *Core) sendPeerOutcome(address string, callID uint64, key claimer.Key, outcome Outcome, now time.Time) {
	c.emit(SendPeer{Address: address, Message: outcomeToWire(callID, key, outcome, now)})
}

func outcomeToWire(callID uint64, key claimer.Key, outcome Outcome, now time.Time) *carrier.Outcome {
	message := &carrier.Outcome{
		CallID:  callID,
		Account: key.Account,
		Key:     key.Key,
		State:   uint8(outcome.State),
		Answer:  outcome.Answer,
		Parts:   int32(outcome.Parts),
		Code:    string(outcome.Failure.Code),
		Message: outcome.Failure.Message,
		Digest:  outcome.Digest[:],
	}
	if !outcome.Ended.IsZero() {
		message.AgeMillis = now.Sub(outcome.Ended).Milliseconds()
	}
	return message
}

func outcomeFromWire(message *carrier.Outcome, now time.Time) Outcome {
	state := State(message.State)
	outcome := Outcome{
		State:  state,
		Answer: message.Answer,
		Parts:  int(message.Parts),
		Ended:  now.Add(-time.Duration(message.AgeMillis) * time.Millisecond),
		Failure: Failure{
			Code:    Code(message.Code),
			Message: message.Message,
			State:   state,
			Key:     message.Key,
		},
	}
	copy(outcome.Digest[:], message.Digest)
	return outcome
}

// takePeerOutcome takes a peer's answer.
func (c *Core) handlePeerOutcome(from string, message *carrier.Outcome, now time.Time) {
	query, waiting := c.peerQueries[message.CallID]
	if !waiting || query.key != (claimer.Key{Account: message.Account, Key: message.Key}) {
		return
	}
	outcome := outcomeFromWire(message, now)
	query.best = moreConclusive(query.best, outcome)
	if outcome.State == StateNotRun {
		query.notRunBy = append(query.notRunBy, from)
	}
	final := outcome.State == StateAnswered || outcome.State == StateRunning
	if outcome.State == StateNone || (query.outcomeOnly || query.refusal != nil) && !final {
		query.pendingReplies--
		if query.pendingReplies > 0 {
			return
		}
		delete(c.peerQueries, message.CallID)
		c.finishQuery(query, now)
		return
	}
	delete(c.peerQueries, message.CallID)
	if query.refusal != nil {
		c.finishRefusal(query)
		return
	}
	if query.outcomeOnly {
		c.emit(SendOutcome{ID: query.id, Key: query.key.Key, Outcome: outcome})
		return
	}
	if outcome.State == StateRunning {
		outcome.Failure = ownerLostFailure(query.key)
	}
	c.sendOutcome(query.id, query.key, outcome)
}

// passAskTimeout ends a question that no peer answered in time.
func (c *Core) handleQueryTimeout(id uint64, now time.Time) {
	query, waiting := c.peerQueries[id]
	if !waiting {
		return
	}
	delete(c.peerQueries, id)
	c.finishQuery(query, now)
}

// endAsk answers when no peer knows of an answer. A claim without an outcome means unknown, unless its entry
// has said that nothing ran; its release may then still be on the way.
func (c *Core) finishQuery(query *peerQuery, now time.Time) {
	if query.refusal != nil {
		c.finishRefusal(query)
		return
	}
	if !query.outcomeOnly {
		c.emit(SendFailure{ID: query.id, Failure: ownerLostFailure(query.key)})
		return
	}
	holding, known := c.table.Lookup(query.key)
	held := known && holding.Held && !slices.Contains(query.notRunBy, holding.Entry)
	if query.best.State != StateNone && (query.best.State != StateNotRun || !held) {
		c.emit(SendOutcome{ID: query.id, Key: query.key.Key, Outcome: query.best})
		return
	}
	if held {
		c.emit(SendOutcome{ID: query.id, Key: query.key.Key, Outcome: Outcome{State: StateUnknown, Failure: ownerLostFailure(query.key), Ended: now}})
		return
	}
	c.emit(SendFailure{ID: query.id, Failure: Failure{Code: CodeUnknownKey, Message: "no live entry knows a request under this key", State: StateUnknown, Key: query.key.Key}})
}

// forgetAsk drops the questions of a caller that has gone.
func (c *Core) dropQueries(id uint64) {
	for call, query := range c.peerQueries {
		if query.id == id {
			delete(c.peerQueries, call)
		}
	}
}

// ownerDied answers at once those who wait for an entry that has died.
func (c *Core) failOwnerQueries(name string) { c.failQueriesToEarlierOwner(name, math.MaxUint64) }

// ownerReplaced answers at once those who wait for an earlier process of an entry than the one that lives. A process
// that is started again at once is never taken for dead, and its successor knows nothing of what it was asked:
// its callers would be held to their deadlines.
func (c *Core) failQueriesToEarlierOwner(name string, incarnation uint64) {
	for call, query := range c.peerQueries {
		if query.owner != name || query.incarnation >= incarnation {
			continue
		}
		delete(c.peerQueries, call)
		c.emit(SendFailure{ID: query.id, Failure: ownerLostFailure(query.key)})
	}
}

// takeForeignOutcome answers those who wait for another entry's request whose outcome the log now holds.
func (c *Core) handleForeignOutcome(d claimer.ForeignOutcome, _ time.Time) {
	for call, query := range c.peerQueries {
		if query.key != d.Key {
			continue
		}
		delete(c.peerQueries, call)
		outcome := outcomeFromHolding(d.Key, d.Holding)
		if query.outcomeOnly {
			c.emit(SendOutcome{ID: query.id, Key: query.key.Key, Outcome: outcome})
			continue
		}
		c.sendOutcome(query.id, query.key, outcome)
	}
}
