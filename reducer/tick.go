package reducer

import (
	"time"

	"geraniumline/detector"
)

// tick runs the work that depends on time: timers, heartbeats, snapshots, orders to engines and the planned stop.
func (c *Core) tick(now time.Time) {
	c.lastTick = now
	c.handleTransitions(c.detector.Tick(now), now)
	c.runTimers(now)
	c.dispatchAllPools(now)
	if !now.Before(c.nextHeartbeat) {
		c.nextHeartbeat = now.Add(c.cfg.HeartbeatEvery)
		c.sendHeartbeats(now)
		c.appendSnapshot(now)
		c.broadcastBills(now)
	}
	c.updatePlacedPools(now)
	c.advanceStop(now)
}

func (c *Core) dispatchAllPools(now time.Time) {
	for _, pool := range c.fold.Pools() {
		c.dispatchQueued(pool.Name, now)
	}
}

// appendSnapshot appends a snapshot of the configuration if one is due, well before the log drops its oldest records.
func (c *Core) appendSnapshot(now time.Time) {
	health := c.streams[StreamConfig]
	if health.failing || !health.caughtUp || !c.fold.SnapshotDue(now) {
		c.snapshotDueSince = time.Time{}
		return
	}
	if c.snapshotDueSince.IsZero() {
		c.snapshotDueSince = now
	}
	if now.Sub(c.snapshotDueSince) < time.Duration(c.liveRank())*snapshotStagger {
		return
	}
	c.snapshotDueSince = time.Time{}
	parts, err := c.fold.Snapshot(now)
	if err != nil {
		c.emit(LogChange{Message: "failed to encode the configuration snapshot", Subject: err.Error()})
		return
	}
	for _, part := range parts {
		c.lastBatchID++
		c.emit(Append{Stream: StreamConfig, BatchID: c.lastBatchID, Data: part})
	}
}

// snapshotStagger is how long each entry waits for the one before it in rank to append the snapshot. One snapshot is
// enough, and all entries appending at once would load the log, but the first may be unable to reach the log.
const snapshotStagger = 2 * time.Second

// liveRank returns this entry's rank among the live entries by name.
func (c *Core) liveRank() int {
	rank := 0
	for _, member := range c.detector.Members() {
		if member.Name < c.cfg.Entry && member.State == detector.Live {
			rank++
		}
	}
	return rank
}

// handleVMsListed passes the platform's list of VMs to the router and the detector.
func (c *Core) handleVMsListed(e VMsListed, now time.Time) {
	c.router.UpdateVMs(e.Endpoints, now)
	for _, hint := range e.Entries {
		if hint.PeerAddress == c.cfg.PeerAddress {
			continue
		}
		c.detector.AddHint(hint.PeerAddress, hint.Zone, hint.Leaving, now)
	}
	c.releaseShares(e.Entries, now)
}
