package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/cataloger"
	"geraniumline/detector"
	"geraniumline/evacuator"
	"geraniumline/locator"
	"geraniumline/meter"
	"geraniumline/registrar"
)

// evacuatedReturn is when a caller should come back whose request has no endpoint that may get new work. Evacuations last for
// seconds and more; a second or two later the caller has most of its time left.
const evacuatedReturn = 1500 * time.Millisecond

// openness tells where each service's endpoints may get new work.
type openness struct {
	// registered counts a service's endpoints that take work by their own word, open those of them by region that may get it.
	registered map[string]int
	open       map[string]map[string]int
	// barred are the addresses of evacuated endpoints.
	barred map[string]bool
}

// serves tells whether a service has an endpoint that may get new work in one of the regions; nil stands for all. A service
// without any endpoint is not closed: one may come within a moment.
func (o *openness) serves(service string, regions []string) bool {
	if o.registered[service] == 0 {
		return true
	}
	for region, n := range o.open[service] {
		if n > 0 && (regions == nil || slices.Contains(regions, region)) {
			return true
		}
	}
	return false
}

// usable lists the endpoints that may get new work: every call, piece and retry goes to one of these. An endpoint of an
// evacuated zone is not among them, though it takes work by its own word, nor one whose answers say that it leaves: the store
// may not know so yet. The lock is held.
func (f *Forwarder) usable(now time.Time) []registrar.Endpoint {
	f.regulator.Keep(f.registry.Lists)
	all := slices.DeleteFunc(f.registry.Usable(), func(e registrar.Endpoint) bool { return f.regulator.Leaving(e.ID) })
	f.openness = openness{
		registered: make(map[string]int),
		open:       make(map[string]map[string]int),
		barred:     make(map[string]bool),
	}
	list := make([]registrar.Endpoint, 0, len(all))
	for _, e := range all {
		f.openness.registered[e.Service]++
		if f.evacuator.Evacuated(e.Zone) {
			f.openness.barred[e.Address] = true
			continue
		}
		e.Region = f.cfg.Regions[e.Zone]
		e.ColdUntil = f.coldUntil(&e, now)
		if f.openness.open[e.Service] == nil {
			f.openness.open[e.Service] = make(map[string]int)
		}
		f.openness.open[e.Service][e.Region]++
		list = append(list, e)
	}
	f.divider.SetEndpoints(all, list)
	return list
}

// coldUntil is when an endpoint's slow start ends. Endpoints may be cold when an evacuation of their zone is taken back, and
// their own word of that comes after the operator's: sent to as before meanwhile, a whole zone of them would crash. So they
// are taken for cold for as long as a slow start lasts. The lock is held.
func (f *Forwarder) coldUntil(e *registrar.Endpoint, now time.Time) time.Time {
	ended := f.evacuator.EndedAt(e.Zone)
	if ended.IsZero() || f.catalog == nil {
		return e.ColdUntil
	}
	service, known := f.catalog.Service(e.Service)
	if !known {
		return e.ColdUntil
	}
	if until := ended.Add(service.ColdTime); until.After(now) && until.After(e.ColdUntil) {
		return until
	}
	return e.ColdUntil
}

// TakeEvacuations takes the operator's records on availability zones that follow those known, up to a position.
func (f *Forwarder) TakeEvacuations(changes []evacuator.Change, next locator.Position, now time.Time) {
	f.locked(func() []func() {
		return f.evacuationsTaken(f.evacuator.Apply(changes, next, now), "store", now)
	})
}

// ReplaceEvacuations takes the newest of the operator's records on all availability zones.
func (f *Forwarder) ReplaceEvacuations(state evacuator.State, now time.Time) {
	f.locked(func() []func() {
		return f.evacuationsTaken(f.evacuator.Take(state, now), "store", now)
	})
}

// takeEvacuated takes a peer's word on evacuated zones. The lock is held.
func (f *Forwarder) takeEvacuated(m *carrier.Heartbeat, now time.Time) []func() {
	state := evacuator.State{
		Next:  locator.At(m.EvacuatedEra, m.EvacuatedNext),
		Zones: m.Evacuated,
		Held:  m.EvacuationsHeld,
	}
	return f.evacuationsTaken(f.evacuator.Take(state, now), m.From.Name, now)
}

// evacuationsTaken has a change of the evacuated zones in force. The lock is held.
func (f *Forwarder) evacuationsTaken(changed bool, source string, now time.Time) []func() {
	if !changed {
		return nil
	}
	state := f.evacuator.State()
	f.cfg.Meter.Gauge(meter.ZonesEvacuated).Update(int64(len(state.Zones) + len(state.Held)))
	f.log.Info("evacuated zones changed",
		zap.Strings("zones", state.Zones),
		zap.Strings("held", state.Held),
		zap.Stringer("position", state.Next),
		zap.String("source", source))
	return f.endpointsChanged(now)
}

// barred tells whether an address is that of an endpoint which gets nothing more. The lock is held.
func (f *Forwarder) barred(address string) bool { return f.openness.barred[address] }

// setSenders tells which entries may send to endpoints that bear few calls. The lock is held.
func (f *Forwarder) setSenders(members []detector.Member) {
	live := make([]string, 0, len(members))
	for _, m := range members {
		if m.Name == f.cfg.Name || m.State == detector.Live {
			live = append(live, m.Name)
		}
	}
	f.warmer.SetEntries(live, len(members))
	f.regulator.SetEntries(live)
}

// homesOf gives the regions that a request may be served in; nil where it may be in all. Where the route and the client
// account both have homes, both bind.
func homesOf(route *cataloger.Route, account *cataloger.Account) []string {
	if account == nil || len(account.Homes) == 0 {
		if len(route.Homes) == 0 {
			return nil
		}
		return route.Homes
	}
	if len(route.Homes) == 0 {
		return account.Homes
	}
	both := make([]string, 0, len(route.Homes))
	for _, region := range route.Homes {
		if slices.Contains(account.Homes, region) {
			both = append(both, region)
		}
	}
	return both
}

// checkOpen refuses a request at once that no endpoint may get. Held until a stage's or its own deadline it would end no
// better, and its caller could not come back.
func (x *exchange) checkOpen() *FailureError {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	noHome := x.homes != nil && len(x.homes) == 0
	if noHome || !x.f.openness.serves(x.service.Name, x.homes) {
		return notRun("noOpenEndpoint", evacuatedReturn)
	}
	for i, stage := range x.route.Stages {
		none := i < len(x.req.PieceCounts) && x.req.PieceCounts[i] == 0
		if !none && !x.f.openness.serves(stage.Service, x.homes) {
			return notRun("noOpenEndpoint", evacuatedReturn)
		}
	}
	return nil
}
