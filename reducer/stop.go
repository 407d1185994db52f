package reducer

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/detector"
	"geraniumline/drainer"
	"geraniumline/operatorserver"
)

const (
	// handoverAge is how old an outcome may be to be handed over at a planned stop.
	handoverAge = 2 * time.Minute
	// handoverBytes bounds the answers of one message, well under the frame limit.
	handoverBytes = 256 << 10
	// handoverCopies is how many peers keep a stopping entry's outcomes.
	handoverCopies = 2
)

// beginStop starts a planned stop. Beginning it again changes nothing.
func (c *Core) beginStop(now time.Time) {
	if c.drainer.Phase() != drainer.Serving {
		return
	}
	c.drainer.Begin(now)
	c.emit(LogChange{Message: "planned stop", Subject: c.cfg.Entry, From: phaseName(drainer.Serving), To: phaseName(c.drainer.Phase())})
	c.beat(now)
}

func (c *Core) takeStopAsked(e StopAsked, now time.Time) {
	if e.Begin {
		c.beginStop(now)
	}
	c.emit(SendStop{ID: e.ID, Progress: operatorserver.StopProgress{
		Phase:      operatorserver.StopProgressPhase(phaseName(c.drainer.Phase())),
		InFlight:   len(c.requests),
		MillisLeft: c.drainer.AcceptTimeLeft(now).Milliseconds(),
	}})
}

// stepStop takes the planned stop on, as far as requests in flight and address answers allow.
func (c *Core) stepStop(now time.Time) {
	before := c.drainer.Phase()
	if before == drainer.Serving || c.stopped {
		return
	}
	unhanded := c.batcher.Queued() + c.appending
	after := c.drainer.Step(len(c.requests)+len(c.asked), unhanded, now)
	if after == before {
		return
	}
	c.emit(LogChange{Message: "planned stop", Subject: c.cfg.Entry, From: phaseName(before), To: phaseName(after)})
	switch after {
	case drainer.HandingOver:
		c.handOver(now)
	case drainer.Done:
		c.stopped = true
		c.billsAt = time.Time{}
		c.tellBills(now)
		c.beat(now)
		c.emit(Exit{})
	}
}

// handOver gives recent outcomes to live peers, so that a caller that asks after the exit is answered.
func (c *Core) handOver(now time.Time) {
	message := &carrier.Handover{}
	size := 0
	for _, key := range c.outcomes.recent(now.Add(-handoverAge)) {
		outcome, _ := c.outcomes.get(key)
		c.counters.OutcomesHandedOff++
		size += len(outcome.Answer) + len(outcome.Failure.Message)
		message.Outcomes = append(message.Outcomes, *wireOutcome(0, key, outcome, now))
		if size >= handoverBytes {
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
