package reducer

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/drainer"
	"geraniumline/operatorserver"
)

const (
	// maxHandoverAge is the maximum age of the outcomes that are handed over at a planned stop.
	maxHandoverAge = 2 * time.Minute
	// maxHandoverBytes is the size of texts in bytes at which a handover message is sent, well below the frame limit.
	maxHandoverBytes = 256 << 10
	// handoverCopies is the number of peers that receive a stopping entry's outcomes.
	handoverCopies = 2
)

// beginStop starts a planned stop. Further calls do nothing.
func (c *Core) beginStop(now time.Time) {
	if c.drainer.Phase() != drainer.Serving {
		return
	}
	c.drainer.Begin(now)
	c.emit(LogChange{Message: "planned stop", Subject: c.cfg.Entry, From: phaseName(drainer.Serving), To: phaseName(c.drainer.Phase())})
	c.sendHeartbeats(now)
}

func (c *Core) handleStopRequested(e StopRequested, now time.Time) {
	if e.Begin {
		c.beginStop(now)
	}
	c.emit(SendStop{ID: e.ID, Progress: operatorserver.StopProgress{
		Phase:      operatorserver.StopProgressPhase(phaseName(c.drainer.Phase())),
		InFlight:   len(c.requests),
		MillisLeft: c.drainer.AcceptTimeLeft(now).Milliseconds(),
	}})
}

// advanceStop advances the planned stop as far as requests in flight and the validity of address answers allow.
func (c *Core) advanceStop(now time.Time) {
	before := c.drainer.Phase()
	if before == drainer.Serving || c.stopped {
		return
	}
	unappended := c.batcher.Queued() + c.claimAppendsInFlight
	after := c.drainer.Step(len(c.requests)+len(c.peerQueries), unappended, now)
	if after == before {
		return
	}
	c.emit(LogChange{Message: "planned stop", Subject: c.cfg.Entry, From: phaseName(before), To: phaseName(after)})
	switch after {
	case drainer.HandingOver:
		c.handOver(now)
	case drainer.Done:
		c.stopped = true
		c.nextBills = time.Time{}
		c.broadcastBills(now)
		c.sendHeartbeats(now)
		c.emit(Exit{})
	}
}

// handOver sends recent outcomes to live peers, so that callers can still request them after this process exits.
func (c *Core) handOver(now time.Time) {
	message := &carrier.Handover{}
	size := 0
	for _, key := range c.outcomes.recent(now.Add(-maxHandoverAge)) {
		outcome, _ := c.outcomes.get(key)
		c.counters.OutcomesHandedOff++
		size += len(outcome.Answer) + len(outcome.Failure.Message)
		message.Outcomes = append(message.Outcomes, *outcomeToWire(0, key, outcome, now))
		if size >= maxHandoverBytes {
			c.sendHandover(message)
			message, size = &carrier.Handover{}, 0
		}
	}
	if len(message.Outcomes) > 0 {
		c.sendHandover(message)
	}
}

func (c *Core) sendHandover(message *carrier.Handover) {
	copies := 0
	for _, member := range c.detector.Members() {
		if member.Name == c.cfg.Entry || member.State != detector.Live {
			continue
		}
		c.emit(SendPeer{Address: member.PeerAddress, Message: message})
		copies++
		if copies == handoverCopies {
			return
		}
	}
}

// memberState returns the state that this entry's heartbeats report.
func (c *Core) memberState() detector.State {
	switch c.drainer.Phase() {
	case drainer.Serving:
		return detector.Live
	case drainer.Done:
		return detector.Stopped
	default:
		return detector.Stopping
	}
}

func phaseName(phase drainer.Phase) string {
	switch phase {
	case drainer.Withdrawing:
		return string(operatorserver.StopProgressPhaseWithdrawing)
	case drainer.Draining:
		return string(operatorserver.StopProgressPhaseDraining)
	case drainer.HandingOver:
		return string(operatorserver.StopProgressPhaseHandingOver)
	case drainer.Done:
		return string(operatorserver.StopProgressPhaseDone)
	default:
		return string(operatorserver.StopProgressPhaseServing)
	}
}
