package reducer

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/claimer"
	"geraniumline/detector"
	"geraniumline/recorder"
)

const (
	// recordsCallInterval is the least time between two requests to peers for configuration records.
	recordsCallInterval = 250 * time.Millisecond
	// maxRecordsPerMessage bounds the records in one message.
	maxRecordsPerMessage = 256
)

// handlePeerMessage handles a message from another entry.
func (c *Core) handlePeerMessage(e PeerMessageArrived, now time.Time) {
	switch message := e.Message.(type) {
	case *carrier.Heartbeat:
		c.handleHeartbeat(message, now)
	case *carrier.RecordsCall:
		c.handleRecordsCall(e.From, message, now)
	case *carrier.Records:
		c.handleRecords(message, now)
	case *carrier.OutcomeCall:
		c.handleOutcomeCall(e.From, message, now)
	case *carrier.Outcome:
		c.handlePeerOutcome(e.From, message, now)
	case *carrier.Handover:
		c.handleHandover(message, now)
	case *carrier.Bills:
		c.handleBills(message)
	case *carrier.Demand:
		c.handleDemand(e.From, message, now)
	case *carrier.PartCrashes:
		c.logPartChanges(c.parts.Merge(message.Parts, now))
	}
}

// handleHeartbeat applies a peer's state, loads, crash marks and usage.
func (c *Core) handleHeartbeat(message *carrier.Heartbeat, now time.Time) {
	c.counters.HeartbeatsReceived++
	c.handleTransitions(c.detector.Receive(message, now), now)
	c.failQueriesToEarlierOwner(message.From.Name, message.From.Incarnation)
	c.router.UpdatePeerLoads(message.From.Name, message.Endpoints, now)
	c.handleCrashMarks(message.Crashes, now)
	c.handlePartSum(message.From, message.PartCrashes, now)
	c.limiter.UpdatePeerUsage(message.From.Name, message.Accounts, now)
	c.requestRecords(message.From, now)
}

// requestRecords requests configuration records from a peer that has read further than this entry. The log is the
// primary source; peers supply records while the log fails or this entry has read nothing yet, so that changes
// come into force also at an entry that can't reach the log.
func (c *Core) requestRecords(from carrier.Member, now time.Time) {
	if from.ConfigOffset <= c.fold.Offset() || now.Sub(c.recordsRequestedAt) < recordsCallInterval {
		return
	}
	c.recordsRequestedAt = now
	c.recordsCallID = c.rand.Uint64()
	c.emit(SendPeer{Address: from.PeerAddress, Message: &carrier.RecordsCall{CallID: c.recordsCallID, Stream: string(StreamConfig), From: c.firstMissingOffset()}})
}

// wholeSnapshot is the offset that requests a snapshot instead of records.
const wholeSnapshot = 0

// firstMissingOffset returns the offset from which to request records. If there is a gap, the fold has already read
// records after it and would skip the older ones if they were sent: only a snapshot closes the gap.
func (c *Core) firstMissingOffset() int64 {
	if !c.fold.Complete() {
		return wholeSnapshot
	}
	return c.fold.Offset() + 1
}

// handleRecordsCall sends configuration to a peer: the records if they are still kept, and otherwise a snapshot.
func (c *Core) handleRecordsCall(from string, call *carrier.RecordsCall, now time.Time) {
	member, known := c.detector.Member(from)
	if !known || call.Stream != string(StreamConfig) || c.fold.Offset() < call.From {
		return
	}
	answer := &carrier.Records{CallID: call.CallID, Stream: call.Stream, Next: c.fold.Offset() + 1}
	records, complete := c.configRecords.after(call.From - 1)
	if !complete || call.From == wholeSnapshot {
		snapshot, err := c.fold.Snapshot(now)
		if err != nil {
			return
		}
		answer.Snapshot = snapshot
		records = nil
	}
	for _, record := range records[:min(len(records), maxRecordsPerMessage)] {
		answer.Records = append(answer.Records, carrier.Record(record))
	}
	c.emit(SendPeer{Address: member.PeerAddress, Message: answer})
}

// handleRecords applies the configuration sent by a peer. An answer to an earlier process with this address is
// dropped: its records begin after what this process has read, and the fold would skip the missing ones for good.
func (c *Core) handleRecords(message *carrier.Records, now time.Time) {
	if message.Stream != string(StreamConfig) || message.CallID != c.recordsCallID {
		return
	}
	records := make([]recorder.Record, 0, len(message.Records))
	for _, record := range message.Records {
		records = append(records, recorder.Record(record))
	}
	before := c.fold.Offset()
	if len(message.Snapshot) > 0 && c.fold.Restore(message.Snapshot, now) {
		c.configRecords.reset(c.fold.Offset())
		c.applyWholeConfig(now)
	}
	c.foldConfig(records, 0, now)
	if c.fold.Offset() > before {
		c.counters.ConfigFromPeers++
	}
}

// handleTransitions handles the changes of members' states that the detector reports.
func (c *Core) handleTransitions(transitions []detector.Transition, now time.Time) {
	for _, t := range transitions {
		if t.Resumed() {
			c.counters.PausesDetected++
		}
		c.emit(LogChange{Message: "entry", Subject: t.Member.Name, From: t.From.String(), To: t.To.String()})
		if t.Member.Name == c.cfg.Entry {
			c.handleOwnTransition(t, now)
			continue
		}
		c.retainShare(t, now)
		if t.To != detector.Dead && t.To != detector.Stopped {
			continue
		}
		c.router.RemovePeer(t.Member.Name)
		c.partPeers.Forget(t.Member.Name)
		c.failOwnerQueries(t.Member.Name)
	}
	if len(transitions) > 0 {
		c.updateEntryCount(now)
	}
}

// handleOwnTransition handles a change of this entry's own state. Dead means that a newer process serves under the
// same name: the VM was replaced while this process continued to run. Two processes of one name would each treat
// the other's heartbeats, claims and shares as their own, so the older one starts a planned stop, which does not
// break off requests in flight.
func (c *Core) handleOwnTransition(t detector.Transition, now time.Time) {
	if t.To == detector.Dead {
		c.beginStop(now)
	}
}

// updateEntryCount passes the number of entries, and this one's index by name, to the limiter and router.
func (c *Core) updateEntryCount(now time.Time) {
	live, index := 0, 0
	for _, member := range c.detector.Members() {
		if member.State == detector.Live || member.State == detector.Suspect {
			live++
			if member.Name < c.cfg.Entry {
				index++
			}
		}
	}
	c.liveEntries = max(live, 1)
	c.limiter.SetEntryCount(c.liveEntries+len(c.silentEntries), now)
	c.router.SetEntries(index, c.liveEntries)
}

// sendHeartbeats sends a heartbeat to the peers that the detector selects.
func (c *Core) sendHeartbeats(now time.Time) {
	c.detector.SetSelf(c.memberState(), c.fold.Offset(), int32(len(c.requests)))
	message := c.detector.Heartbeat(now)
	message.Endpoints = c.router.LocalLoads(now)
	message.Accounts = c.limiter.UsageReports(now)
	message.Crashes = c.quarantiner.Marks(now)
	c.sendPartChanges(now)
	message.PartCrashes = c.parts.Sum()
	for _, address := range c.detector.Targets(now) {
		c.counters.HeartbeatsSent++
		c.emit(SendPeer{Address: address, Message: message})
	}
}

// handleHandover stores the outcomes that a stopping peer hands over, since its callers may still request them.
func (c *Core) handleHandover(message *carrier.Handover, now time.Time) {
	for i := range message.Outcomes {
		wire := &message.Outcomes[i]
		key := claimer.Key{Account: wire.Account, Key: wire.Key}
		known, _ := c.outcomes.get(key)
		c.outcomes.put(key, moreConclusive(known, outcomeFromWire(wire, now)))
	}
}
