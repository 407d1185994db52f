package reducer

import (
	"strconv"
	"time"

	"geraniumline/claimer"
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
	before := health.renewed
	health.takeEra(e.Era)
	if health.renewed && !before {
		c.emit(LogChange{Message: "the log has returned from an older copy", Subject: string(e.Stream), To: strconv.FormatInt(e.Era, 10)})
	}
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
	if c.table.BeginEra(e.Era) {
		c.batcher.Add(claimer.EraMark{Era: e.Era})
		c.logs[StreamClaims].caughtUp = e.AtEnd
		c.emit(LogChange{Message: "claims are proved from a mark of the log's era on", Subject: string(StreamClaims), To: strconv.FormatInt(e.Era, 10)})
	}
	if c.table.BeginPage(e.First) {
		c.emit(LogChange{Message: "the log cut claims before they were read", Subject: string(StreamClaims)})
	}
	for _, record := range e.Records {
		for _, decision := range c.table.Apply(record) {
			c.takeClaimDecision(decision, now)
		}
	}
	c.counters.ClaimsRecordsBad = uint64(c.table.BadRecords())
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
	if first > 0 && c.fold.BeginPage(first) && len(records) > 0 {
		c.configs.restart(first - 1)
		c.emit(LogChange{Message: "the log lost configuration that no snapshot covers", Subject: string(StreamConfig)})
	}
	incomplete := !c.fold.Complete()
	for _, record := range records {
		verdicts := c.fold.Apply(record)
		c.configs.add(record)
		for _, verdict := range verdicts {
			c.countVerdict(verdict)
			c.apply(verdict, now)
			c.takeVerdict(verdict)
		}
	}
	c.counters.ConfigRecordsBad = uint64(c.fold.BadRecords())
	if incomplete {
		c.applyAll(now)
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

// apply hands on what an accepted change has put in force. Going through all contracts at each change would sort
// the 43,000 of a large system again for every one of its 62,000 changes a day.
func (c *Core) apply(verdict publisher.Verdict, now time.Time) {
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

// applyAll hands on everything in force, after a snapshot has taken the place of what was.
func (c *Core) applyAll(now time.Time) {
	for _, contract := range c.fold.Contracts() {
		c.applyContract(contract.Account, now)
	}
	for account := range c.applied {
		c.applyContract(account, now)
	}
	for _, pool := range c.fold.Pools() {
		c.applyPool(pool.Name)
	}
}

// applyContract brings the limiter to an account's contract in force, or to none.
func (c *Core) applyContract(account string, now time.Time) {
	contract, known := c.fold.Contract(account)
	switch {
	case !known:
		c.limiter.RemoveAccount(account)
		delete(c.applied, account)
	case c.applied[account] != contract:
		c.applied[account] = contract
		c.limiter.SetLimits(account, limitsOf(contract), now)
	}
}

func (c *Core) applyPool(name string) {
	if pool, known := c.fold.Pool(name); known {
		c.router.SetPool(name, pool.SlotsPerEndpoint, pool.Kind == publisher.PoolEngine)
	}
}
