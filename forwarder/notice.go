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

// readResponse decodes the header of an endpoint's response, and applies what it says about the endpoint: that its
// process has ended, or the work that it accepts.
func (f *Forwarder) readResponse(e *registrar.Endpoint, resp *connector.Response) ResponseInfo {
	info := f.cfg.Wire.ReadResponse(resp.Status(), resp.Header())
	if info.Misdirected {
		f.markEnded(e, time.Now())
		return info
	}
	if info.NoticeErr != nil {
		f.cfg.Meter.Counter(meter.NoticesUnusable, e.Service).Inc(1)
		f.logNotice("invalid endpoint notice", zap.String("endpoint", e.ID), zap.Error(info.NoticeErr))
	}
	if info.NoticeErr == nil || info.Notice != (regulator.Notice{}) {
		f.applyNotice(e, info.Notice, time.Now())
	}
	return info
}

// maxRefusalBody is the largest body of a refusal, in bytes, that is read to reuse its connection.
const maxRefusalBody = 64 << 10

// discardRefusal reads the body of a refusal, so that its connection can be reused. The header alone says that the
// endpoint did not run the request, so it doesn't matter whether the body is whole.
func (f *Forwarder) discardRefusal(e *registrar.Endpoint, resp *connector.Response) {
	if _, err := resp.ReadAll(f.budget, maxRefusalBody); err != nil {
		f.log.Debug("reading refusal body failed", zap.String("endpoint", e.ID), zap.Error(err))
	}
}

// applyNotice applies an endpoint's notice about the work that it accepts.
func (f *Forwarder) applyNotice(e *registrar.Endpoint, n regulator.Notice, now time.Time) {
	f.withLock(func() []func() {
		if !f.registry.Contains(e.ID, e.Started) {
			return nil
		}
		change := f.regulator.ApplyNotice(e, n, now)
		if change.Limit {
			f.logLimit(e.ID, n.PerSecond, e.ID)
		}
		if change.Fragile {
			f.logFragile(e.ID, n.MaxRefusals, e.ID)
		}
		if change.Rest {
			f.logNotice("endpoint asks for rest", zap.String("endpoint", e.ID), zap.Duration("rest", n.Rest))
		}
		if !change.Leaving {
			return nil
		}
		f.logLeaving(e.ID, e.ID)
		return f.endpointsChanged(now)
	})
}

// markEnded stops all work for an endpoint at whose address another process has answered. The list of endpoints names
// the other one, with its service, only later; until then nothing is sent there.
func (f *Forwarder) markEnded(e *registrar.Endpoint, now time.Time) {
	f.withLock(func() []func() {
		if !f.registry.Contains(e.ID, e.Started) || !f.regulator.MarkEnded(e, f.registry.Next(), now) {
			return nil
		}
		f.recordProcessEnd(e.ID, e.Started, now)
		f.cfg.Meter.Counter(meter.EndpointsEnded, e.Service).Inc(1)
		f.logNotice("endpoint has ended", zap.String("endpoint", e.ID), zap.String("address", e.Address))
		return f.endpointsChanged(now)
	})
}

// returnEnded reports whether an endpoint that was found to have ended gets calls again. The lock must be held.
func (f *Forwarder) returnEnded(now time.Time) bool {
	ids := f.regulator.ReturnEnded(f.registry.PositionOf, now)
	for _, id := range ids {
		f.logNotice("ended endpoint is still listed", zap.String("endpoint", id))
	}
	return len(ids) > 0
}

// logLeaving logs that an endpoint leaves; the source is the endpoint itself or a peer.
func (f *Forwarder) logLeaving(endpoint, source string) {
	f.logNotice("endpoint leaves", zap.String("endpoint", endpoint), zap.String("source", source))
}

// logLimit logs the change of an endpoint's limit; the source is the endpoint itself or a peer.
func (f *Forwarder) logLimit(endpoint string, perSecond float64, source string) {
	f.logNotice("endpoint's limit changed",
		zap.String("endpoint", endpoint),
		zap.Float64("perSecond", perSecond),
		zap.String("source", source))
}

// logFragile logs the change of the refusals above which an endpoint crashes; the source is the endpoint itself or a
// peer.
func (f *Forwarder) logFragile(endpoint string, maxRefusals float64, source string) {
	f.logNotice("endpoint's fragility changed",
		zap.String("endpoint", endpoint),
		zap.Float64("maxRefusalsPerSecond", maxRefusals),
		zap.String("source", source))
}

// sparedAt reports whether an endpoint at the address has asked for few calls. The lock must be held.
func (f *Forwarder) sparedAt(address string, now time.Time) bool {
	return slices.ContainsFunc(f.registry.IDsAt(address), func(id string) bool { return f.regulator.ShouldAvoid(id, now) })
}

// limits returns the part of the endpoints' limits to send in the next heartbeat. The lock must be held.
func (f *Forwarder) limits(now time.Time) []carrier.EndpointLimit {
	return limitMessages(nextPart(&f.limitsRotation, f.regulator.Limits(now), f.random), now)
}

// fragile returns the part of the fragile endpoints to send in the next heartbeat. The lock must be held.
func (f *Forwarder) fragile(now time.Time) []carrier.EndpointLimit {
	return limitMessages(nextPart(&f.fragileRotation, f.regulator.Fragile(now), f.random), now)
}

func limitMessages(limits []regulator.Limit, now time.Time) []carrier.EndpointLimit {
	var list []carrier.EndpointLimit
	for _, l := range limits {
		list = append(list, carrier.EndpointLimit{
			ID:            l.Endpoint,
			StartedMillis: toUnixMillis(l.Started),
			PerSecond:     l.PerSecond,
			AgeMillis:     uint32(now.Sub(l.At).Milliseconds()),
		})
	}
	return list
}

// applyLimits applies endpoints' limits reported by a peer. The lock must be held.
func (f *Forwarder) applyLimits(list []carrier.EndpointLimit, from string, now time.Time) {
	for _, l := range f.knownLimits(list, now) {
		if f.regulator.ApplyPeerLimit(l) {
			f.logLimit(l.Endpoint, l.PerSecond, from)
		}
	}
}

// applyFragile applies fragile endpoints reported by a peer. The lock must be held.
func (f *Forwarder) applyFragile(list []carrier.EndpointLimit, from string, now time.Time) {
	for _, l := range f.knownLimits(list, now) {
		if f.regulator.ApplyPeerFragile(l) {
			f.logFragile(l.Endpoint, l.PerSecond, from)
		}
	}
}

// knownLimits decodes the valid rates of endpoints that this entry knows. The lock must be held.
func (f *Forwarder) knownLimits(list []carrier.EndpointLimit, now time.Time) []regulator.Limit {
	var limits []regulator.Limit
	for _, m := range list {
		l := regulator.Limit{
			Endpoint:  m.ID,
			Started:   fromUnixMillis(m.StartedMillis),
			PerSecond: m.PerSecond,
			At:        now.Add(-time.Duration(m.AgeMillis) * time.Millisecond),
		}
		if l.PerSecond >= 0 && f.registry.Contains(l.Endpoint, l.Started) {
			limits = append(limits, l)
		}
	}
	return limits
}

// assignFragile divides the calls to fragile endpoints among the entries. The lock must be held.
func (f *Forwarder) assignFragile(now time.Time) {
	services := make(map[string]bool)
	for _, id := range f.regulator.FragileEndpoints() {
		services[f.registry.ServiceOf(id)] = true
	}
	var groups [][]string
	for service := range services {
		groups = append(groups, f.selector.InterchangeableIDs(service, now)...)
	}
	f.regulator.Assign(groups)
}

// leaving returns the part of the leaving endpoints to send in the next heartbeat. The lock must be held.
func (f *Forwarder) leaving() []carrier.EndpointLeave {
	var list []carrier.EndpointLeave
	for _, l := range nextPart(&f.leavesRotation, f.regulator.LeavingEndpoints(), f.random) {
		list = append(list, carrier.EndpointLeave{ID: l.Endpoint, StartedMillis: toUnixMillis(l.Started)})
	}
	return list
}

// applyLeaving applies leaving endpoints reported by a peer. The lock must be held.
func (f *Forwarder) applyLeaving(list []carrier.EndpointLeave, from string, now time.Time) []func() {
	changed := false
	for _, m := range list {
		l := regulator.LeavingEndpoint{Endpoint: m.ID, Started: fromUnixMillis(m.StartedMillis)}
		if f.registry.Contains(l.Endpoint, l.Started) && f.regulator.MarkLeaving(l) {
			changed = true
			f.logLeaving(l.Endpoint, from)
		}
	}
	if !changed {
		return nil
	}
	return f.endpointsChanged(now)
}

// refusals returns the part of the endpoints that refuse this entry's calls to send in the next heartbeat: those that do so
// repeatedly, and fragile ones. The lock must be held.
func (f *Forwarder) refusals(now time.Time) []carrier.EndpointRefusal {
	var list []carrier.EndpointRefusal
	for _, r := range nextPart(&f.refusalsRotation, f.selector.Refusals(now), f.random) {
		list = append(list, refusalMessage(r.Endpoint.ID, r.Endpoint.Started, now.Sub(r.At)))
	}
	for _, r := range f.regulator.FragileRefusals(now) {
		list = append(list, refusalMessage(r.Endpoint, time.Time{}, now.Sub(r.At)))
	}
	return list
}

// applyRefusals applies endpoint refusals reported by a peer. The lock must be held.
func (f *Forwarder) applyRefusals(list []carrier.EndpointRefusal, now time.Time) {
	for _, m := range list {
		if f.registry.Contains(m.ID, fromUnixMillis(m.StartedMillis)) {
			at := now.Add(-time.Duration(m.AgeMillis) * time.Millisecond)
			f.selector.RecordPeerRefusal(m.ID, at)
			f.regulator.RecordPeerRefusal(m.ID, at)
		}
	}
}

// unreachable returns the part of the endpoints that this entry could not reach to send in the next heartbeat: those that
// refused its connections, and those that have ended. Timeouts are left out, since this entry's network may cause them,
// and so are refused connections if they may be due to a partition.
// The lock must be held.
func (f *Forwarder) unreachable(now time.Time) []carrier.EndpointRefusal {
	var list []carrier.EndpointRefusal
	if !f.paths.Suspect(now) {
		for _, r := range f.selector.Unreachable(now) {
			list = append(list, refusalMessage(r.Endpoint.ID, r.Endpoint.Started, now.Sub(r.At)))
		}
	}
	for _, e := range f.regulator.EndedEndpoints() {
		if age := now.Sub(e.At); age < regulator.PeerReportTTL {
			list = append(list, refusalMessage(e.Endpoint, e.Started, age))
		}
	}
	return nextPart(&f.unreachableRotation, list, f.random)
}

func refusalMessage(id string, started time.Time, age time.Duration) carrier.EndpointRefusal {
	return carrier.EndpointRefusal{ID: id, StartedMillis: toUnixMillis(started), AgeMillis: uint32(age.Milliseconds())}
}

// applyUnreachable applies a peer's report of endpoints that it could not reach. The lock must be held.
func (f *Forwarder) applyUnreachable(list []carrier.EndpointRefusal, from string, now time.Time) {
	for _, m := range list {
		started, at := fromUnixMillis(m.StartedMillis), now.Add(-time.Duration(m.AgeMillis)*time.Millisecond)
		// The registration of a process that has ended may be gone already.
		f.recordProcessEnd(m.ID, started, at)
		if !f.registry.Contains(m.ID, started) {
			continue
		}
		if f.selector.RecordPeerUnreachable(from, m.ID, at, now) {
			f.logNotice("endpoint avoided, peer could not reach it", zap.String("endpoint", m.ID), zap.String("peer", from))
		}
	}
}

// toUnixMillis converts a time to the form used between peers; 0 stands for the zero time.
func toUnixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromUnixMillis converts a time received from a peer.
func fromUnixMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// updateNoticeGauges sets the gauges of avoided, limited, fragile, leaving and resting endpoints for each service. The lock must be
// held.
func (f *Forwarder) updateNoticeGauges(now time.Time) {
	if f.catalog == nil {
		return
	}
	avoided := f.selector.AvoidedCounts(now)
	for service := range f.catalog.Services() {
		f.cfg.Meter.Gauge(meter.EndpointsAvoided, service).Update(avoided[service])
	}
	leaving := make([]string, 0)
	for _, l := range f.regulator.LeavingEndpoints() {
		leaving = append(leaving, l.Endpoint)
	}
	for name, ids := range map[meter.Name][]string{
		meter.EndpointsLimited: f.regulator.LimitedEndpoints(),
		meter.EndpointsFragile: f.regulator.FragileEndpoints(),
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
