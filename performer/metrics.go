package performer

import (
	"time"

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
	gauges := p.core.Gauges()
	p.cfg.Meter.Gauge(meter.RequestsInFlight).Update(int64(gauges.InFlight))
	p.cfg.Meter.Gauge(meter.ConfigOffset).Update(gauges.ConfigOffset)
	p.cfg.Meter.Gauge(meter.ClaimsOffset).Update(gauges.ClaimsOffset)
	p.cfg.Meter.Gauge(meter.PeersLive).Update(int64(gauges.PeersLive))
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
	{meter.OrdersSent, func(c *reducer.Counters) uint64 { return c.OrdersSent }},
	{meter.OrdersRefused, func(c *reducer.Counters) uint64 { return c.OrdersRefused }},
	{meter.OrdersUncertain, func(c *reducer.Counters) uint64 { return c.OrdersUncertain }},
	{meter.LoadsOrdered, func(c *reducer.Counters) uint64 { return c.LoadsOrdered }},
	{meter.RequestsRepeated, func(c *reducer.Counters) uint64 { return c.RequestsJoined }},
}
