package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/meter"
	"geraniumline/registrar"
	"geraniumline/regulator"
)

// readAnswer decodes the header of an endpoint's answer, and takes what it says of the work that the endpoint takes.
func (f *Forwarder) readAnswer(e *registrar.Endpoint, answer *connector.Answer) ResponseInfo {
	info := f.cfg.Wire.ReadResponse(answer.Status(), answer.Header())
	if info.NoticeErr != nil {
		f.cfg.Meter.Counter(meter.NoticesUnusable, e.Service).Inc(1)
		f.noteNotice("endpoint's notice can't be used", zap.String("endpoint", e.ID), zap.Error(info.NoticeErr))
	}
	if info.NoticeErr == nil || info.Notice != (regulator.Notice{}) {
		f.takeNotice(e, info.Notice, time.Now())
	}
	return info
}

// takeNotice takes what an endpoint's answer says of the work that it takes.
func (f *Forwarder) takeNotice(e *registrar.Endpoint, n regulator.Notice, now time.Time) {
	f.locked(func() []func() {
		if !f.registry.Contains(e.ID, e.Started) {
			return nil
		}
		change := f.regulator.ApplyNotice(e, n, now)
		if change.Limit {
			f.noteLimit(e.ID, n.PerSecond, e.ID)
		}
		if change.Rest {
			f.noteNotice("endpoint asks for rest", zap.String("endpoint", e.ID), zap.Duration("rest", n.Rest))
		}
		if !change.Leaving {
			return nil
		}
		f.noteLeaving(e.ID, e.ID)
		return f.endpointsChanged(now)
	})
}

// noteLeaving writes a line on an endpoint that leaves; the source is the endpoint itself or a peer.
func (f *Forwarder) noteLeaving(endpoint, source string) {
	f.noteNotice("endpoint leaves", zap.String("endpoint", endpoint), zap.String("source", source))
}

// noteLimit writes a line on the change of an endpoint's limit; the source is the endpoint itself or a peer.
func (f *Forwarder) noteLimit(endpoint string, perSecond float64, source string) {
	f.noteNotice("endpoint's limit changed",
		zap.String("endpoint", endpoint),
		zap.Float64("perSecond", perSecond),
		zap.String("source", source))
}

// sparedAt tells whether an endpoint at the address has asked for few calls. The lock is held.
func (f *Forwarder) sparedAt(address string, now time.Time) bool {
	return slices.ContainsFunc(f.registry.IDsAt(address), func(id string) bool { return f.regulator.ShouldAvoid(id, now) })
}

// limits tells peers the limits that endpoints have named. The lock is held.
func (f *Forwarder) limits(now time.Time) []carrier.EndpointLimit {
	var list []carrier.EndpointLimit
	for _, l := range nextPart(&f.limitsTold, f.regulator.Limits(now), f.random) {
		list = append(list, carrier.EndpointLimit{
			ID:            l.Endpoint,
			StartedMillis: unixMillis(l.Started),
			PerSecond:     l.PerSecond,
			AgeMillis:     uint32(now.Sub(l.At).Milliseconds()),
		})
	}
	return list
}

// takeLimits takes endpoints' limits that a peer tells. The lock is held.
func (f *Forwarder) takeLimits(list []carrier.EndpointLimit, from string, now time.Time) {
	for _, m := range list {
		l := regulator.Limit{
			Endpoint:  m.ID,
			Started:   timeOf(m.StartedMillis),
			PerSecond: m.PerSecond,
			At:        now.Add(-time.Duration(m.AgeMillis) * time.Millisecond),
		}
		usable := l.PerSecond >= 0 && f.registry.Contains(l.Endpoint, l.Started)
		if usable && f.regulator.ApplyPeerLimit(l) {
			f.noteLimit(l.Endpoint, l.PerSecond, from)
		}
	}
}

// leaving tells peers which endpoints have said that they leave. The lock is held.
func (f *Forwarder) leaving() []carrier.EndpointLeave {
	var list []carrier.EndpointLeave
	for _, l := range nextPart(&f.leavesTold, f.regulator.LeavingEndpoints(), f.random) {
		list = append(list, carrier.EndpointLeave{ID: l.Endpoint, StartedMillis: unixMillis(l.Started)})
	}
	return list
}

// takeLeaving takes the endpoints that leave as a peer tells. The lock is held.
func (f *Forwarder) takeLeaving(list []carrier.EndpointLeave, from string, now time.Time) []func() {
	changed := false
	for _, m := range list {
		l := regulator.LeavingEndpoint{Endpoint: m.ID, Started: timeOf(m.StartedMillis)}
		if f.registry.Contains(l.Endpoint, l.Started) && f.regulator.MarkLeaving(l) {
			changed = true
			f.noteLeaving(l.Endpoint, from)
		}
	}
	if !changed {
		return nil
	}
	return f.endpointsChanged(now)
}

// refusing tells peers which endpoints refuse this entry's calls in a row. The lock is held.
func (f *Forwarder) refusing(now time.Time) []carrier.EndpointRefusal {
	var list []carrier.EndpointRefusal
	for _, r := range nextPart(&f.refusalsTold, f.selector.Refusals(now), f.random) {
		list = append(list, carrier.EndpointRefusal{
			ID:            r.Endpoint.ID,
			StartedMillis: unixMillis(r.Endpoint.Started),
			AgeMillis:     uint32(now.Sub(r.At).Milliseconds()),
		})
	}
	return list
}

// takeRefusing takes the endpoints that refuse a peer's calls. The lock is held.
func (f *Forwarder) takeRefusing(list []carrier.EndpointRefusal, now time.Time) {
	for _, m := range list {
		if f.registry.Contains(m.ID, timeOf(m.StartedMillis)) {
			f.selector.RecordPeerRefusal(m.ID, now.Add(-time.Duration(m.AgeMillis)*time.Millisecond))
		}
	}
}

// unixMillis gives a time as peers tell it; 0 stands for the zero time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeOf is the time that a peer has told.
func timeOf(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// measureNotices sets the gauges of what endpoints ask for, by service. The lock is held.
func (f *Forwarder) measureNotices(now time.Time) {
	if f.catalog == nil {
		return
	}
	leaving := make([]string, 0)
	for _, l := range f.regulator.LeavingEndpoints() {
		leaving = append(leaving, l.Endpoint)
	}
	for name, ids := range map[meter.Name][]string{
		meter.EndpointsLimited: f.regulator.LimitedEndpoints(),
		meter.EndpointsLeaving: leaving,
		meter.EndpointsResting: f.regulator.RestingEndpoints(now),
	} {
		counts := make(map[string]int64)
		for _, id := range ids {
			counts[f.registry.ServiceOf(id)]++
		}
		for service := range f.catalog.Services() {
			f.cfg.Meter.Gauge(name, service).Update(counts[service])
		}
	}
}
