package forwarder

import (
	"slices"
	"time"

	"geraniumline/cataloger"
	"geraniumline/registrar"
)

// evacuatedRetryDelay is the retry delay for a request without any endpoint that may receive new work. Evacuations
// last for seconds or more; after a second or two the caller still has most of its time left.
const evacuatedRetryDelay = 1500 * time.Millisecond

// availability counts where each service's endpoints may receive new work.
type availability struct {
	// inService counts the endpoints of each service whose own records are in service; usable counts those of them
	// that may receive new work, by service and region.
	inService map[string]int
	usable    map[string]map[string]int
	// evacuated holds the addresses of evacuated endpoints.
	evacuated map[string]bool
}

// serves reports whether a service has an endpoint that may receive new work in one of the regions; nil allows all. A
// service without any endpoint counts as served, since one may be registered within a moment.
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

// usable returns the endpoints that may receive new work, and updates the availability of the services. All calls,
// pieces and retries go to these endpoints. Endpoints in evacuated zones are excluded, and so are those whose
// responses announce that they leave and those that have ended, which the store may not show yet. The lock must be held.
func (f *Forwarder) usable(now time.Time) []*registrar.Endpoint {
	f.regulator.Retain(f.registry.Contains, now)
	all := f.registry.Usable()
	if f.regulator.LeavingCount()+f.regulator.EndedCount() > 0 {
		all = slices.DeleteFunc(slices.Clone(all), func(e *registrar.Endpoint) bool {
			return f.regulator.IsLeaving(e.ID) || f.regulator.HasEnded(e.ID)
		})
	}
	f.availability = availability{
		inService: make(map[string]int),
		usable:    make(map[string]map[string]int),
		evacuated: make(map[string]bool),
	}
	list := make([]*registrar.Endpoint, 0, len(all))
	for _, e := range all {
		f.availability.inService[e.Service]++
		if f.evacuator.Evacuated(e.Zone) {
			f.availability.evacuated[e.Address] = true
			continue
		}
		if until := f.coldUntil(e, now); !until.Equal(e.ColdUntil) {
			cold := *e
			cold.ColdUntil = until
			e = &cold
		}
		if f.availability.usable[e.Service] == nil {
			f.availability.usable[e.Service] = make(map[string]int)
		}
		f.availability.usable[e.Service][e.Region]++
		list = append(list, e)
	}
	f.divider.SetEndpoints(all, list)
	return list
}

// coldUntil returns when an endpoint's slow start ends. Endpoints may be cold when the evacuation of their zone is
// cancelled, but their records show it only after the operator's record has arrived. A whole zone would crash if it
// received the former load meanwhile, so its endpoints are considered cold for the duration of a slow start. The lock
// must be held.
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

// evacuatedAt reports whether an evacuated endpoint has the address. The lock must be held.
func (f *Forwarder) evacuatedAt(address string) bool { return f.availability.evacuated[address] }

// allowedRegionsOf returns the regions in which a request may be served; nil allows all, and an empty list none. If the route
// and the client account both have home regions, both restrictions apply.
func allowedRegionsOf(route *cataloger.Route, account *cataloger.Account) []string {
	if account == nil || account.AllowedRegions == nil {
		return route.AllowedRegions
	}
	if route.AllowedRegions == nil {
		return account.AllowedRegions
	}
	common := make([]string, 0, len(route.AllowedRegions))
	for _, region := range route.AllowedRegions {
		if slices.Contains(account.AllowedRegions, region) {
			common = append(common, region)
		}
	}
	return common
}

// checkAvailable immediately refuses a request that no endpoint may receive. Waiting for its own or a stage's
// deadline would not change the result, and would leave its caller no time to retry.
func (x *exchange) checkAvailable() *FailureError {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	noRegion := x.allowedRegions != nil && len(x.allowedRegions) == 0
	if noRegion || !x.f.availability.serves(x.service.Name, x.allowedRegions) {
		return notRun("noOpenEndpoint", evacuatedRetryDelay)
	}
	for i, stage := range x.route.Stages {
		noPieces := i < len(x.req.PieceCounts) && x.req.PieceCounts[i] == 0
		if !noPieces && !x.f.availability.serves(stage.Service, x.allowedRegions) {
			return notRun("noOpenEndpoint", evacuatedRetryDelay)
		}
	}
	return nil
}
