package reducer

import (
	"time"
)

// tick lets time pass: timers, heartbeats, the planned stop, snapshots.
func (c *Core) tick(now time.Time) {
	c.lastTick = now
	c.takeTransitions(c.detector.Tick(now), now)
	c.runTimers(now)
	c.pumpAll(now)
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.cfg.HeartbeatEvery)
		c.beat(now)
		c.snapshot(now)
	}
	c.stepStop(now)
}

func (c *Core) pumpAll(now time.Time) {
	for _, pool := range c.fold.Pools() {
		c.pump(pool.Name, now)
	}
}

// snapshot appends the whole configuration well before the log drops its oldest records.
func (c *Core) snapshot(now time.Time) {
	health := c.logs[StreamConfig]
	if health.failing || !health.caughtUp || !c.fold.SnapshotDue(now) {
		return
	}
	parts, err := c.fold.Snapshot(now)
	if err != nil {
		c.emit(LogChange{Message: "the snapshot can't be encoded", Subject: err.Error()})
		return
	}
	for _, part := range parts {
		c.nextBatch++
		c.emit(Append{Stream: StreamConfig, BatchID: c.nextBatch, Data: part})
	}
}

// takeVMs takes the platform's lagging list.
func (c *Core) takeVMs(e VMsListed, now time.Time) {
	c.router.List(e.Endpoints, now)
	for _, hint := range e.Entries {
		if hint.PeerAddress == c.cfg.PeerAddress {
			continue
		}
		c.detector.Hint(hint.PeerAddress, hint.Zone, hint.Leaving, now)
	}
}
