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
const outcomeWait = time.Second

// pendingAsk is a caller's question, or a request held by another entry's claim, that peers were asked about.
type pendingAsk struct {
	id  uint64
	key claimer.Key
	// owner is the entry that holds the claim; empty when all peers were asked.
	owner string
	// incarnation is the owner's process that holds the claim.
	incarnation uint64
	// outcomeOnly tells that the caller asked for the outcome, and not to run a request.
	outcomeOnly bool
	// refusal is what a refused request is told if no peer knows its key; nil for other questions.
	refusal *Failure
	refused refusedKey
	// lost tells that an entry which may have served the key can't be asked.
	lost    bool
	waiting int
	// best is the best that is known so far; its state is StateNone while nothing is.
	best Outcome
	// notRunBy are the entries that gave a request under the key up before anything ran.
	notRunBy []string
}

func (c *Core) takeAddressesAsked(e AddressesAsked, _ time.Time) {
	if _, failure := c.authenticate(e.Credentials); failure != nil {
		c.refuse(e.ID, "", *failure)
		return
	}
	c.emit(SendAddresses{ID: e.ID, Answer: c.addresser.AddressesFor(e.Credentials.Account, c.detector.Members())})
}

// takeOutcomeAsked answers by what this entry knows, else by what its peers know. That a request ended here
// without an answer is not final: its caller may have sent it again to another entry, where it ran.
func (c *Core) takeOutcomeAsked(e OutcomeAsked, now time.Time) {
	if _, failure := c.authenticate(e.Credentials); failure != nil {
		c.refuse(e.ID, e.Key, *failure)
		return
	}
	c.counters.OutcomesAsked++
	key := claimer.Key{Account: e.Credentials.Account, Key: e.Key}
	outcome := c.localOutcome(key)
	if outcome.State == StateAnswered || outcome.State == StateRunning {
		c.emit(SendOutcome{ID: e.ID, Key: e.Key, Outcome: outcome})
		return
	}
	ask := &pendingAsk{id: e.ID, key: key, outcomeOnly: true, best: outcome}
	if outcome.State == StateNotRun {
		ask.notRunBy = []string{c.cfg.Entry}
	}
	c.askPeers(ask, now.Add(outcomeWait), now)
}

// better tells which of two entries' answers on a key says more: an answer, that it runs, that it may have run,
// that it did not run, nothing.
func better(a, b Outcome) Outcome {
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
		return better(outcome, outcomeOf(key, holding))
	}
	return outcome
}

func outcomeOf(key claimer.Key, holding claimer.Holding) Outcome {
	if holding.Outcome.State == claimer.StateAnswerNotKept {
		return Outcome{State: StateUnknown, Digest: holding.Digest, Failure: answerNotKept(key)}
	}
	state := stateOfClaim(holding.Outcome.State)
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
func (c *Core) answerHeld(id uint64, key claimer.Key, digest [32]byte, holding claimer.Holding, until, now time.Time) {
	if holding.Digest != digest {
		c.refuse(id, key.Key, keyReused())
		return
	}
	if holding.Ended {
		c.sendOutcome(id, key, outcomeOf(key, holding))
		return
	}
	owner, known := c.detector.Member(holding.Entry)
	alive := known && !holding.OwnerClosed && owner.Incarnation == holding.Incarnation && owner.State != detector.Dead && owner.State != detector.Stopped
	if !alive || holding.Entry == c.cfg.Entry {
		c.emit(SendFailure{ID: id, Failure: ownerLost(key)})
		return
	}
	ask := &pendingAsk{id: id, key: key, owner: holding.Entry, incarnation: holding.Incarnation, waiting: 1}
	c.sendAsk(ask, []string{owner.PeerAddress}, until, now)
}

// ownerLost is the truth about a key whose claim's entry can't be asked: it may have run, and since
// nobody else may ever dispatch that claim, it will not be run again.
func ownerLost(key claimer.Key) Failure {
	return Failure{
		Code:    CodeOwnerLost,
		Message: "the entry that served this key was lost before it recorded an outcome; it will not be run again",
		State:   StateUnknown,
		Key:     key.Key,
	}
}

// answerNotKept is the truth about a key whose request was answered, when the answer was too large to keep.
func answerNotKept(key claimer.Key) Failure {
	return Failure{
		Code:    CodeAnswerNotKept,
		Message: "the request ran once and was answered; its answer is no longer kept",
		State:   StateUnknown,
		Key:     key.Key,
	}
}

// askPeers asks all live peers.
func (c *Core) askPeers(ask *pendingAsk, until, now time.Time) {
	var addresses []string
	for _, member := range c.detector.Members() {
		if member.Name == c.cfg.Entry || member.State == detector.Dead || member.State == detector.Stopped {
			continue
		}
		addresses = append(addresses, member.PeerAddress)
	}
	ask.waiting = len(addresses)
	if ask.waiting == 0 {
		c.endAsk(ask, now)
		return
	}
	c.sendAsk(ask, addresses, until, now)
}

func (c *Core) sendAsk(ask *pendingAsk, addresses []string, until, now time.Time) {
	c.nextPeerCall++
	id := c.nextPeerCall
	c.asked[id] = ask
	wait := int32(0)
	if !ask.outcomeOnly && ask.refusal == nil {
		wait = int32(until.Sub(now).Milliseconds())
	}
	for _, address := range addresses {
		c.emit(SendPeer{Address: address, Message: &carrier.OutcomeCall{CallID: id, Account: ask.key.Account, Key: ask.key.Key, WaitMillis: wait}})
	}
	c.schedule(timer{at: until, kind: timerAsk, subject: id})
}

// takeOutcomeCall answers a peer, at once or when the request has ended.
func (c *Core) takeOutcomeCall(from string, call *carrier.OutcomeCall, now time.Time) {
	member, known := c.detector.Member(from)
	if !known {
		return
	}
	key := claimer.Key{Account: call.Account, Key: call.Key}
	if r, running := c.running[key]; running && call.WaitMillis > 0 {
		r.peers = append(r.peers, peerWaiter{address: member.PeerAddress, callID: call.CallID})
		return
	}
	outcome := c.localOutcome(key)
	c.sendPeerOutcome(member.PeerAddress, call.CallID, key, outcome, now)
}

func (c *Core) sendPeerOutcome(address string, callID uint64, key claimer.Key, outcome Outcome, now time.Time) {
	c.emit(SendPeer{Address: address, Message: wireOutcome(callID, key, outcome, now)})
}

func wireOutcome(callID uint64, key claimer.Key, outcome Outcome, now time.Time) *carrier.Outcome {
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

func outcomeOfWire(message *carrier.Outcome, now time.Time) Outcome {
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
func (c *Core) takePeerOutcome(from string, message *carrier.Outcome, now time.Time) {
	ask, waiting := c.asked[message.CallID]
	if !waiting || ask.key != (claimer.Key{Account: message.Account, Key: message.Key}) {
		return
	}
	outcome := outcomeOfWire(message, now)
	ask.best = better(ask.best, outcome)
	if outcome.State == StateNotRun {
		ask.notRunBy = append(ask.notRunBy, from)
	}
	final := outcome.State == StateAnswered || outcome.State == StateRunning
	if outcome.State == StateNone || (ask.outcomeOnly || ask.refusal != nil) && !final {
		ask.waiting--
		if ask.waiting > 0 {
			return
		}
		delete(c.asked, message.CallID)
		c.endAsk(ask, now)
		return
	}
	delete(c.asked, message.CallID)
	if ask.refusal != nil {
		c.endRefusal(ask)
		return
	}
	if ask.outcomeOnly {
		c.emit(SendOutcome{ID: ask.id, Key: ask.key.Key, Outcome: outcome})
		return
	}
	if outcome.State == StateRunning {
		outcome.Failure = ownerLost(ask.key)
	}
	c.sendOutcome(ask.id, ask.key, outcome)
}

// passAskTimeout ends a question that no peer answered in time.
func (c *Core) passAskTimeout(id uint64, now time.Time) {
	ask, waiting := c.asked[id]
	if !waiting {
		return
	}
	delete(c.asked, id)
	c.endAsk(ask, now)
}

// endAsk answers when no peer knows of an answer. A claim without an outcome means unknown, unless its entry
// has said that nothing ran; its release may then still be on the way.
func (c *Core) endAsk(ask *pendingAsk, now time.Time) {
	if ask.refusal != nil {
		c.endRefusal(ask)
		return
	}
	if !ask.outcomeOnly {
		c.emit(SendFailure{ID: ask.id, Failure: ownerLost(ask.key)})
		return
	}
	holding, known := c.table.Lookup(ask.key)
	held := known && holding.Held && !slices.Contains(ask.notRunBy, holding.Entry)
	if ask.best.State != StateNone && (ask.best.State != StateNotRun || !held) {
		c.emit(SendOutcome{ID: ask.id, Key: ask.key.Key, Outcome: ask.best})
		return
	}
	if held {
		c.emit(SendOutcome{ID: ask.id, Key: ask.key.Key, Outcome: Outcome{State: StateUnknown, Failure: ownerLost(ask.key), Ended: now}})
		return
	}
	c.emit(SendFailure{ID: ask.id, Failure: Failure{Code: CodeUnknownKey, Message: "no live entry knows a request under this key", State: StateUnknown, Key: ask.key.Key}})
}

// forgetAsk drops the questions of a caller that has gone.
func (c *Core) forgetAsk(id uint64) {
	for call, ask := range c.asked {
		if ask.id == id {
			delete(c.asked, call)
		}
	}
}

// ownerDied answers at once those who wait for an entry that has died.
func (c *Core) ownerDied(name string) { c.ownerReplaced(name, math.MaxUint64) }

// ownerReplaced answers at once those who wait for an earlier process of an entry than the one that lives. A process
// that is started again at once is never taken for dead, and its successor knows nothing of what it was asked:
// its callers would be held to their deadlines.
func (c *Core) ownerReplaced(name string, incarnation uint64) {
	for call, ask := range c.asked {
		if ask.owner != name || ask.incarnation >= incarnation {
			continue
		}
		delete(c.asked, call)
		c.emit(SendFailure{ID: ask.id, Failure: ownerLost(ask.key)})
	}
}

// takeForeignOutcome answers those who wait for another entry's request whose outcome the log now holds.
func (c *Core) takeForeignOutcome(d claimer.ForeignOutcome, _ time.Time) {
	for call, ask := range c.asked {
		if ask.key != d.Key {
			continue
		}
		delete(c.asked, call)
		outcome := outcomeOf(d.Key, d.Holding)
		if ask.outcomeOnly {
			c.emit(SendOutcome{ID: ask.id, Key: ask.key.Key, Outcome: outcome})
			continue
		}
		c.sendOutcome(ask.id, ask.key, outcome)
	}
}
