package forwarder

import (
	"slices"
	"time"

	"geraniumline/cataloger"
	"geraniumline/registrar"
)

// evacuatedReturn is when a caller should come back whose request has no endpoint that may get new work. Evacuations last for
// seconds and more; a second or two later the caller has most of its time left.
const evacuatedReturn = 1500 * time.Millisecond

// availability tells where each service's endpoints may get new work.
type availability struct {
	// inService counts the endpoints of each service that are in service by their own entries, usable those of them by region
	// that may get new work.
	inService map[string]int
	usable    map[string]map[string]int
	// evacuated are the addresses of evacuated endpoints.
	evacuated map[string]bool
}

// serves tells whether a service has an endpoint that may get new work in one of the regions; nil stands for all. A service
// without any endpoint counts as served: one may come within a moment.
func (a *availability) serves(service string, regions []string) bool {
	if a.inService[service] == 0 {
		return true
	}
	for region, n := range a.usable[service] {
		if n > 0 && (regions == nil || slices.Contains(regions, region)) {
			return true
		}
	}
	return false
}

// usable lists the endpoints that may get new work: every call, piece and retry goes to one of these. Endpoints of evacuated
// zones are not among them, nor those whose answers say that they leave: the store may not know so yet. The lock is held.
func (f *Forwarder) usable(now time.Time) []registrar.Endpoint {
	f.regulator.Retain(f.registry.Contains)
	all := slices.DeleteFunc(f.registry.Usable(), func(e registrar.Endpoint) bool { return f.regulator.IsLeaving(e.ID) })
	f.availability = availability{
		inService: make(map[string]int),
		usable:    make(map[string]map[string]int),
		evacuated: make(map[string]bool),
	}
	list := make([]registrar.Endpoint, 0, len(all))
	for _, e := range all {
		f.availability.inService[e.Service]++
		if f.evacuator.Evacuated(e.Zone) {
			f.availability.evacuated[e.Address] = true
			continue
		}
		e.Region = f.cfg.Regions[e.Zone]
		e.ColdUntil = f.coldUntil(&e, now)
		if f.availability.usable[e.Service] == nil {
			f.availability.usable[e.Service] = make(map[string]int)
		}
		f.availability.usable[e.Service][e.Region]++
		list = append(list, e)
	}
	f.divider.SetEndpoints(all, list)
	return list
}

// coldUntil is when an endpoint's slow start ends. Endpoints may be cold when an evacuation of their zone is cancelled, and
// their entries say so only after the operator's record has come: sent to as before meanwhile, a whole zone of them would
// crash. So they are taken for cold for as long as a slow start lasts. The lock is held.
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

// evacuatedAt tells whether an address is that of an evacuated endpoint. The lock is held.
func (f *Forwarder) evacuatedAt(address string) bool { return f.availability.evacuated[address] }

// homesOf gives the regions that a request may be served in; nil where it may be in all. Where the route and the client
// account both have homes, both bind.
func homesOf(route *cataloger.Route, account *cataloger.Account) []string {
	if account == nil || len(account.AllowedRegions) == 0 {
		if len(route.AllowedRegions) == 0 {
			return nil
		}
		return route.AllowedRegions
	}
	if len(route.AllowedRegions) == 0 {
		return account.AllowedRegions
	}
	both := make([]string, 0, len(route.AllowedRegions))
	for _, region := range route.AllowedRegions {
		if slices.Contains(account.AllowedRegions, region) {
			both = append(both, region)
		}
	}
	return both
}

// checkAvailable refuses a request at once that no endpoint may get. Held until a stage's or its own deadline it would end no
// better, and its caller could not come back.
func (x *exchange) checkAvailable() *FailureError {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	noHome := x.homes != nil && len(x.homes) == 0
	if noHome || !x.f.availability.serves(x.service.Name, x.homes) {
		return notRun("noOpenEndpoint", evacuatedReturn)
	}
	for i, stage := range x.route.Stages {
		none := i < len(x.req.PieceCounts) && x.req.PieceCounts[i] == 0
		if !none && !x.f.availability.serves(stage.Service, x.homes) {
			return notRun("noOpenEndpoint", evacuatedReturn)
		}
	}
	return nil
}
