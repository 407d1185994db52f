package forwarder

import (
	"math"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/meter"
	"geraniumline/selector"
)

const (
	// timingWindow is how long an observation of an endpoint's speed is reported. Within it, each peer receives a report,
	// also where reports go to a part of the peers in each round.
	timingWindow = time.Second
	// maxTimings bounds the observations in one report. An entry that makes more reports the newest ones.
	maxTimings = 64
	// thousandths is the unit of reported logarithms.
	thousandths = 1000
)

// timings holds this entry's recent observations of endpoints' speeds, and which observations of peers it has counted.
type timings struct {
	sequence uint64
	recent   []recentTiming
	counted  map[string]countedTimings
}

type recentTiming struct {
	timing carrier.EndpointTiming
	at     time.Time
}

// countedTimings is the number of a peer's last observation that was counted.
type countedTimings struct {
	incarnation uint64
	sequence    uint64
}

// add stores an observation of this entry.
func (t *timings) add(observed selector.Timing, now time.Time) {
	t.sequence++
	t.recent = append(t.recent, recentTiming{at: now, timing: carrier.EndpointTiming{
		ID:            observed.Endpoint.ID,
		StartedMillis: toUnixMillis(observed.Endpoint.Started),
		Sequence:      t.sequence,
		LogRatio:      int32(math.Round(observed.LogRatio * thousandths)),
	}})
	if len(t.recent) > maxTimings {
		t.recent = t.recent[len(t.recent)-maxTimings:]
	}
}

// report returns the observations of the last moment.
func (t *timings) report(now time.Time) []carrier.EndpointTiming {
	for len(t.recent) > 0 && now.Sub(t.recent[0].at) > timingWindow {
		t.recent = t.recent[1:]
	}
	list := make([]carrier.EndpointTiming, len(t.recent))
	for i, r := range t.recent {
		list[i] = r.timing
	}
	return list
}

// uncounted returns those of a peer's observations that have not been counted yet, and marks them as counted. A peer
// that has restarted numbers its observations from the start.
func (t *timings) uncounted(peer string, incarnation uint64, list []carrier.EndpointTiming) []carrier.EndpointTiming {
	counted := t.counted[peer]
	if counted.incarnation != incarnation {
		counted = countedTimings{incarnation: incarnation}
	}
	var fresh []carrier.EndpointTiming
	last := counted.sequence
	for _, m := range list {
		if m.Sequence > counted.sequence {
			fresh = append(fresh, m)
			last = max(last, m.Sequence)
		}
	}
	counted.sequence = last
	if t.counted == nil {
		t.counted = make(map[string]countedTimings)
	}
	t.counted[peer] = counted
	return fresh
}

// forget drops the state of peers that are no longer known.
func (t *timings) forget(known func(peer string) bool) {
	for peer := range t.counted {
		if !known(peer) {
			delete(t.counted, peer)
		}
	}
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
	for _, m := range f.timings.uncounted(from, member.Incarnation, list) {
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
