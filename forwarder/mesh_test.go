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
	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/selector"
)

// noWire is for tests that send nothing to endpoints.
type noWire struct{ Wire }

func (noWire) EncodePieces([]collector.Piece, time.Time) ([]byte, error) {
	return []byte("pieces"), nil
}

func (noWire) EncodeFree([]string) ([]byte, error) { return []byte("free"), nil }

func (noWire) PiecesTarget() string { return "/pieces" }

func (noWire) FreeTarget() string { return "/free" }

func (noWire) InstanceHeader(string) http.Header { return http.Header{} }

// mesh joins forwarders exclude a network. A cut entry's messages go nowhere.
type mesh struct {
	t     testing.TB
	nodes map[string]*Forwarder
	cut   map[string]bool
	sent  map[string]int
	// heard counts the heartbeats that came to each entry.
	heard map[string]int
	now   time.Time
	// defers keeps what is sent in deferred until the round is over, where each message is to take a round.
	defers   bool
	deferred []func()
	// modelTime has messages taken at the mesh's own time, beaten is when it last let entries send heartbeats.
	modelTime bool
	beaten    time.Time
}

// port is one entry's way into the mesh.
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
		p.m.heard[address]++
	}
	now := time.Now()
	if p.m.modelTime {
		now = p.m.now
	}
	if p.m.defers {
		p.m.deferred = append(p.m.deferred, func() { target.handleMessage(p.name, message, now) })
		return
	}
	target.handleMessage(p.name, message, now)
}

// step lets model time pass, with the ticks and heartbeats of all entries that are not cut.
func (m *mesh) step(d time.Duration) {
	m.modelTime = true
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(tickInterval) {
		beats := m.now.Sub(m.beaten) >= heartbeatInterval
		if beats {
			m.beaten = m.now
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

// configOf makes a configuration whose text is its version.
func configOf(data []byte) (*cataloger.Catalog, error) {
	version, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return cataloger.New(cataloger.Config{Version: version, Services: []cataloger.Service{
		{Name: "encode", Stage: &cataloger.StagePool{Slots: 1, Batch: 8, CallTime: time.Hour, RoomBytes: 1 << 30, ResultTTL: time.Hour}},
		{Name: "plain"},
	}})
}

func newMesh(t testing.TB, n int) *mesh {
	t.Helper()
	return newMeshOf(t, n, func(string) int { return 0 })
}

// newMeshOf makes a mesh of entries on VMs of the given capacities, all in one zone.
func newMeshOf(t testing.TB, n int, capacity func(name string) int) *mesh {
	t.Helper()
	return newMeshIn(t, n, 1, capacity)
}

// newMeshIn makes a mesh of entries that are spread over so many availability zones.
func newMeshIn(t testing.TB, n, zones int, capacity func(name string) int) *mesh {
	t.Helper()
	m := &mesh{t: t, nodes: map[string]*Forwarder{}, cut: map[string]bool{}, sent: map[string]int{}, heard: map[string]int{}, now: time.Now()}
	for i := range n {
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
			Wire:          noWire{},
			Client:        connector.New(connector.Config{}),
			DecodeConfig:  configOf,
			Log:           zap.NewNop(),
		}, m.now.Add(-settleTime))
		f.SetSender(port{m, name})
		m.nodes[name] = f
		require.NoError(t, f.ApplyConfig([]byte("1"), "test", m.now))
		f.RecordStoreResponse(0, m.now)
		f.ReplaceEndpoints(nil, locator.At(0, 0), m.now)
	}
	m.beat(5)
	return m
}

// beat lets all entries send heartbeats, in each round at one time for all: whom an entry tells follows from the number of
// the round, which it takes from the time. Taken from the clock for each, 80 entries' heartbeats on a busy machine fall in
// several rounds.
func (m *mesh) beat(rounds int) {
	for range rounds {
		now := time.Now()
		if m.modelTime {
			m.now = m.now.Add(heartbeatInterval)
			now = m.now
		}
		for i := range len(m.nodes) {
			m.nodes[fmt.Sprintf("entry-%d", i)].heartbeat(now)
		}
	}
}

// other gives an entry that is not the named one.
func (m *mesh) other(name string) *Forwarder {
	for n, f := range m.nodes {
		if n != name {
			return f
		}
	}
	return nil
}

func endpointAt(id string) registrar.Change {
	return registrar.Change{ID: id, Position: locator.At(0, 3), Endpoint: &registrar.Endpoint{ID: id, Service: "plain", Address: id + ":1"}}
}

func TestAddressesNameLiveEntries(t *testing.T) {
	m := newMesh(t, 3)
	addresses, ttl := m.nodes["entry-1"].Addresses("", "", time.Now())
	require.ElementsMatch(t, []string{"caller-entry-0", "caller-entry-1", "caller-entry-2"}, addresses)
	require.Equal(t, startupTTL, ttl, "a young entry may not know all yet")
	m.nodes["entry-2"].stopping.Store(true)
	m.beat(1)
	addresses, ttl = m.nodes["entry-1"].Addresses("", "", m.now.Add(time.Minute))
	require.ElementsMatch(t, []string{"caller-entry-0", "caller-entry-1"}, addresses)
	require.Equal(t, time.Second, ttl)
}

func TestPeersWorkIsToldAndForgotten(t *testing.T) {
	m := newMesh(t, 2)
	now := time.Now()
	for _, f := range m.nodes {
		f.ReplaceEndpoints([]registrar.Change{endpointAt("a"), endpointAt("b")}, locator.At(0, 5), now)
	}
	choice, found := m.nodes["entry-0"].choosePlain()
	require.True(t, found)
	m.beat(1)
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
		f.selector.Started(choice, nil, now)
	}
	return choice, found
}

// In a large fleet each entry tells a part of its peers in a round. All must
// still know of all after a few rounds.
func TestALargeFleetTellsAPartInEachRound(t *testing.T) {
	m := newMesh(t, 60)
	f := m.nodes["entry-0"]
	before := m.sent["*carrier.Heartbeat"]
	f.heartbeat(time.Now())
	require.LessOrEqual(t, m.sent["*carrier.Heartbeat"]-before, heartbeatsPerRound)
	m.beat(3)
	extra := 0
	for name, f := range m.nodes {
		require.Len(t, f.liveAddresses(f.detector.Members()), 59, name)
		for f.retrier.Retry("plain", 1, time.Now()) {
			extra++
		}
	}
	require.LessOrEqual(t, extra, 60, "all together stay about the slack of 54")
}

// In a large fleet all entries send their heartbeats at about the same times. If all told the same peers in one round, each
// peer would hear nothing for the rounds between, suspect everybody, and callers would see pieces asked for anew at one
// entry after the other. In each round a peer must hear from some.
func TestEntriesTellDifferentPeersInARound(t *testing.T) {
	const entries = 80
	m := newMesh(t, entries)
	for range 4 {
		m.heard = map[string]int{}
		m.beat(1)
		for name := range m.nodes {
			require.Positive(t, m.heard[name], name)
		}
	}
}
