package performer

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumline/meter"
	"geraniumline/reducer"
)

// publishEvery is how often the core's counts are copied into the metrics registry.
const publishEvery = time.Second

// publish copies what has been counted since the last time. The core keeps plain numbers, since the
// registry's are shared between goroutines and would cost it more than its own work.
func (p *Performer) publish(now time.Time) {
	if now.Sub(p.publishedAt) < publishEvery {
		return
	}
	p.publishedAt = now
	counters := p.core.Counters()
	for _, c := range coreCounters {
		p.cfg.Meter.Counter(c.name).Inc(int64(c.value(&counters) - c.value(&p.published)))
	}
	p.published = counters
	p.publishBills(now)
	gauges := p.core.Gauges()
	p.cfg.Meter.Gauge(meter.RequestsInFlight).Update(int64(gauges.InFlight))
	p.cfg.Meter.Gauge(meter.ConfigOffset).Update(gauges.ConfigOffset)
	p.cfg.Meter.Gauge(meter.ClaimsOffset).Update(gauges.ClaimsOffset)
	p.cfg.Meter.Gauge(meter.PeersLive).Update(int64(gauges.PeersLive))
}

// billsEvery is how often the accounts' work is copied; a bill for each account is made for it.
const billsEvery = 10 * time.Second

// publishBills copies what this entry's endpoints have worked for each account.
func (p *Performer) publishBills(now time.Time) {
	if now.Sub(p.billedAt) < billsEvery {
		return
	}
	p.billedAt = now
	for _, bill := range p.core.Bills() {
		cost, wasted := 0.0, 0.0
		for _, stage := range bill.Stages {
			cost += stage.Cost
			wasted += stage.Wasted
		}
		raise(p.cfg.Meter.Counter(meter.CostMillis, bill.Account), int64(cost))
		raise(p.cfg.Meter.Counter(meter.WastedMillis, bill.Account), int64(wasted))
	}
}

// raise brings a counter up to a running total.
func raise(counter metrics.Counter, total int64) {
	counter.Inc(total - counter.Count())
}

// coreCounters lead each of the core's counts to its name.
var coreCounters = []struct {
	name  meter.Name
	value func(c *reducer.Counters) uint64
}{
	{meter.ClaimsAppended, func(c *reducer.Counters) uint64 { return c.ClaimsSent }},
	{meter.ClaimsWon, func(c *reducer.Counters) uint64 { return c.ClaimsWon }},
	{meter.ClaimsLost, func(c *reducer.Counters) uint64 { return c.ClaimsLost }},
	{meter.HeartbeatsSent, func(c *reducer.Counters) uint64 { return c.HeartbeatsSent }},
	{meter.HeartbeatsReceived, func(c *reducer.Counters) uint64 { return c.HeartbeatsTaken }},
	{meter.StageRetries, func(c *reducer.Counters) uint64 { return c.StageRetries }},
	{meter.StageHedges, func(c *reducer.Counters) uint64 { return c.StageHedges }},
	{meter.RepliesLate, func(c *reducer.Counters) uint64 { return c.PartsLate }},
	{meter.RepliesForeign, func(c *reducer.Counters) uint64 { return c.PartsForeign }},
	{meter.StreamGaps, func(c *reducer.Counters) uint64 { return c.PartsAfterGap }},
	{meter.StreamOverlaps, func(c *reducer.Counters) uint64 { return c.PartsOverlapping }},
	{meter.ConfigAccepted, func(c *reducer.Counters) uint64 { return c.ConfigAccepted }},
	{meter.ConfigConflicts, func(c *reducer.Counters) uint64 { return c.ConfigConflicts }},
	{meter.ConfigInvalid, func(c *reducer.Counters) uint64 { return c.ConfigInvalid }},
	{meter.OutcomesAsked, func(c *reducer.Counters) uint64 { return c.OutcomesAsked }},
	{meter.OutcomesHandedOff, func(c *reducer.Counters) uint64 { return c.OutcomesHandedOff }},
	{meter.PoisonRefused, func(c *reducer.Counters) uint64 { return c.PoisonRefused }},
	{meter.EndpointsEjected, func(c *reducer.Counters) uint64 { return c.EndpointsEjected }},
	{meter.OrdersSent, func(c *reducer.Counters) uint64 { return c.OrdersSent }},
	{meter.OrdersRefused, func(c *reducer.Counters) uint64 { return c.OrdersRefused }},
	{meter.OrdersUncertain, func(c *reducer.Counters) uint64 { return c.OrdersUncertain }},
	{meter.LoadsOrdered, func(c *reducer.Counters) uint64 { return c.LoadsOrdered }},
	{meter.StageResumes, func(c *reducer.Counters) uint64 { return c.StageResumes }},
	{meter.ClaimsLate, func(c *reducer.Counters) uint64 { return c.ClaimsLate }},
	{meter.ClaimsRecordsBad, func(c *reducer.Counters) uint64 { return c.ClaimsRecordsBad }},
	{meter.ConfigRecordsBad, func(c *reducer.Counters) uint64 { return c.ConfigRecordsBad }},
	{meter.ConfigFromPeers, func(c *reducer.Counters) uint64 { return c.ConfigFromPeers }},
	{meter.PausesNoticed, func(c *reducer.Counters) uint64 { return c.PausesNoticed }},
	{meter.PoisonFound, func(c *reducer.Counters) uint64 { return c.PoisonFound }},
	{meter.RequestsRepeated, func(c *reducer.Counters) uint64 { return c.RequestsJoined }},
}
