package performer

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumline/meter"
	"geraniumline/reducer"
)

// publishEvery is the interval at which the core's counts are copied to the metrics registry.
const publishEvery = time.Second

// publish adds the counts since the last call to the registry. The core keeps plain integers, because the registry's
// counters are shared between goroutines and would cost more than the core's own work.
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

// billsEvery is the interval at which the accounts' costs are copied. It is longer than publishEvery because each copy
// creates a bill for every account.
const billsEvery = 10 * time.Second

// publishBills copies the cost of this entry's endpoint calls for each account to the registry.
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
		raiseTo(p.cfg.Meter.Counter(meter.CostMillis, bill.Account), int64(cost))
		raiseTo(p.cfg.Meter.Counter(meter.WastedMillis, bill.Account), int64(wasted))
	}
}

// raiseTo increases a counter to a running total.
func raiseTo(counter metrics.Counter, total int64) {
	counter.Inc(total - counter.Count())
}

// coreCounters maps each of the core's counts to its metric.
var coreCounters = []struct {
	name  meter.Name
	value func(c *reducer.Counters) uint64
}{
	{meter.ClaimsAppended, func(c *reducer.Counters) uint64 { return c.ClaimsSent }},
	{meter.ClaimsWon, func(c *reducer.Counters) uint64 { return c.ClaimsWon }},
	{meter.ClaimsLost, func(c *reducer.Counters) uint64 { return c.ClaimsLost }},
	{meter.HeartbeatsSent, func(c *reducer.Counters) uint64 { return c.HeartbeatsSent }},
	{meter.HeartbeatsReceived, func(c *reducer.Counters) uint64 { return c.HeartbeatsReceived }},
	{meter.StageRetries, func(c *reducer.Counters) uint64 { return c.StageRetries }},
	{meter.StageHedges, func(c *reducer.Counters) uint64 { return c.StageHedges }},
	{meter.RepliesLate, func(c *reducer.Counters) uint64 { return c.PartsLate }},
	{meter.RepliesForeign, func(c *reducer.Counters) uint64 { return c.PartsMisdelivered }},
	{meter.StreamGaps, func(c *reducer.Counters) uint64 { return c.PartsAfterGap }},
	{meter.StreamOverlaps, func(c *reducer.Counters) uint64 { return c.PartsOverlapping }},
	{meter.ConfigAccepted, func(c *reducer.Counters) uint64 { return c.ConfigAccepted }},
	{meter.ConfigConflicts, func(c *reducer.Counters) uint64 { return c.ConfigConflicts }},
	{meter.ConfigInvalid, func(c *reducer.Counters) uint64 { return c.ConfigInvalid }},
	{meter.OutcomesAsked, func(c *reducer.Counters) uint64 { return c.OutcomesRequested }},
	{meter.OutcomesHandedOff, func(c *reducer.Counters) uint64 { return c.OutcomesHandedOff }},
	{meter.PoisonRefused, func(c *reducer.Counters) uint64 { return c.RequestsQuarantined }},
	{meter.EndpointsEjected, func(c *reducer.Counters) uint64 { return c.EndpointsEjected }},
	{meter.OrdersSent, func(c *reducer.Counters) uint64 { return c.OrdersSent }},
	{meter.OrdersRefused, func(c *reducer.Counters) uint64 { return c.OrdersRefused }},
	{meter.OrdersUncertain, func(c *reducer.Counters) uint64 { return c.OrdersUncertain }},
	{meter.LoadsOrdered, func(c *reducer.Counters) uint64 { return c.LoadsOrdered }},
	{meter.StageResumes, func(c *reducer.Counters) uint64 { return c.StageResumes }},
	{meter.ClaimsLate, func(c *reducer.Counters) uint64 { return c.ClaimsLate }},
	{meter.ClaimsRecordsBad, func(c *reducer.Counters) uint64 { return c.ClaimRecordsInvalid }},
	{meter.ConfigRecordsBad, func(c *reducer.Counters) uint64 { return c.ConfigRecordsInvalid }},
	{meter.ConfigFromPeers, func(c *reducer.Counters) uint64 { return c.ConfigFromPeers }},
	{meter.PausesNoticed, func(c *reducer.Counters) uint64 { return c.PausesDetected }},
	{meter.PoisonFound, func(c *reducer.Counters) uint64 { return c.ContentsQuarantined }},
	{meter.RequestsRepeated, func(c *reducer.Counters) uint64 { return c.RequestsJoined }},
}
