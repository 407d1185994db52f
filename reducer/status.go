package reducer

import (
	"maps"
	"slices"
	"time"

	"geraniumline/biller"
	"geraniumline/operatorserver"
	"geraniumline/publisher"
)

// status returns the system's status as this entry sees it.
func (c *Core) status(now time.Time) operatorserver.Status {
	return operatorserver.Status{
		Entry:        c.cfg.Entry,
		Zone:         c.cfg.Zone,
		Phase:        phaseName(c.drainer.Phase()),
		Ready:        c.hasConfig(),
		ConfigOffset: c.fold.Offset(),
		ClaimsOffset: c.table.Offset(),
		Entries:      c.entryStatus(now),
		Endpoints:    c.endpointStatus(now),
		Accounts:     c.accountStatus(now),
		Alarms:       c.alarms(now),
		Orderers:     c.ordererStatus(),
	}
}

// ordererStatus returns the entry that sends orders to the engines of each pool with a placement.
func (c *Core) ordererStatus() []operatorserver.OrdererStatus {
	var all []operatorserver.OrdererStatus
	for _, pool := range slices.Sorted(maps.Keys(c.placedPools)) {
		entry, _ := c.leaser.Holder(pool)
		all = append(all, operatorserver.OrdererStatus{Pool: pool, Entry: entry})
	}
	return all
}

// assignmentStatus returns the last assignment that this entry read from an engine of a pool with a placement.
func (c *Core) assignmentStatus(pool, address string) operatorserver.OptString {
	p, placed := c.placedPools[pool]
	if !placed {
		return operatorserver.OptString{}
	}
	assignment, read := p.placer.Assignment(address)
	if !read {
		return operatorserver.OptString{}
	}
	text := assignment.Model + "@" + assignment.Version
	if assignment.Loading {
		text += " loading"
	}
	return operatorserver.NewOptString(text)
}

func (c *Core) entryStatus(now time.Time) []operatorserver.EntryStatus {
	all := []operatorserver.EntryStatus{}
	for _, member := range c.detector.Members() {
		silent := time.Duration(0)
		if member.Name != c.cfg.Entry {
			silent = now.Sub(member.LastHeard)
		}
		all = append(all, operatorserver.EntryStatus{
			Name:          member.Name,
			Zone:          member.Zone,
			State:         member.State.String(),
			Incarnation:   int64(member.Incarnation),
			CallerAddress: member.CallerAddress,
			ConfigOffset:  member.ConfigOffset,
			InFlight:      int(member.InFlight),
			SilentMillis:  silent.Milliseconds(),
		})
	}
	return all
}

func (c *Core) endpointStatus(now time.Time) []operatorserver.EndpointStatus {
	all := []operatorserver.EndpointStatus{}
	for _, endpoint := range c.router.Endpoints(now) {
		all = append(all, operatorserver.EndpointStatus{
			Address:    endpoint.Address,
			Pool:       endpoint.Pool,
			Zone:       endpoint.Zone,
			State:      operatorserver.EndpointStatusState(endpoint.State),
			InFlight:   endpoint.InFlight,
			Queued:     endpoint.Queued,
			Assignment: c.assignmentStatus(endpoint.Pool, endpoint.Address),
		})
	}
	return all
}

// accountStatus combines the contracts in force with the bills of the whole system, as far as peers have sent them.
func (c *Core) accountStatus(now time.Time) []operatorserver.AccountStatus {
	bills := map[string]biller.Bill{}
	for _, bill := range c.biller.Total() {
		bills[bill.Account] = bill
	}
	all := []operatorserver.AccountStatus{}
	for _, contract := range c.fold.Contracts() {
		share, _, inFlight := c.limiter.Share(contract.Account, now)
		bill := bills[contract.Account]
		all = append(all, newAccountStatus(contract, share, inFlight, bill))
	}
	return all
}

func newAccountStatus(contract *publisher.Contract, share float64, inFlight int, bill biller.Bill) operatorserver.AccountStatus {
	counts := bill.Counts()
	status := operatorserver.AccountStatus{
		Account:       contract.Account,
		Share:         share,
		RatePerSecond: contract.RatePerSecond,
		InFlight:      inFlight,
		Sent:          int64(counts.Sum()),
		Answered:      int64(counts.InTime + counts.Late),
		InTime:        int64(counts.InTime),
		NotRun:        int64(counts.NotRun),
		Unknown:       int64(counts.Unknown),
		Attainment:    counts.Attainment(),
		Stages:        []operatorserver.StageCost{},
	}
	for _, stage := range bill.Stages {
		status.Stages = append(status.Stages, operatorserver.StageCost{Stage: stage.Stage, Cost: stage.Cost, Wasted: stage.Wasted})
	}
	return status
}

// alarms returns the conditions that require an operator's action; docs/OPERATING.md describes the actions.
func (c *Core) alarms(now time.Time) []string {
	alarms := []string{}
	for stream, health := range c.streams {
		if health.failing {
			alarms = append(alarms, "log stream "+string(stream)+" can't be read: "+health.reason)
		}
	}
	if !c.hasConfig() {
		alarms = append(alarms, "this entry has no configuration")
	}
	if c.table.Lapsed() {
		alarms = append(alarms, "the log cut claims before this entry read them: it serves no side effects until its process is replaced")
	}
	if c.streams[StreamConfig].eraChanged {
		alarms = append(alarms, "the log has returned from an older copy: changes at offsets that this entry has read before are not in force")
	}
	if !c.fold.Complete() {
		alarms = append(alarms, "the log cut configuration that no snapshot covers: newer changes wait for a snapshot")
	}
	if !c.canClaim(now) {
		alarms = append(alarms, "requests with side effects are refused: the claims stream is not readable")
	}
	return alarms
}
