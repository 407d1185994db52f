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
)

// deliver hands over what was sent in the round, but for a part that is lost.
func (m *mesh) deliver(loss float64, rnd *rand.Rand) {
	messages := m.deferred
	m.deferred = nil
	for _, deliver := range messages {
		if rnd.Float64() >= loss {
			deliver()
		}
	}
}

// newLossyMesh makes a mesh in three zones whose frames take a round, for deliver to lose some by the draws given back. Its
// entries know each other.
func newLossyMesh(t *testing.T, n int, stream uint64) (*mesh, *rand.Rand) {
	t.Helper()
	m := newMeshIn(t, n, 3, func(string) int { return 0 })
	m.defers, m.modelTime = true, true
	m.now = time.Now()
	rnd := rand.New(rand.NewPCG(uint64(n), stream))
	for range 4 {
		m.beat(1)
		m.deliver(0, rnd)
	}
	return m, rnd
}

// knowing counts the entries that take a zone for evacuated.
func (m *mesh) knowing(zone string) (n int) {
	for _, f := range m.nodes {
		if f.evacuator.Evacuated(zone) {
			n++
		}
	}
	return n
}

// The operator evacuates a zone, and the few entries that follow the store hear of it. Every other entry sends requests there
// until a heartbeat tells it, so that word must be everywhere well inside the time that the operator grants: at 95% of the
// entries a second after it is acknowledged, and shortRetryDelay at all where a tenth of the frames is lost.
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
			for ; m.knowing("z0") < n; rounds++ {
				if 100*m.knowing("z0") < 95*n {
					most = rounds + 1
				}
				require.Less(t, rounds, 20)
				m.beat(1)
				m.deliver(0.1, rnd)
			}
			t.Logf("%d entries: 95%% after %v, all after %v", n, time.Duration(most)*heartbeatInterval, time.Duration(rounds)*heartbeatInterval)
			require.LessOrEqual(t, time.Duration(most)*heartbeatInterval, time.Second)
			require.LessOrEqual(t, time.Duration(rounds)*heartbeatInterval, 2*time.Second)
		})
	}
}

// All entries have lost power, and the store is away when they are back. Nobody can serve before it answers, and a caller
// tries once more: told to come back at once it is refused twice. An entry that starts while the store answers has it back
// within a moment.
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

func TestHomesOfRouteAndAccountBothBind(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		route, account, want []string
	}{
		{"none", nil, nil, nil},
		{"the route's", []string{"a"}, nil, []string{"a"}},
		{"the account's", nil, []string{"b"}, []string{"b"}},
		{"both", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{"nothing in common", []string{"a"}, []string{"c"}, []string{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			route, account := &cataloger.Route{Homes: tc.route}, &cataloger.Account{Homes: tc.account}
			require.Equal(t, tc.want, allowedRegionsOf(route, account))
		})
	}
	require.Equal(t, []string{"a"}, allowedRegionsOf(&cataloger.Route{Homes: []string{"a"}}, nil))
}

// A caller asks where to connect. An entry outside the homes of its request's route and outside its own region must not get
// its body, so the caller is told those in its region, then those at home.
func TestAddressesAreNearestFirst(t *testing.T) {
	m := newMeshIn(t, 3, 3, func(string) int { return 0 })
	f := m.nodes["entry-0"]
	f.cfg.Regions = map[string]string{"z0": "east", "z1": "west", "z2": "north"}
	f.catalog, _ = cataloger.New(cataloger.Config{Version: 9, Routes: []cataloger.Route{{
		Name: "r", Host: "h.example", Targets: []cataloger.Target{{Service: "plain"}}, Homes: []string{"north"},
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
