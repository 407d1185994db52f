package reducer

import (
	"math"
	"slices"
	"time"

	"geraniumline/carrier"
	"geraniumline/claimer"
	"geraniumline/detector"
)

// outcomeQueryTimeout bounds the wait for peers' answers to a caller's query for an outcome.
const outcomeQueryTimeout = time.Second

// peerQuery is a query to peers on behalf of a caller: for the outcome of a key, for a request whose key another
// entry has claimed, or for a request that is about to be refused.
type peerQuery struct {
	id  uint64
	key claimer.Key
	// owner is the entry that holds the claim; empty if all peers are queried.
	owner string
	// incarnation is that of the owner's process that holds the claim.
	incarnation uint64
	// outcomeOnly is set if the caller requested an outcome and did not send a request to run.
	outcomeOnly bool
	// refusal is the failure sent to a refused request's caller if no peer knows the key; nil for other queries.
	refusal        *Failure
	refusedRequest refusedKey
	// peerLost is set if an entry that may have served the key can't be queried.
	peerLost       bool
	pendingReplies int
	// best is the most conclusive outcome so far; its state is StateNone while there is none.
	best Outcome
	// notRunBy lists the entries that gave up a request with the key before anything ran.
	notRunBy []string
}

// handleAddressesRequested sends the caller the entries that its client account should use.
func (c *Core) handleAddressesRequested(e AddressesRequested, _ time.Time) {
	if _, failure := c.authenticate(e.Credentials); failure != nil {
		c.refuse(e.ID, "", *failure)
		return
	}
	c.emit(SendAddresses{ID: e.ID, Answer: c.addresser.AddressesFor(e.Credentials.Account, c.detector.Members())})
}

// handleOutcomeRequested answers from this entry's own state if it is conclusive, and queries the peers otherwise.
// A request that ended here without an answer is not conclusive: its caller may have sent it again to another
// entry, where it ran.
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

// moreConclusive returns the more conclusive of two entries' outcomes for a key. From most to least conclusive:
// answered, running, may have run, not run, nothing known. Ties go to a.
func moreConclusive(a, b Outcome) Outcome {
	rank := map[State]int{StateAnswered: 4, StateRunning: 3, StateUnknown: 2, StateNotRun: 1}
	if rank[b.State] > rank[a.State] {
		return b
	}
	return a
}

// localOutcome returns the outcome of a key from this entry's own requests and claims table, without querying peers.
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

// outcomeFromHolding converts an ended claim of the claims table to an outcome.
func outcomeFromHolding(key claimer.Key, holding claimer.KeyStatus) Outcome {
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

// answerClaimed answers a request whose key is already claimed. If the claim has not ended, its owner is queried.
func (c *Core) answerClaimed(id uint64, key claimer.Key, digest [32]byte, holding claimer.KeyStatus, deadline, now time.Time) {
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
	c.sendQuery(query, []string{owner.PeerAddress}, deadline, now)
}

// ownerLostFailure is the failure for a key whose claim's owner can't be queried: the request may have run, and
// since no other entry may dispatch that claim, it will not be run again.
func ownerLostFailure(key claimer.Key) Failure {
	return Failure{
		Code:    CodeOwnerLost,
		Message: "the entry that served this key was lost before it recorded an outcome; it will not be run again",
		State:   StateUnknown,
		Key:     key.Key,
	}
}

// answerNotKeptFailure is the failure for a key whose request was answered with an answer too large to keep.
func answerNotKeptFailure(key claimer.Key) Failure {
	return Failure{
		Code:    CodeAnswerNotKept,
		Message: "the request ran once and was answered; its answer is no longer kept",
		State:   StateUnknown,
		Key:     key.Key,
	}
}

// queryPeers sends the query to all peers that are neither dead nor stopped, or finishes it if there are none.
func (c *Core) queryPeers(query *peerQuery, deadline, now time.Time) {
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
	c.sendQuery(query, addresses, deadline, now)
}

// sendQuery sends the query to the given peers. Only a query for a claimed request asks its owner to wait for the
// request's end; the others are answered at once.
func (c *Core) sendQuery(query *peerQuery, addresses []string, deadline, now time.Time) {
	c.lastPeerCallID++
	id := c.lastPeerCallID
	c.peerQueries[id] = query
	wait := int32(0)
	if !query.outcomeOnly && query.refusal == nil {
		wait = int32(deadline.Sub(now).Milliseconds())
	}
	for _, address := range addresses {
		c.emit(SendPeer{Address: address, Message: &carrier.OutcomeCall{CallID: id, Account: query.key.Account, Key: query.key.Key, WaitMillis: wait}})
	}
	c.schedule(timer{at: deadline, kind: timerQuery, subject: id})
}

// handleOutcomeCall answers a peer's query, immediately or when the running request has ended.
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

// handlePeerOutcome handles a peer's answer to a query. The query ends with the first answer that settles it, or
// when all peers have answered.
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

// handleQueryTimeout finishes a query that peers did not answer in time.
func (c *Core) handleQueryTimeout(id uint64, now time.Time) {
	query, waiting := c.peerQueries[id]
	if !waiting {
		return
	}
	delete(c.peerQueries, id)
	c.finishQuery(query, now)
}

// finishQuery answers the caller when no peer has settled the query. A claim without an outcome means unknown,
// unless its owner reported that nothing ran: the claim's release may then not have been read yet.
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

// dropQueries drops the queries of a caller that has disconnected.
func (c *Core) dropQueries(id uint64) {
	for call, query := range c.peerQueries {
		if query.id == id {
			delete(c.peerQueries, call)
		}
	}
}

// failOwnerQueries fails all queries to an entry that has died, without waiting for their timeouts.
func (c *Core) failOwnerQueries(name string) { c.failQueriesToEarlierOwner(name, math.MaxUint64) }

// failQueriesToEarlierOwner fails the queries to processes of an entry that precede the given incarnation. An entry
// whose process restarts quickly is never considered dead, and the new process does not know the queries to
// the old one: their callers would wait until their deadlines.
func (c *Core) failQueriesToEarlierOwner(name string, incarnation uint64) {
	for call, query := range c.peerQueries {
		if query.owner != name || query.incarnation >= incarnation {
			continue
		}
		delete(c.peerQueries, call)
		c.emit(SendFailure{ID: query.id, Failure: ownerLostFailure(query.key)})
	}
}

// handleForeignOutcome answers the queries for another entry's request whose outcome was read from the log.
func (c *Core) handleForeignOutcome(d claimer.ForeignOutcome, _ time.Time) {
	for call, query := range c.peerQueries {
		if query.key != d.Key {
			continue
		}
		delete(c.peerQueries, call)
		outcome := outcomeFromHolding(d.Key, d.Status)
		if query.outcomeOnly {
			c.emit(SendOutcome{ID: query.id, Key: query.key.Key, Outcome: outcome})
			continue
		}
		c.sendOutcome(query.id, query.key, outcome)
	}
}
