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

// services are those of the stand-ins, each of which has two endpoints.
var services = []string{"plain", "model", "encode", "rank"}

// splitZones moves the second endpoint of each service to another zone.
func (f *fleet) splitZones(zone string) {
	for _, service := range services {
		f.site.Move(fmt.Sprintf("i-%s-1", service), service, zone)
	}
}

// work counts the requests and pieces that the endpoints of the number have got.
func (f *fleet) work(number int) (n int) {
	for _, service := range services {
		e := f.site.Endpoint(fmt.Sprintf("i-%s-%d", service, number))
		n += len(e.Runs()) + e.Pieces()
	}
	return n
}

// serveAll sends requests of each kind to an entry and requires that all are served.
func (f *fleet) serveAll(entry int, name string) {
	f.t.Helper()
	for i := range 4 {
		for _, path := range []string{imitator.PlainPath, imitator.StreamPath, imitator.StagesPath} {
			a := f.ask(entry, path, fmt.Sprintf("%s-%d%s", name, i, path))
			if path == imitator.StagesPath {
				a.Pieces = "3,5"
			}
			require.Equal(f.t, http.StatusOK, f.call(a).Status, path)
		}
	}
}

// idle tells whether the endpoints of a number get nothing of what is sent to an entry.
func (f *fleet) idle(entry, number int) bool {
	before := f.work(number)
	f.serveAll(entry, "idle")
	return f.work(number) == before
}

// The operator evacuates an availability zone and takes it back. Its endpoints must get neither requests nor pieces, while
// callers notice nothing; afterwards they are used again. An entry that can't reach the store hears of both from its peers.
func TestAnEvacuatedZoneGetsNothing(t *testing.T) {
	f := newFleet(t, 2)
	f.startCut()
	f.await()
	f.splitZones(imitator.ZoneB)
	for entry := range 3 {
		f.serveAll(entry, "before")
	}
	f.site.Evacuate(imitator.ZoneB)
	for entry := range 3 {
		require.Eventually(t, func() bool { return f.idle(entry, 1) }, forwardPatience, 20*time.Millisecond)
	}
	// A newer configuration and a forgotten history change nothing of it.
	f.site.Configure()
	f.site.CompactOperator()
	time.Sleep(200 * time.Millisecond)
	for entry := range 3 {
		require.True(t, f.idle(entry, 1))
	}
	f.site.EndEvacuation(imitator.ZoneB)
	f.site.CompactOperator()
	for entry := range 3 {
		require.Eventually(t, func() bool { return !f.idle(entry, 1) }, forwardPatience, 20*time.Millisecond)
	}
}

// An entry starts while a zone is evacuated. It must not serve a single request there before it has heard of it.
func TestANewEntryKnowsWhatIsEvacuated(t *testing.T) {
	f := newFleet(t, 1)
	f.splitZones(imitator.ZoneB)
	f.site.Evacuate(imitator.ZoneB)
	require.Eventually(t, func() bool { return f.idle(0, 1) }, forwardPatience, 20*time.Millisecond)
	before := f.work(1)
	nd := f.start("")
	require.Eventually(t, func() bool { return imitator.Ready(t.Context(), nd.ready) }, forwardPatience, time.Millisecond)
	f.serveAll(1, "new")
	require.Equal(t, before, f.work(1))
}

// All zones are evacuated. A request that nothing may serve is refused at once, truly, and its caller told when to come
// back; held until its deadline it could not.
func TestNothingIsHeldWhereAllIsEvacuated(t *testing.T) {
	f := newFleet(t, 1)
	f.splitZones(imitator.ZoneB)
	f.site.Evacuate(imitator.ZoneB)
	f.site.Evacuate(imitator.ZoneA)
	for _, path := range []string{imitator.PlainPath, imitator.OncePath, imitator.StreamPath, imitator.StagesPath} {
		var reply imitator.Response
		id := "all" + path
		require.Eventually(t, func() bool {
			began := time.Now()
			a := f.ask(0, path, id)
			a.Pieces = "3,5"
			reply = f.call(a)
			return reply.Status == http.StatusServiceUnavailable && time.Since(began) < time.Second
		}, forwardPatience, 20*time.Millisecond)
		require.NotEmpty(t, reply.RetryAfter, path)
	}
	f.site.EndEvacuation(imitator.ZoneA)
	require.Eventually(t, func() bool {
		return f.call(f.ask(0, imitator.PlainPath, "again")).Status == http.StatusOK
	}, forwardPatience, 20*time.Millisecond)
}

// A client account may be served at home only. Its requests and their pieces must not reach an endpoint of another region;
// where nothing at home can serve they are refused at once, and truly.
func TestRequestsStayInTheirHomes(t *testing.T) {
	f := newFleet(t, 1)
	f.splitZones(imitator.ZoneFar)
	f.site.Tenants[0]["AllowedRegions"] = []string{imitator.Region}
	f.site.Configure()
	require.Eventually(t, func() bool { return f.idle(0, 1) }, forwardPatience, 20*time.Millisecond)
	f.site.Evacuate(imitator.ZoneA)
	var reply imitator.Response
	require.Eventually(t, func() bool {
		reply = f.call(f.ask(0, imitator.OncePath, "home"))
		return reply.Status == http.StatusServiceUnavailable
	}, forwardPatience, 20*time.Millisecond)
	require.NotEmpty(t, reply.RetryAfter)
	f.site.Tenants[0]["AllowedRegions"] = []string{imitator.FarRegion}
	f.site.Configure()
	require.Eventually(t, func() bool {
		return f.call(f.ask(0, imitator.PlainPath, "far")).Status == http.StatusOK
	}, forwardPatience, 20*time.Millisecond)
	require.True(t, f.idle(0, 0))
}

// One of two model endpoints becomes cold under load that three entries send. Found empty it would get all of it, crash, come
// back cold and crash again. Between them the entries must stay within what it bears, and still use it.
func TestAColdEndpointIsNotOverrun(t *testing.T) {
	f := newFleet(t, 3)
	const cold = "i-model-1"
	f.site.MakeCold(cold, "model", forwardPatience)
	for entry := range 3 {
		require.Eventually(t, func() bool { return f.metric(entry, "geraniumline_endpoints_cold") == "1" }, forwardPatience, 20*time.Millisecond)
	}
	f.site.Endpoint(cold).MakeCold(forwardPatience)
	var callers sync.WaitGroup
	for i := range 120 {
		callers.Go(func() {
			reply := f.call(f.ask(i%3, imitator.StreamPath, fmt.Sprintf("cold-%d", i)))
			require.Equal(t, http.StatusOK, reply.Status)
		})
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	require.False(t, f.site.Endpoint(cold).Overrun())
	require.Positive(t, f.site.Endpoint(cold).ColdArrivals())
}

// A stage's service has so many endpoints that it is collected by zones. Each request's pieces are made in one zone, both zones
// are used, and an evacuation of one sends all to the other.
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
	made := func(attempt string) map[string]int {
		in := map[string]int{}
		for _, e := range f.site.Endpoints {
			in[zones[e.ID]] += len(e.PieceInputs(attempt, 0))
		}
		return in
	}
	used := func(name string) map[string]int {
		all := map[string]int{}
		for i := range 12 {
			a := f.ask(i%3, imitator.StagesPath, fmt.Sprintf("%s-%d", name, i))
			a.Pieces = "6,2"
			require.Equal(t, http.StatusOK, f.call(a).Status)
			in := made(a.ID)
			if len(in) == 1 || in[imitator.ZoneB] == 6 || in[imitator.ZoneB] == 0 {
				all["whole"]++
			}
			if in[imitator.ZoneB] > 0 {
				all[imitator.ZoneB]++
			} else {
				all[imitator.ZoneA]++
			}
		}
		return all
	}
	round := 0
	require.Eventually(t, func() bool {
		round++
		all := used(fmt.Sprint("both", round))
		return all["whole"] == 12 && all[imitator.ZoneA] > 0 && all[imitator.ZoneB] > 0
	}, forwardPatience, 20*time.Millisecond)
	f.site.Evacuate(imitator.ZoneB)
	require.Eventually(t, func() bool {
		round++
		return used(fmt.Sprint("one", round))[imitator.ZoneB] == 0
	}, forwardPatience, 20*time.Millisecond)
}
