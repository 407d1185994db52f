package forwarder

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/connector"
	"geraniumline/registrar"
	"geraniumline/selector"
)

// noWire is for tests that send nothing to endpoints.
type noWire struct{ Wire }

func (noWire) EncodePieces([]collector.Piece, time.Time) ([]byte, error) {
	return []byte("pieces"), nil
}
func (noWire) EncodeFree([]string) ([]byte, error) { return []byte("free"), nil }
func (noWire) PiecesTarget() string                { return "/pieces" }
func (noWire) FreeTarget() string                  { return "/free" }
func (noWire) InstanceHeader(string) http.Header   { return http.Header{} }

// mesh joins forwarders without a network. A cut entry's messages go nowhere.
type mesh struct {
	t     testing.TB
	nodes map[string]*Forwarder
	cut   map[string]bool
	sent  map[string]int
	// heard counts the heartbeats that came to each entry.
	heard map[string]int
	now   time.Time
	// deferred holds what is sent back until the round is over, where each message is to take a round.
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
		p.m.deferred = append(p.m.deferred, func() { target.takeMessage(p.name, message, now) })
		return
	}
	target.takeMessage(p.name, message, now)
}

// step lets model time pass, with the ticks and heartbeats of all entries that are not cut.
func (m *mesh) step(d time.Duration) {
	m.modelTime = true
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(tickEvery) {
		beats := m.now.Sub(m.beaten) >= heartbeatEvery
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
		require.NoError(t, f.TakeConfig([]byte("1"), "test", m.now))
		f.StoreHeard(m.now)
		f.ReplaceEndpoints(nil, 0, m.now)
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

func (m *mesh) reader(now time.Time) []string {
	var names []string
	for name, f := range m.nodes {
		if _, reads := f.ReadsEndpoints(now); reads {
			names = append(names, name)
		}
	}
	return names
}

func endpointAt(id string) registrar.Change {
	return registrar.Change{ID: id, Offset: 3, Endpoint: &registrar.Endpoint{ID: id, Service: "plain", Address: id + ":1"}}
}

// The entry that reads the store for all falls silent. The others must read for themselves before an endpoint's leaving
// is two seconds old, and stop when they are told again.
func TestOneEntryReadsTheStoreForAll(t *testing.T) {
	m := newMesh(t, 3)
	now := time.Now()
	require.Len(t, m.reader(now), 1, "all have just read the list")
	duty, _ := m.nodes["entry-0"].owner(readerDuty, nil)
	m.nodes[duty].TakeEndpoints([]registrar.Change{endpointAt("a")}, 0, 4, now)
	require.Equal(t, []string{duty}, m.reader(time.Now()))
	for _, f := range m.nodes {
		require.Equal(t, 1, f.selector.Count("plain"))
		from, _ := f.ReadsEndpoints(now)
		require.Equal(t, int64(4), from)
	}
	require.Len(t, m.reader(time.Now().Add(newsPatience-time.Millisecond)), 1)
	require.Len(t, m.reader(time.Now().Add(newsPatience+rankStep)), 2, "the next one first: if the store answers it, it tells the others")
	require.Len(t, m.reader(time.Now().Add(newsPatience+2*rankStep)), 3)

	m.nodes[duty].TakeEndpoints([]registrar.Change{{ID: "a", Offset: 9}}, 9, 10, time.Now())
	for name, f := range m.nodes {
		want := 1
		if name == duty {
			want = 0
		}
		require.Equal(t, want, f.selector.Count("plain"), "news after a gap are of no use")
	}
}

// The entry that reads for all is cut from the store while its peers still hear it. The next one takes the duty up, and
// what it reads must end the wait of all: each that reads for itself is a call more to a store that serves few.
func TestTheNextReaderTellsAll(t *testing.T) {
	m := newMesh(t, 9)
	duty, _ := m.nodes["entry-0"].owner(readerDuty, nil)
	later := time.Now().Add(newsPatience + rankStep)
	readers := m.reader(later)
	require.Len(t, readers, 2)
	for _, name := range readers {
		if name != duty {
			m.nodes[name].TakeEndpoints([]registrar.Change{endpointAt("a")}, 0, 4, later)
		}
	}
	for name, f := range m.nodes {
		require.Equal(t, 1, f.selector.Count("plain"), name)
	}
	require.Contains(t, m.reader(time.Now().Add(newsPatience+rankStep/2)), duty, "it asks on")
}

// Twenty entries, of which a few follow the configuration in the store. They are all cut from it without a word, and a
// key is withdrawn meanwhile. Others must take the duty up one after the other, and the word of the first that the store
// answers must be enough for all.
func TestAFewFollowTheConfiguration(t *testing.T) {
	m := newMesh(t, 20)
	now := time.Now()
	reading := func(now time.Time) (n int) {
		for _, f := range m.nodes {
			if f.ReadsConfig(now) {
				n++
			}
		}
		return n
	}
	for _, f := range m.nodes {
		f.ConfigHeard(now)
	}
	require.Equal(t, configReaders, reading(now))
	silent := now.Add(configSilence)
	require.Equal(t, configReaders+1, reading(silent))
	require.Equal(t, configReaders+3, reading(silent.Add(2*rankStep)))
	for _, f := range m.nodes {
		if f.rank(configDuty) == configReaders {
			f.ConfigHeard(now.Add(configSilence))
		}
	}
	m.beat(2)
	require.Equal(t, configReaders, reading(silent.Add(5*rankStep)), "one was answered")
}

// Six of 65 entries are on large VMs, which have the duties first. The configuration is followed by eight all the same, the two
// others being those that come next: where small VMs' entries shared ranks, 43 of them asked the store every four seconds, and
// all of them at once in its outages.
func TestSmallVMsTakeDutiesUpOneAfterTheOther(t *testing.T) {
	m := newMeshIn(t, 65, 3, func(name string) int {
		if len(name) == len("entry-0") && name <= "entry-5" {
			return 800
		}
		return 192
	})
	for range 8 {
		m.beat(1)
	}
	ranks := make(map[int]int)
	for _, f := range m.nodes {
		f.mu.Lock()
		ranks[f.rank(configDuty)]++
		f.mu.Unlock()
	}
	for rank := range 65 {
		require.Equal(t, 1, ranks[rank], "entries of rank %d", rank)
	}
}

// A stale read brings an older configuration, with a key that was withdrawn since.
func TestAConfigurationNeverGoesBack(t *testing.T) {
	m := newMesh(t, 1)
	f := m.nodes["entry-0"]
	require.NoError(t, f.TakeConfig([]byte("7"), "test", time.Now()))
	require.NoError(t, f.TakeConfig([]byte("5"), "peer", time.Now()))
	require.Equal(t, int64(7), f.Catalog().Version())
	require.Error(t, f.TakeConfig([]byte("garbage"), "peer", time.Now()))
	require.Equal(t, int64(7), f.Catalog().Version())
}

// The entry that collects pieces goes silent with an ask. The request's entry asks another one well inside an objective,
// and a second result of a piece is freed.
func TestPiecesAreAskedForElsewhereWhenTheCollectorIsSilent(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	m.cut[owner] = true
	a := asking.askPieces("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0, 1},
		Due:      time.Now().Add(time.Second),
		Deadline: time.Now().Add(10 * time.Second),
	})
	require.Equal(t, owner, a.owner)
	require.False(t, a.taken)
	asking.locked(func() []func() { return asking.checkAsks(time.Now().Add(heardLately + time.Millisecond)) })
	require.NotEqual(t, owner, a.owner)
	require.True(t, a.taken)

	first := carrier.PieceResult{Number: 0, Handle: "h0", Address: "x:1"}
	asking.TakeMessage(a.owner, &carrier.PieceResults{Service: "encode", Request: "r", Results: []carrier.PieceResult{first}})
	got := <-a.results
	require.Equal(t, "h0", got.Result.Handle)
	m.cut[owner] = false
	freed := m.sent["*carrier.PieceFree"]
	second := carrier.PieceResult{Number: 0, Handle: "h0-again", Address: "y:1"}
	asking.TakeMessage(owner, &carrier.PieceResults{Service: "encode", Request: "r", Results: []carrier.PieceResult{second}})
	require.Equal(t, freed+1, m.sent["*carrier.PieceFree"])
	require.Empty(t, a.results)
}

// A burst loads the entry that collects, and its word on an ask comes later than any before. Its peers hear it all the
// while. Asked in its place, a second one would fill the same endpoints, each turns calls away, and the burst is lost. Only
// when the word is late beyond any load, as where one way between the two is cut, another one is asked.
func TestALoadedCollectorKeepsItsAsks(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	m.cut[owner] = true
	sent := time.Now()
	a := asking.askPieces("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0, 1},
		Due:      sent.Add(time.Second),
		Deadline: sent.Add(10 * time.Second),
	})
	m.cut[owner] = false
	check := func(after time.Duration) {
		asking.locked(func() []func() { return asking.checkAsks(sent.Add(after)) })
	}
	for after := 10 * time.Millisecond; after < heardPatience; after += 10 * time.Millisecond {
		m.nodes[owner].detector.Tick(sent.Add(after))
		asking.detector.Receive(m.nodes[owner].detector.Heartbeat(sent.Add(after)), sent.Add(after))
		check(after)
		require.Equal(t, owner, a.owner, "after %v", after)
	}
	check(heardPatience + 10*time.Millisecond)
	require.NotEqual(t, owner, a.owner)
}

// The entry that collects loses power under load, and the asks that it leaves without a word are moved to the next one well
// before anybody believes that it is gone. That one must keep them, though another is still said to have the duty: given back
// and asked for at ever further entries, which gave them back too, they were collected by dozens at once, whose calls the
// endpoints turned away for five seconds.
func TestAsksOfADeadCollectorGoToOneOther(t *testing.T) {
	for _, n := range []int{9, 87} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			m := newMeshIn(t, n, 3, func(string) int { return 1000 })
			m.now = time.Now()
			m.step(time.Second)
			dead, _ := m.nodes["entry-0"].owner("encode", nil)
			collecting := make(map[string]bool)
			m.cut[dead] = true
			for i := range 40 {
				for name, f := range m.nodes {
					if name == dead {
						continue
					}
					f.locked(func() []func() { return f.begin(newAsk("encode", groupOf(name, i, m.now)), m.now) })
				}
				m.step(100 * time.Millisecond)
				for name, f := range m.nodes {
					if p, found := f.pools["encode"]; found && p.Waiting() > 0 && name != dead {
						collecting[name] = true
					}
				}
			}
			require.Len(t, collecting, 1, "collected at %v", slices.Sorted(maps.Keys(collecting)))
		})
	}
}

// groupOf is a group of one of an entry's requests.
func groupOf(origin string, i int, now time.Time) collector.Group {
	return collector.Group{
		ID:       collector.GroupID{Origin: origin, Request: fmt.Sprint(origin, i)},
		Segments: []int{0, 1},
		Due:      now.Add(time.Second),
		Deadline: now.Add(10 * time.Hour),
	}
}

func TestAddressesNameLiveEntries(t *testing.T) {
	m := newMesh(t, 3)
	addresses, ttl := m.nodes["entry-1"].Addresses("", "", time.Now())
	require.ElementsMatch(t, []string{"caller-entry-0", "caller-entry-1", "caller-entry-2"}, addresses)
	require.Equal(t, youngTTL, ttl, "a young entry may not know all yet")
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
		f.ReplaceEndpoints([]registrar.Change{endpointAt("a"), endpointAt("b")}, 5, now)
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
	choice, found := f.selector.Choose(selector.Ask{Service: "plain"}, now)
	if found {
		f.selector.Started(choice, nil, now)
	}
	return choice, found
}

// Duties go to large VMs while one lives: a small one would be late with the work of all.
func TestDutiesGoToLargeVMs(t *testing.T) {
	m := newMeshOf(t, 5, func(name string) int {
		if name == "entry-3" {
			return 800
		}
		return 100
	})
	m.beat(2)
	for _, f := range m.nodes {
		for _, duty := range []string{"a", "b", "c", "d"} {
			owner, known := f.owner(duty, nil)
			require.True(t, known)
			require.Equal(t, "entry-3", owner)
			owner, known = f.owner(duty, []string{"entry-3"})
			require.True(t, known)
			require.NotEqual(t, "entry-3", owner)
		}
	}
	require.Equal(t, 192, CapacityOf(0.192, 10))
	require.Equal(t, 50, CapacityOf(0.8, 1))
}

// The entry that collects stops and gives an ask back. The request's entry asks another one.
func TestPiecesAreAskedForElsewhereWhenTheCollectorStops(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	a := asking.askPieces("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0},
		Due:      time.Now().Add(time.Second),
		Deadline: time.Now().Add(10 * time.Second),
	})
	require.True(t, a.taken)
	stopping := m.nodes[owner]
	stopping.stopping.Store(true)
	stopping.heartbeat(time.Now())
	stopping.handOver(time.Now())
	require.False(t, stopping.collecting())
	require.True(t, a.moved)
	asking.locked(func() []func() { return asking.checkAsks(time.Now()) })
	require.NotEqual(t, owner, a.owner)
	require.True(t, a.taken)
	require.Empty(t, a.results)
}

// In a large fleet each entry tells a part of its peers in a round. All must
// still know of all after a few rounds.
func TestALargeFleetTellsAPartInEachRound(t *testing.T) {
	m := newMesh(t, 60)
	f := m.nodes["entry-0"]
	before := m.sent["*carrier.Heartbeat"]
	f.heartbeat(time.Now())
	require.LessOrEqual(t, m.sent["*carrier.Heartbeat"]-before, heartbeatsEachRound)
	m.beat(3)
	extra := 0
	for name, f := range m.nodes {
		require.Equal(t, 59, f.livePeers(), name)
		for f.retrier.Retry("plain", 1, time.Now()) {
			extra++
		}
	}
	require.LessOrEqual(t, extra, 60, "all together stay about the slack of 54")
}

// Words of the collecting entry take long under load. Its asks must not be placed elsewhere too: two entries would fill
// the same endpoints.
func TestSlowWordsDoNotMoveAsks(t *testing.T) {
	m := newMesh(t, 2)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	m.cut[owner] = true
	now := time.Now()
	for i := range 50 {
		a := asking.askPieces("encode", collector.Group{
			ID:       collector.GroupID{Origin: asking.cfg.Name, Request: fmt.Sprint(i)},
			Segments: []int{0},
			Deadline: now.Add(time.Minute),
		})
		taken := &carrier.PieceTaken{Service: "encode", Request: fmt.Sprint(i)}
		asking.locked(func() []func() { asking.takeTaken(owner, taken, a.sent.Add(140*time.Millisecond)); return nil })
	}
	a := asking.askPieces("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "last"},
		Segments: []int{0},
		Deadline: now.Add(time.Minute),
	})
	asking.locked(func() []func() { return asking.checkAsks(a.sent.Add(400 * time.Millisecond)) })
	require.Equal(t, owner, a.owner)
	asking.locked(func() []func() { return asking.checkAsks(a.sent.Add(time.Second)) })
	require.NotEqual(t, owner, a.owner)
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

// All entries have lost power and start again at about the same time. Until they hear each other, each would take itself
// for the one that collects, and nine of them fill five endpoints. Asks wait until a peer has been live for a moment, or a
// second is over.
func TestAsksWaitUntilANewEntryKnowsItsPeers(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	now := time.Now()
	asking.began = now
	asking.peerLiveAt = now
	a := asking.askPieces("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0},
		Deadline: now.Add(time.Minute),
	})
	require.True(t, a.held)
	require.False(t, a.taken)
	asking.locked(func() []func() { return asking.checkAsks(now.Add(calmTime / 2)) })
	require.True(t, a.held)
	asking.locked(func() []func() { return asking.checkAsks(now.Add(calmTime + time.Millisecond)) })
	require.False(t, a.held)
	require.Equal(t, owner, a.owner)
	require.True(t, a.taken)
	asking.peerLiveAt = time.Time{}
	require.True(t, asking.settling(now.Add(settleTime-time.Millisecond)), "alone")
	require.False(t, asking.settling(now.Add(settleTime)))
}

// An entry has collected while it did not know the one that has the duty. What still waits there must follow the duty, or
// two would fill the same endpoints for as long as the queue lasts.
func TestWaitingPiecesFollowTheDuty(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	other := m.other(owner)
	now := time.Now()
	group := collector.Group{
		ID:       collector.GroupID{Origin: other.cfg.Name, Request: "r"},
		Segments: []int{0},
		Deadline: now.Add(time.Minute),
	}
	a := other.askPieces("encode", group)
	other.locked(func() []func() {
		a.owner = other.cfg.Name
		return other.collect("encode", group, now)
	})
	require.True(t, other.collecting())
	other.locked(func() []func() { return other.handBack(now) })
	require.True(t, other.collecting(), "a peer may be back in a moment")
	other.locked(func() []func() { return other.handBack(now.Add(handBackAfter)) })
	require.False(t, other.collecting())
	require.True(t, a.moved)
	other.locked(func() []func() { return other.checkAsks(now.Add(handBackAfter)) })
	require.Equal(t, owner, a.owner)
}

// Three services, and VMs enough. One entry that collects for two of them has twice the work of a burst to do, and is late
// with both. Each service has a collecting entry of its own, the same by all views; where one is avoided the next one is
// free of the others' duties too, and with few VMs left duties are shared all the same.
func TestEachServiceHasItsOwnCollector(t *testing.T) {
	stage := &cataloger.StagePool{Slots: 1, Batch: 8, CallTime: time.Hour}
	services := []cataloger.Service{{Name: "a", Stage: stage}, {Name: "b", Stage: stage}, {Name: "c", Stage: stage}}
	catalog, err := cataloger.New(cataloger.Config{Version: 2, Services: services})
	require.NoError(t, err)
	for _, n := range []int{1, 2, 3, 9} {
		m := newMesh(t, n)
		owners := make(map[string]string)
		for name, f := range m.nodes {
			f.catalog = catalog
			f.duties.forget()
			for _, s := range services {
				owner, known := f.owner(s.Name, nil)
				require.True(t, known)
				if owners[s.Name] == "" {
					owners[s.Name] = owner
				}
				require.Equal(t, owners[s.Name], owner, "as %s sees it", name)
			}
			if n > len(services) {
				next, _ := f.owner("c", []string{owners["c"]})
				require.NotContains(t, []string{owners["a"], owners["b"], owners["c"]}, next)
			}
		}
		different := make(map[string]bool)
		for _, owner := range owners {
			different[owner] = true
		}
		require.Len(t, different, min(n, len(services)))
	}
}
