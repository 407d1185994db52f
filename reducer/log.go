package reducer

import (
	"strconv"
	"time"

	"geraniumline/claimer"
	"geraniumline/publisher"
	"geraniumline/recorder"
)

// handleLogRead applies the records of a page in order.
func (c *Core) handleLogRead(e LogRead, now time.Time) {
	health := c.streams[e.Stream]
	if health.failing {
		c.emit(LogChange{Message: "log stream", Subject: string(e.Stream), From: "failing", To: "readable"})
	}
	health.failing = false
	before := health.eraChanged
	health.observeEra(e.Era)
	if health.eraChanged && !before {
		c.emit(LogChange{Message: "the log has returned from an older copy", Subject: string(e.Stream), To: strconv.FormatInt(e.Era, 10)})
	}
	health.lastRead = now
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

// foldClaims applies the records of a page to the claims table and handles the decisions that follow.
func (c *Core) foldClaims(e LogRead, now time.Time) {
	if c.table.BeginEra(e.Era) {
		c.batcher.Add(claimer.EraMark{Era: e.Era})
		c.streams[StreamClaims].caughtUp = e.AtEnd
		c.emit(LogChange{Message: "claims of the new log era are provable from the mark that this entry appends", Subject: string(StreamClaims), To: strconv.FormatInt(e.Era, 10)})
	}
	if c.table.BeginPage(e.First) {
		c.emit(LogChange{Message: "log truncated claims before they were read", Subject: string(StreamClaims)})
	}
	for _, record := range e.Records {
		for _, decision := range c.table.Apply(record) {
			c.handleClaimDecision(decision, now)
		}
	}
	c.counters.ClaimRecordsInvalid = uint64(c.table.BadRecords())
}

// handleLogFailed records that a stream can't currently be read.
func (c *Core) handleLogFailed(e LogFailed, _ time.Time) {
	health := c.streams[e.Stream]
	if !health.failing {
		c.emit(LogChange{Message: "log stream", Subject: string(e.Stream), From: "readable", To: "failing"})
	}
	health.failing = true
	health.reason = e.Reason
}

// foldConfig applies configuration records from the log or from a peer.
func (c *Core) foldConfig(records []recorder.Record, first int64, now time.Time) {
	if first > 0 && c.fold.BeginPage(first) && len(records) > 0 {
		c.configRecords.reset(first - 1)
		c.emit(LogChange{Message: "log truncated configuration that no snapshot covers", Subject: string(StreamConfig)})
	}
	incomplete := !c.fold.Complete()
	for _, record := range records {
		verdicts := c.fold.Apply(record)
		c.configRecords.add(record)
		for _, verdict := range verdicts {
			c.countVerdict(verdict)
			c.applyVerdict(verdict, now)
			c.answerVerdict(verdict)
		}
	}
	c.counters.ConfigRecordsInvalid = uint64(c.fold.BadRecords())
	if incomplete {
		c.applyWholeConfig(now)
	}
}

// countVerdict counts a change by its verdict.
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

// applyVerdict applies the object of an accepted change to the limiter or router. Applying all contracts at each
// change would sort the 43,000 contracts of a large system again for each of its 62,000 changes a day.
func (c *Core) applyVerdict(verdict publisher.Verdict, now time.Time) {
	if verdict.State != publisher.Accepted {
		return
	}
	switch verdict.Kind {
	case publisher.KindContract:
		c.applyContract(verdict.Name, now)
	case publisher.KindPool:
		c.applyPool(verdict.Name)
	}
}

// applyWholeConfig applies all objects in force, after a snapshot has replaced the configuration.
func (c *Core) applyWholeConfig(now time.Time) {
	for _, contract := range c.fold.Contracts() {
		c.applyContract(contract.Account, now)
	}
	for account := range c.appliedContracts {
		c.applyContract(account, now)
	}
	for _, pool := range c.fold.Pools() {
		c.applyPool(pool.Name)
	}
}

// applyContract sets the limiter to an account's contract in force, or removes the account if it has none.
func (c *Core) applyContract(account string, now time.Time) {
	contract, known := c.fold.Contract(account)
	switch {
	case !known:
		c.limiter.RemoveAccount(account)
		delete(c.appliedContracts, account)
	case c.appliedContracts[account] != contract:
		c.appliedContracts[account] = contract
		c.limiter.SetLimits(account, contractLimits(contract), now)
	}
}

// applyPool sets the router to a pool's configuration in force.
func (c *Core) applyPool(name string) {
	if pool, known := c.fold.Pool(name); known {
		c.router.SetPool(name, pool.SlotsPerEndpoint, pool.Kind == publisher.PoolEngine)
	}
}
