package forwarder

import (
	"math"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/meter"
	"geraniumline/selector"
)

// thousandths is the unit of reported logarithms.
const thousandths = 1000

// timings holds observations of endpoints' speeds.
type timings struct {
	observations[carrier.EndpointTiming]
}

// add stores an observation of this entry.
func (t *timings) add(observed selector.Timing, now time.Time) {
	t.observations.add(carrier.EndpointTiming{
		ID:            observed.Endpoint.ID,
		StartedMillis: toUnixMillis(observed.Endpoint.Started),
		Sequence:      t.next(),
		LogRatio:      int32(math.Round(observed.LogRatio * thousandths)),
	}, now)
}

// unapplied returns those of a peer's observations that have not been applied yet, and marks them as applied.
func (t *timings) unapplied(peer string, incarnation uint64, list []carrier.EndpointTiming) []carrier.EndpointTiming {
	return t.observations.unapplied(peer, incarnation, list, func(m *carrier.EndpointTiming) uint64 { return m.Sequence })
}

// observeFirstEvent records the time to a first event for this entry's choices and its next load reports. The lock must
// be held.
func (f *Forwarder) observeFirstEvent(choice selector.Choice, took time.Duration, now time.Time) {
	if observed, measured := f.selector.ObserveFirstEvent(choice, took, now); measured {
		f.timings.add(observed, now)
	}
}

// applyTimings counts a peer's observations. The lock must be held.
func (f *Forwarder) applyTimings(from string, list []carrier.EndpointTiming, now time.Time) {
	if len(list) == 0 {
		return
	}
	member, known := f.detector.Member(from)
	if !known {
		return
	}
	for _, m := range f.timings.unapplied(from, member.Incarnation, list) {
		f.selector.RecordPeerTiming(m.ID, fromUnixMillis(m.StartedMillis), float64(m.LogRatio)/thousandths, now)
	}
}

// updateSpeeds compares the speeds of endpoints and reports changes. The lock must be held.
func (f *Forwarder) updateSpeeds(now time.Time) {
	f.timings.forget(func(peer string) bool { _, known := f.detector.Member(peer); return known })
	for _, c := range f.selector.UpdateSpeeds(now) {
		message := "endpoint serves at the usual speed again"
		if c.Slow {
			message = "endpoint is slow"
		}
		f.log.Info(message,
			zap.String("service", c.Endpoint.Service),
			zap.String("endpoint", c.Endpoint.ID),
			zap.Float64("timeFactor", c.Factor))
	}
	for _, service := range f.selector.Services() {
		f.cfg.Meter.Gauge(meter.ForwardSpeedSpread, service).Update(int64(math.Round(f.selector.SpeedSpread(service) * thousandths)))
	}
}
