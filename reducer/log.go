package reducer

import (
	"time"

	"geraniumline/publisher"
	"geraniumline/recorder"
)

// takeLogRead folds the records of a page, in order.
func (c *Core) takeLogRead(e LogRead, now time.Time) {
	health := c.logs[e.Stream]
	if health.failing {
		c.emit(LogChange{Message: "log stream", Subject: string(e.Stream), From: "failing", To: "readable"})
	}
	health.failing = false
	health.readAt = now
	health.caughtUp = health.caughtUp || e.AtEnd
	switch e.Stream {
	case StreamConfig:
		c.foldConfig(e.Records, e.First, now)
	case StreamClaims:
		c.foldClaims(e, now)
	case StreamLeases:
		c.foldLeases(e, now)
	}
}

func (c *Core) foldClaims(e LogRead, now time.Time) {
	if c.table.Gap(e.First) {
		c.emit(LogChange{Message: "the log cut claims before they were read", Subject: string(StreamClaims)})
	}
	for _, record := range e.Records {
		for _, decision := range c.table.Apply(record) {
			c.takeClaimDecision(decision, now)
		}
	}
	c.counters.ClaimsRecordsBad = uint64(c.table.Bad())
}

// takeLogFailed notes that a stream can't be read now.
func (c *Core) takeLogFailed(e LogFailed, _ time.Time) {
	health := c.logs[e.Stream]
	if !health.failing {
		c.emit(LogChange{Message: "log stream", Subject: string(e.Stream), From: "readable", To: "failing"})
	}
	health.failing = true
	health.reason = e.Reason
}

// foldConfig applies configuration records from the log or from a peer.
func (c *Core) foldConfig(records []recorder.Record, first int64, now time.Time) {
	if first > 0 && c.fold.Gap(first) && len(records) > 0 {
		c.configs.restart(first - 1)
		c.emit(LogChange{Message: "the log lost configuration that no snapshot covers", Subject: string(StreamConfig)})
	}
	for _, record := range records {
		verdicts := c.fold.Apply(record)
		c.configs.add(record)
		for _, verdict := range verdicts {
			c.countVerdict(verdict)
			c.takeVerdict(verdict)
		}
	}
	c.counters.ConfigRecordsBad = uint64(c.fold.Bad())
	if len(records) > 0 {
		c.applyContracts(now)
		c.applyPools()
	}
}

// applyPools hands the pools in force to the router.
func (c *Core) applyPools() {
	for _, pool := range c.fold.Pools() {
		c.router.SetPool(pool.Name, pool.SlotsPerEndpoint, pool.Kind == publisher.PoolEngine)
	}
}

func (c *Core) countVerdict(verdict publisher.Verdict) {
	switch verdict.State {
	case publisher.Accepted:
		c.counters.ConfigAccepted++
	case publisher.Conflict:
		c.counters.ConfigConflicts++
	default:
		c.counters.ConfigInvalid++
	}
}

// applyContracts hands the contracts in force to the limiter.
func (c *Core) applyContracts(now time.Time) {
	for _, contract := range c.fold.Contracts() {
		if c.applied[contract.Account] == contract {
			continue
		}
		c.applied[contract.Account] = contract
		c.limiter.SetLimits(contract.Account, limitsOf(contract), now)
	}
	for account := range c.applied {
		if _, known := c.fold.Contract(account); !known {
			c.limiter.Remove(account)
			delete(c.applied, account)
		}
	}
}
