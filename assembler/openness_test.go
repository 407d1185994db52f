package assembler

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// services are the services of the imitated platform, with two endpoints each.
var services = []string{"plain", "model", "encode", "rank"}

// splitZones moves the second endpoint of each service to another zone.
func (f *fleet) splitZones(zone string) {
	for _, service := range services {
		f.site.Move(fmt.Sprintf("i-%s-1", service), service, zone)
	}
}

// workCount returns how many requests and pieces the endpoints with the given number have run.
func (f *fleet) workCount(number int) (n int) {
	for _, service := range services {
		e := f.site.Endpoint(fmt.Sprintf("i-%s-%d", service, number))
		n += len(e.Runs()) + e.Pieces()
	}
	return n
}

// serveAll sends requests of each kind to an entry and requires that all of them succeed.
func (f *fleet) serveAll(entry int, name string) {
	f.t.Helper()
	for i := range 4 {
		for _, path := range []string{imitator.PlainPath, imitator.StreamPath, imitator.StagesPath} {
			request := f.newRequest(entry, path, fmt.Sprintf("%s-%d%s", name, i, path))
			if path == imitator.StagesPath {
				request.Pieces = "3,5"
			}
			require.Equal(f.t, http.StatusOK, f.call(request).Status, path)
		}
	}
}

// receivesNothing reports whether the endpoints with the given number run none of the requests sent to an entry.
func (f *fleet) receivesNothing(entry, number int) bool {
	before := f.workCount(number)
	f.serveAll(entry, "idle")
	return f.workCount(number) == before
}

// The operator evacuates an availability zone and ends the evacuation. Meanwhile the zone's endpoints must receive neither
// requests nor pieces, and no request may fail; afterwards they must be used again. An entry that can't reach the store
// learns of both from its peers.
func TestAnEvacuatedZoneGetsNothing(t *testing.T) {
	f := newFleet(t, 2)
	f.startWithoutStore()
	f.awaitReady()
	f.splitZones(imitator.ZoneB)
	for entry := range 3 {
		f.serveAll(entry, "before")
	}
	f.site.Evacuate(imitator.ZoneB)
	for entry := range 3 {
		require.Eventually(t, func() bool { return f.receivesNothing(entry, 1) }, waitTimeout, 20*time.Millisecond)
	}
	// Neither a newer configuration nor the loss of the operator's history may end the evacuation.
	f.site.Configure()
	f.site.CompactOperator()
	time.Sleep(200 * time.Millisecond)
	for entry := range 3 {
		require.True(t, f.receivesNothing(entry, 1))
	}
	f.site.EndEvacuation(imitator.ZoneB)
	f.site.CompactOperator()
	for entry := range 3 {
		require.Eventually(t, func() bool { return !f.receivesNothing(entry, 1) }, waitTimeout, 20*time.Millisecond)
	}
}

// An entry starts while a zone is evacuated. It must not send a single request there before it learns of the evacuation.
func TestANewEntryKnowsWhatIsEvacuated(t *testing.T) {
	f := newFleet(t, 1)
	f.splitZones(imitator.ZoneB)
	f.site.Evacuate(imitator.ZoneB)
	require.Eventually(t, func() bool { return f.receivesNothing(0, 1) }, waitTimeout, 20*time.Millisecond)
	before := f.workCount(1)
	nd := f.start("")
	require.Eventually(t, func() bool { return imitator.Ready(t.Context(), nd.ready) }, waitTimeout, time.Millisecond)
	f.serveAll(1, "new")
	require.Equal(t, before, f.workCount(1))
}

// All zones are evacuated. A request that no endpoint may serve must be refused at once with a retry time, instead of
// being held until its deadline.
func TestRequestsAreRefusedAtOnceWhenAllZonesAreEvacuated(t *testing.T) {
	f := newFleet(t, 1)
	f.splitZones(imitator.ZoneB)
	f.site.Evacuate(imitator.ZoneB)
	f.site.Evacuate(imitator.ZoneA)
	for _, path := range []string{imitator.PlainPath, imitator.OncePath, imitator.StreamPath, imitator.StagesPath} {
		var reply imitator.Response
		id := "all" + path
		require.Eventually(t, func() bool {
			began := time.Now()
			request := f.newRequest(0, path, id)
			request.Pieces = "3,5"
			reply = f.call(request)
			return reply.Status == http.StatusServiceUnavailable && time.Since(began) < time.Second
		}, waitTimeout, 20*time.Millisecond)
		require.NotEmpty(t, reply.RetryAfter, path)
	}
	f.site.EndEvacuation(imitator.ZoneA)
	require.Eventually(t, func() bool {
		return f.call(f.newRequest(0, imitator.PlainPath, "again")).Status == http.StatusOK
	}, waitTimeout, 20*time.Millisecond)
}

// A client account may be served in its home region only. Its requests and their pieces must not reach an endpoint of
// another region. If no endpoint of the home region can serve them, they must be refused with a retry time.
func TestRequestsStayInTheirHomes(t *testing.T) {
	f := newFleet(t, 1)
	f.splitZones(imitator.ZoneFar)
	f.site.Tenants[0]["AllowedRegions"] = []string{imitator.Region}
	f.site.Configure()
	require.Eventually(t, func() bool { return f.receivesNothing(0, 1) }, waitTimeout, 20*time.Millisecond)
	f.site.Evacuate(imitator.ZoneA)
	var reply imitator.Response
	require.Eventually(t, func() bool {
		reply = f.call(f.newRequest(0, imitator.OncePath, "home"))
		return reply.Status == http.StatusServiceUnavailable
	}, waitTimeout, 20*time.Millisecond)
	require.NotEmpty(t, reply.RetryAfter)
	f.site.Tenants[0]["AllowedRegions"] = []string{imitator.FarRegion}
	f.site.Configure()
	require.Eventually(t, func() bool {
		return f.call(f.newRequest(0, imitator.PlainPath, "far")).Status == http.StatusOK
	}, waitTimeout, 20*time.Millisecond)
	require.True(t, f.receivesNothing(0, 0))
}

// Guards against requests that run anywhere because the list of the regions that they may run in is empty.
func TestRequestsWithoutAnyAllowedRegionAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name     string
		restrict func(site *imitator.Site)
	}{
		{"empty list of the account", func(site *imitator.Site) { site.Tenants[0]["AllowedRegions"] = []string{} }},
		{"null for the account", func(site *imitator.Site) { site.Tenants[0]["AllowedRegions"] = nil }},
		{"empty name for the account", func(site *imitator.Site) { site.Tenants[0]["AllowedRegions"] = []string{""} }},
		{"empty lists of the routes", func(site *imitator.Site) {
			for _, route := range site.Routes {
				route["AllowedRegions"] = []string{}
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t, 1)
			// The region of this availability zone is unknown.
			f.splitZones("zone-without-region")
			tc.restrict(f.site)
			f.site.Configure()
			require.Eventually(t, func() bool {
				return f.call(f.newRequest(0, imitator.PlainPath, "before")).Status == http.StatusServiceUnavailable
			}, waitTimeout, 10*time.Millisecond)
			for _, path := range []string{imitator.PlainPath, imitator.StreamPath, imitator.StagesPath} {
				request := f.newRequest(0, path, "after")
				request.Pieces = "1,1"
				reply := f.call(request)
				require.Equal(t, http.StatusServiceUnavailable, reply.Status)
				require.NotEmpty(t, reply.RetryAfter)
			}
			require.Empty(t, f.runs("after"))
		})
	}
}

// One of two model endpoints becomes cold while three entries send load. If the entries chose it for its free capacity, it
// would receive all the load, crash, restart cold and crash again. Together they must stay within the load that it can
// handle, and still use it.
func TestAColdEndpointIsNotOverrun(t *testing.T) {
	f := newFleet(t, 3)
	const cold = "i-model-1"
	f.site.MakeCold(cold, "model", waitTimeout)
	for entry := range 3 {
		require.Eventually(t, func() bool { return f.metric(entry, "geraniumline_endpoints_cold") == "1" }, waitTimeout, 20*time.Millisecond)
	}
	f.site.Endpoint(cold).MakeCold(waitTimeout)
	var callers sync.WaitGroup
	for i := range 120 {
		callers.Go(func() {
			reply := f.call(f.newRequest(i%3, imitator.StreamPath, fmt.Sprintf("cold-%d", i)))
			require.Equal(t, http.StatusOK, reply.Status)
		})
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	require.False(t, f.site.Endpoint(cold).Overrun())
	require.Positive(t, f.site.Endpoint(cold).ColdArrivals())
}

// A stage's service has so many endpoints that its pieces are collected by zone. The pieces of each request must run in one
// zone, both zones must be used, and after the evacuation of one zone all pieces must run in the other.
func TestALargeServiceIsCollectedByZones(t *testing.T) {
	f := newFleet(t, 3)
	zones := map[string]string{}
	for i := range 50 {
		id := fmt.Sprintf("i-encode-more-%d", i)
		f.site.Zones[id] = []string{imitator.ZoneA, imitator.ZoneB}[i%2]
		f.site.Start(id, "encode", imitator.Stage)
	}
	for _, e := range f.site.Endpoints {
		zones[e.ID] = f.site.Zones[e.ID]
	}
	piecesByZone := func(attempt string) map[string]int {
		counts := map[string]int{}
		for _, e := range f.site.Endpoints {
			counts[zones[e.ID]] += len(e.PieceInputs(attempt, 0))
		}
		return counts
	}
	requestsByZone := func(name string) map[string]int {
		counts := map[string]int{}
		for i := range 12 {
			request := f.newRequest(i%3, imitator.StagesPath, fmt.Sprintf("%s-%d", name, i))
			request.Pieces = "6,2"
			require.Equal(t, http.StatusOK, f.call(request).Status)
			byZone := piecesByZone(request.ID)
			if len(byZone) == 1 || byZone[imitator.ZoneB] == 6 || byZone[imitator.ZoneB] == 0 {
				counts["whole"]++
			}
			if byZone[imitator.ZoneB] > 0 {
				counts[imitator.ZoneB]++
			} else {
				counts[imitator.ZoneA]++
			}
		}
		return counts
	}
	round := 0
	require.Eventually(t, func() bool {
		round++
		counts := requestsByZone(fmt.Sprint("both", round))
		return counts["whole"] == 12 && counts[imitator.ZoneA] > 0 && counts[imitator.ZoneB] > 0
	}, waitTimeout, 20*time.Millisecond)
	f.site.Evacuate(imitator.ZoneB)
	require.Eventually(t, func() bool {
		round++
		return requestsByZone(fmt.Sprint("one", round))[imitator.ZoneB] == 0
	}, waitTimeout, 20*time.Millisecond)
}
