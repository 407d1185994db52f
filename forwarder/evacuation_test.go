package forwarder

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/evacuator"
	"geraniumline/locator"
	"geraniumline/registrar"
)

// deliver delivers the messages of the round, except for a share that is lost at random.
func (m *mesh) deliver(loss float64, rnd *rand.Rand) {
	messages := m.deferred
	m.deferred = nil
	for _, deliver := range messages {
		if rnd.Float64() >= loss {
			deliver()
		}
	}
}

// newLossyMesh returns a mesh in three zones in which each frame takes a round to arrive, and the random source that
// deliver uses to lose frames. Its entries know each other.
func newLossyMesh(t *testing.T, n int, stream uint64) (*mesh, *rand.Rand) {
	t.Helper()
	m := newMeshInZones(t, n, 3, func(string) int { return 0 })
	m.deferDelivery, m.simulatedTime = true, true
	m.now = time.Now()
	rnd := rand.New(rand.NewPCG(uint64(n), stream))
	for range 4 {
		m.sendHeartbeats(1)
		m.deliver(0, rnd)
	}
	return m, rnd
}

// countEvacuated returns the number of entries that consider a zone evacuated.
func (m *mesh) countEvacuated(zone string) (n int) {
	for _, f := range m.nodes {
		if f.evacuator.Evacuated(zone) {
			n++
		}
	}
	return n
}

// The operator evacuates a zone, and the few entries that follow the store receive the record. Every other entry
// sends requests to the zone until a heartbeat reports it, so the report must reach all entries well inside the time
// that the operator grants: 95% of the entries a second after the acknowledgement, and all of them soon after while a
// tenth of the frames is lost.
func TestWordOfAnEvacuationIsEverywhereWithinASecond(t *testing.T) {
	for _, n := range []int{7, 65, 195, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			m, rnd := newLossyMesh(t, n, 1)
			for _, f := range m.nodes {
				if f.rank(configDuty) < configReaders {
					f.ApplyEvacuations([]evacuator.Change{{Zone: "z0", Position: locator.At(0, 7), Evacuated: true}}, locator.At(0, 8), m.now)
				}
			}
			rounds, most := 0, 0
			for ; m.countEvacuated("z0") < n; rounds++ {
				if 100*m.countEvacuated("z0") < 95*n {
					most = rounds + 1
				}
				require.Less(t, rounds, 20)
				m.sendHeartbeats(1)
				m.deliver(0.1, rnd)
			}
			t.Logf("%d entries: 95%% after %v, all after %v", n, time.Duration(most)*heartbeatInterval, time.Duration(rounds)*heartbeatInterval)
			require.LessOrEqual(t, time.Duration(most)*heartbeatInterval, time.Second)
			require.LessOrEqual(t, time.Duration(rounds)*heartbeatInterval, 2*time.Second)
		})
	}
}

// All entries restart after a power loss while the store is down. None can serve before it answers, and a caller
// retries once: with a short delay it is refused twice. An entry that starts while the store answers must return a
// short delay.
func TestCallersOfAnEntryWithoutTheStoreComeBackLater(t *testing.T) {
	now := time.Now()
	f := New(Config{Name: "entry-0", Log: zap.NewNop()}, now)
	require.Less(t, f.startupRetryDelay(now.Add(50*time.Millisecond)), time.Second)
	require.GreaterOrEqual(t, f.startupRetryDelay(now.Add(storeResponseTime)), storeOutageRetryDelay)
	f.RecordStoreFailure(errors.New("no answer"), now)
	require.GreaterOrEqual(t, f.startupRetryDelay(now.Add(50*time.Millisecond)), storeOutageRetryDelay)
	f.RecordStoreResponse(0, now)
	require.Less(t, f.startupRetryDelay(now.Add(50*time.Millisecond)), time.Second)
}

// Guards against an entry that serves evacuated zones because it has the configuration and the endpoints from a peer that
// has not yet told it which zones are evacuated.
func TestAnEntryServesOnlyOnceItKnowsTheEvacuatedZones(t *testing.T) {
	m := newMesh(t, 1)
	f := New(Config{Name: "new", Incarnation: 1, Wire: noWire{}, DecodeConfig: decodeTestConfig, Log: zap.NewNop()}, m.now)
	require.NoError(t, f.ApplyConfig([]byte("1"), "entry-0", m.now))
	f.ReplaceEndpoints([]registrar.Change{endpointChange("a")}, locator.At(0, 9), m.now)
	require.False(t, f.Ready())
	f.ReplaceEvacuations(evacuator.State{Next: locator.At(0, 4), Zones: []string{"z"}}, m.now)
	require.True(t, f.Ready())
}

func TestHomesOfRouteAndAccountBothBind(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		route, account, want []string
	}{
		{"none", nil, nil, nil},
		{"route only", []string{"a"}, nil, []string{"a"}},
		{"account only", nil, []string{"b"}, []string{"b"}},
		{"both", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{"nothing in common", []string{"a"}, []string{"c"}, []string{}},
		{"none allowed for the route", []string{}, []string{"c"}, []string{}},
		{"none allowed for the account", nil, []string{}, []string{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route, account := &cataloger.Route{AllowedRegions: tc.route}, &cataloger.Account{AllowedRegions: tc.account}
			require.Equal(t, tc.want, allowedRegionsOf(route, account))
		})
	}
	require.Equal(t, []string{"a"}, allowedRegionsOf(&cataloger.Route{AllowedRegions: []string{"a"}}, nil))
}

// Guards against addresses outside the caller's region and the home regions of the request's route: such an entry
// must not receive the body. Callers get the entries in their region first, then those in the home regions.
func TestAddressesAreNearestFirst(t *testing.T) {
	m := newMeshInZones(t, 3, 3, func(string) int { return 0 })
	f := m.nodes["entry-0"]
	f.cfg.Regions = map[string]string{"z0": "east", "z1": "west", "z2": "north"}
	f.catalog = cataloger.New(cataloger.Config{Version: 9, Routes: []cataloger.Route{{
		Name: "r", Host: "h.example", PathPrefix: "/", Targets: []cataloger.Target{{Service: "plain", Weight: 1}}, AllowedRegions: []string{"north"},
	}}})
	for _, tc := range []struct{ host, region, want string }{
		{"h.example", "west", "caller-entry-1"},
		{"h.example", "south", "caller-entry-2"},
	} {
		addresses, _ := f.Addresses(tc.host, tc.region, time.Now())
		require.Equal(t, []string{tc.want}, addresses)
	}
	addresses, _ := f.Addresses("other.example", "south", time.Now())
	require.Len(t, addresses, 3)
}
