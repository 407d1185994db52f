package reducer

import (
	"time"
)

// pauseNoticed is the gap between ticks that means this process was paused, not just late.
const pauseNoticed = time.Second

// tick lets time pass: timers, heartbeats, the planned stop, snapshots.
func (c *Core) tick(now time.Time) {
	c.noticePause(now)
	c.lastTick = now
	c.takeTransitions(c.detector.Tick(now), now)
	c.runTimers(now)
	c.pumpAll(now)
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.cfg.HeartbeatEvery)
		c.beat(now)
		c.table.Expire(now)
		c.snapshot(now)
	}
	c.stepStop(now)
}

// noticePause distrusts what the log and peers said before a pause: while this process stood still,
// others may have taken it for dead. It claims nothing until the log has been read again.
func (c *Core) noticePause(now time.Time) {
	if now.Sub(c.lastTick) < pauseNoticed {
		return
	}
	c.counters.PausesNoticed++
	c.emit(LogChange{Message: "this process was paused", Subject: now.Sub(c.lastTick).String()})
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
	c.nextBatch++
	c.emit(Append{Stream: StreamConfig, BatchID: c.nextBatch, Data: c.fold.Snapshot()})
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
