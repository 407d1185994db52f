package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/connector"
	"geraniumline/evacuator"
	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/retrier"
	"geraniumline/selector"
)

// noWire is for tests that send nothing to endpoints.
type noWire struct{ Wire }

func (noWire) EchoHeader() string { return "Attempt-Id" }

func (noWire) EncodePieces([]collector.Piece, time.Time) ([]byte, error) {
	return []byte("pieces"), nil
}

func (noWire) EncodeFree([]string) ([]byte, error) { return []byte("free"), nil }

func (noWire) PiecesTarget() string { return "/pieces" }

func (noWire) FreeTarget() string { return "/free" }

func (noWire) InstanceHeader(string) http.Header { return http.Header{} }

// mesh connects forwarders without a network. Messages to and from entries in cut are dropped.
type mesh struct {
	t     testing.TB
	nodes map[string]*Forwarder
	cut   map[string]bool
	sent  map[string]int
	// heartbeatsReceived counts the heartbeats that each entry received.
	heartbeatsReceived map[string]int
	now                time.Time
	// deferDelivery holds messages in deferred until the end of the round, so that each takes a round to arrive.
	deferDelivery bool
	deferred      []func()
	// simulatedTime makes messages arrive at the mesh's own time. lastHeartbeat is when step last sent heartbeats.
	simulatedTime bool
	lastHeartbeat time.Time
}

// port is one entry's connection to the mesh.
type port struct {
	m    *mesh
	name string
}

func (p port) Send(address string, message carrier.Message) {
	p.m.sent[fmt.Sprintf("%T", message)]++
	target, known := p.m.nodes[address]
	if !known || p.m.cut[p.name] || p.m.cut[address] {
		return
	}
	if _, ok := message.(*carrier.Heartbeat); ok {
		p.m.heartbeatsReceived[address]++
	}
	now := time.Now()
	if p.m.simulatedTime {
		now = p.m.now
	}
	if p.m.deferDelivery {
		p.m.deferred = append(p.m.deferred, func() { target.handleMessage(p.name, message, now) })
		return
	}
	target.handleMessage(p.name, message, now)
}

// step advances the simulated time, with the ticks and heartbeats of all entries that are not cut.
func (m *mesh) step(d time.Duration) {
	m.simulatedTime = true
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(tickInterval) {
		beats := m.now.Sub(m.lastHeartbeat) >= heartbeatInterval
		if beats {
			m.lastHeartbeat = m.now
		}
		for i := range len(m.nodes) {
			name := fmt.Sprintf("entry-%d", i)
			if m.cut[name] {
				continue
			}
			m.nodes[name].tick(m.now)
			if beats {
				m.nodes[name].heartbeat(m.now)
			}
		}
	}
}

// decodeTestConfig decodes a configuration whose text is its version.
func decodeTestConfig(data []byte) (*cataloger.Catalog, error) {
	version, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return cataloger.New(cataloger.Config{Version: version, Services: []cataloger.Service{
		{Name: "encode", Stage: &cataloger.StagePool{Slots: 1, Batch: 8, CallOverhead: time.Hour, ResultSpaceBytes: 1 << 30, ResultTTL: time.Hour}},
		{Name: "plain"},
	}}), nil
}

func newMesh(t testing.TB, n int) *mesh {
	t.Helper()
	return newMeshWithCapacity(t, n, func(string) int { return 0 })
}

// newMeshWithCapacity returns a mesh of entries on VMs of the given capacities, all in one zone.
func newMeshWithCapacity(t testing.TB, n int, capacity func(name string) int) *mesh {
	t.Helper()
	return newMeshInZones(t, n, 1, capacity)
}

// newMeshInZones returns a mesh of entries that are spread over the given number of availability zones.
func newMeshInZones(t testing.TB, n, zones int, capacity func(name string) int) *mesh {
	t.Helper()
	m := &mesh{t: t, nodes: map[string]*Forwarder{}, cut: map[string]bool{}, sent: map[string]int{}, heartbeatsReceived: map[string]int{}, now: time.Now()}
	for range n {
		m.add(zones, capacity)
	}
	m.sendHeartbeats(5)
	return m
}

// add starts another entry, in one of the availability zones in turn.
func (m *mesh) add(zones int, capacity func(name string) int) *Forwarder {
	m.t.Helper()
	i := len(m.nodes)
	name := fmt.Sprintf("entry-%d", i)
	f := New(Config{
		Name:          name,
		Zone:          fmt.Sprintf("z%d", i%zones),
		CallerAddress: "caller-" + name,
		PeerAddress:   name,
		Seeds:         []string{"entry-0"},
		Incarnation:   1,
		Capacity:      capacity(name),
		AddressTTL:    time.Second,
		RetryRatio:    0.2,
		RetrySlack:    54,
		FirstStart:    true,
		Wire:          noWire{},
		Client:        connector.New(connector.Config{}),
		DecodeConfig:  decodeTestConfig,
		Log:           zap.NewNop(),
	}, m.now.Add(-settleTime))
	f.SetSender(port{m, name})
	m.nodes[name] = f
	require.NoError(m.t, f.ApplyConfig([]byte("1"), "test", m.now))
	f.RecordStoreResponse(0, m.now)
	f.ReplaceEvacuations(evacuator.State{Next: locator.At(0, 1)}, m.now)
	f.ReplaceEndpoints(nil, locator.At(0, 0), m.now)
	return f
}

// sendHeartbeats sends the heartbeats of all entries. In each round all of them are sent at the same time: with the
// clock read for each entry, the heartbeats of 80 entries on a busy machine would fall in several rounds.
func (m *mesh) sendHeartbeats(rounds int) {
	for range rounds {
		now := time.Now()
		if m.simulatedTime {
			m.now = m.now.Add(heartbeatInterval)
			now = m.now
		}
		for i := range len(m.nodes) {
			m.nodes[fmt.Sprintf("entry-%d", i)].heartbeat(now)
		}
	}
}

// other returns an entry other than the named one.
func (m *mesh) other(name string) *Forwarder {
	for n, f := range m.nodes {
		if n != name {
			return f
		}
	}
	return nil
}

func endpointChange(id string) registrar.Change {
	return registrar.Change{ID: id, Position: locator.At(0, 3), Endpoint: &registrar.Endpoint{ID: id, Service: "plain", Address: id + ":1"}}
}

func TestAddressesListLiveEntries(t *testing.T) {
	m := newMesh(t, 3)
	addresses, ttl := m.nodes["entry-1"].Addresses("", "", time.Now())
	require.ElementsMatch(t, []string{"caller-entry-0", "caller-entry-1", "caller-entry-2"}, addresses)
	require.Equal(t, startupTTL, ttl, "a recently started entry may not know all peers")
	m.nodes["entry-2"].stopping.Store(true)
	m.sendHeartbeats(1)
	addresses, ttl = m.nodes["entry-1"].Addresses("", "", m.now.Add(time.Minute))
	require.ElementsMatch(t, []string{"caller-entry-0", "caller-entry-1"}, addresses)
	require.Equal(t, time.Second, ttl)
}

func TestLoadReportsAffectPeersChoice(t *testing.T) {
	m := newMesh(t, 2)
	now := time.Now()
	for _, f := range m.nodes {
		f.ReplaceEndpoints([]registrar.Change{endpointChange("a"), endpointChange("b")}, locator.At(0, 5), now)
	}
	choice, found := m.nodes["entry-0"].choosePlain()
	require.True(t, found)
	m.sendHeartbeats(1)
	other, found := m.nodes["entry-1"].choosePlain()
	require.True(t, found)
	require.NotEqual(t, choice.Endpoint.ID, other.Endpoint.ID)
}

// choosePlain begins a call as a request does.
func (f *Forwarder) choosePlain() (selector.Choice, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	choice, found := f.selector.Choose(selector.Query{Service: "plain"}, now)
	if found {
		f.selector.RecordStart(choice, nil, now)
	}
	return choice, found
}

// In a large fleet each entry sends to a part of its peers in a round. All must still know all others after a few
// rounds.
func TestLargeFleetSendsToPartOfPeersEachRound(t *testing.T) {
	m := newMesh(t, 60)
	f := m.nodes["entry-0"]
	before := m.sent["*carrier.Heartbeat"]
	f.heartbeat(time.Now())
	require.LessOrEqual(t, m.sent["*carrier.Heartbeat"]-before, heartbeatsPerRound)
	m.sendHeartbeats(3)
	extra := 0
	for name, f := range m.nodes {
		require.Len(t, f.liveAddresses(), 59, name)
		for f.retries.TakeRetry("plain", retrier.Pressing, time.Now()) {
			extra++
		}
	}
	require.LessOrEqual(t, extra, 60, "all entries together stay near the slack of 54")
}

// In a large fleet all entries send their heartbeats at about the same times. If all sent to the same peers in one
// round, each peer would hear nothing in the rounds between and suspect all others, and pieces would be delegated
// again to one entry after the other. In each round a peer must receive some heartbeats.
func TestEntriesSendToDifferentPeersInARound(t *testing.T) {
	const entries = 80
	m := newMesh(t, entries)
	for range 4 {
		m.heartbeatsReceived = map[string]int{}
		m.sendHeartbeats(1)
		for name := range m.nodes {
			require.Positive(t, m.heartbeatsReceived[name], name)
		}
	}
}
