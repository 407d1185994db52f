package forwarder

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/collector"
)

// The entry that collects pieces goes silent with a delegation. The request's entry asks another one well inside an objective,
// and a second result of a piece is freed.
func TestPiecesAreAskedForElsewhereWhenTheCollectorIsSilent(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	m.cut[owner] = true
	a := asking.delegate("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0, 1},
		Due:      time.Now().Add(time.Second),
		Deadline: time.Now().Add(10 * time.Second),
	})
	require.Equal(t, owner, a.owner)
	require.False(t, a.accepted)
	asking.withLock(func() []func() { return asking.checkDelegations(time.Now().Add(recentlyHeard + time.Millisecond)) })
	require.NotEqual(t, owner, a.owner)
	require.True(t, a.accepted)

	first := carrier.PieceResult{Number: 0, Handle: "h0", Address: "x:1"}
	asking.HandleMessage(a.owner, &carrier.PieceResults{Service: "encode", Request: "r", Results: []carrier.PieceResult{first}})
	got := <-a.results
	require.Equal(t, "h0", got.Result.Handle)
	m.cut[owner] = false
	freed := m.sent["*carrier.PieceFree"]
	second := carrier.PieceResult{Number: 0, Handle: "h0-again", Address: "y:1"}
	asking.HandleMessage(owner, &carrier.PieceResults{Service: "encode", Request: "r", Results: []carrier.PieceResult{second}})
	require.Equal(t, freed+1, m.sent["*carrier.PieceFree"])
	require.Empty(t, a.results)
}

// A burst loads the entry that collects, and its word on a delegation comes later than any before. Its peers hear it all the
// while. Asked in its place, a second one would fill the same endpoints, each turns calls away, and the burst is lost. Only
// when the word is late beyond any load, as where one way between the two is cut, another one is asked.
func TestALoadedCollectorKeepsItsAsks(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	m.cut[owner] = true
	sent := time.Now()
	a := asking.delegate("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0, 1},
		Due:      sent.Add(time.Second),
		Deadline: sent.Add(10 * time.Second),
	})
	m.cut[owner] = false
	check := func(after time.Duration) {
		asking.withLock(func() []func() { return asking.checkDelegations(sent.Add(after)) })
	}
	for after := 10 * time.Millisecond; after < liveAcceptTimeout; after += 10 * time.Millisecond {
		m.nodes[owner].detector.Tick(sent.Add(after))
		asking.detector.Receive(m.nodes[owner].detector.Heartbeat(sent.Add(after)), sent.Add(after))
		check(after)
		require.Equal(t, owner, a.owner, "after %v", after)
	}
	check(liveAcceptTimeout + 10*time.Millisecond)
	require.NotEqual(t, owner, a.owner)
}

// The entry that collects loses power under load, and the delegations that it leaves exclude a word are moved to the next one well
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
					f.withLock(func() []func() { return f.startDelegation(newDelegation("encode", groupOf(name, i, m.now)), m.now) })
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

// The entry that collects stops and gives a delegation back. The request's entry asks another one.
func TestPiecesAreAskedForElsewhereWhenTheCollectorStops(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	a := asking.delegate("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0},
		Due:      time.Now().Add(time.Second),
		Deadline: time.Now().Add(10 * time.Second),
	})
	require.True(t, a.accepted)
	stopping := m.nodes[owner]
	stopping.stopping.Store(true)
	stopping.heartbeat(time.Now())
	stopping.returnUnstartedPieces(time.Now())
	require.False(t, stopping.hasPendingPieces())
	require.True(t, a.moved)
	asking.withLock(func() []func() { return asking.checkDelegations(time.Now()) })
	require.NotEqual(t, owner, a.owner)
	require.True(t, a.accepted)
	require.Empty(t, a.results)
}

// Words of the collecting entry take long under load. Its delegations must not be placed elsewhere too: two entries would fill
// the same endpoints.
func TestSlowWordsDoNotMoveAsks(t *testing.T) {
	m := newMesh(t, 2)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	m.cut[owner] = true
	now := time.Now()
	for i := range 50 {
		a := asking.delegate("encode", collector.Group{
			ID:       collector.GroupID{Origin: asking.cfg.Name, Request: fmt.Sprint(i)},
			Segments: []int{0},
			Deadline: now.Add(time.Minute),
		})
		taken := &carrier.PieceAccepted{Service: "encode", Request: fmt.Sprint(i)}
		asking.withLock(func() []func() {
			asking.handlePieceAccepted(owner, taken, a.sent.Add(140*time.Millisecond))
			return nil
		})
	}
	a := asking.delegate("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "last"},
		Segments: []int{0},
		Deadline: now.Add(time.Minute),
	})
	asking.withLock(func() []func() { return asking.checkDelegations(a.sent.Add(400 * time.Millisecond)) })
	require.Equal(t, owner, a.owner)
	asking.withLock(func() []func() { return asking.checkDelegations(a.sent.Add(time.Second)) })
	require.NotEqual(t, owner, a.owner)
}

// All entries have lost power and start again at about the same time. Until they hear each other, each would take itself
// for the one that collects, and nine of them fill five endpoints. Asks wait until a peer has been live for a moment, or a
// second is over.
func TestAsksWaitUntilANewEntryKnowsItsPeers(t *testing.T) {
	m := newMesh(t, 3)
	owner, _ := m.nodes["entry-0"].owner("encode", nil)
	asking := m.other(owner)
	now := time.Now()
	asking.startTime = now
	asking.peerLiveAt = now
	a := asking.delegate("encode", collector.Group{
		ID:       collector.GroupID{Origin: asking.cfg.Name, Request: "r"},
		Segments: []int{0},
		Deadline: now.Add(time.Minute),
	})
	require.True(t, a.deferred)
	require.False(t, a.accepted)
	asking.withLock(func() []func() { return asking.checkDelegations(now.Add(stableTime / 2)) })
	require.True(t, a.deferred)
	asking.withLock(func() []func() { return asking.checkDelegations(now.Add(stableTime + time.Millisecond)) })
	require.False(t, a.deferred)
	require.Equal(t, owner, a.owner)
	require.True(t, a.accepted)
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
	a := other.delegate("encode", group)
	other.withLock(func() []func() {
		a.owner = other.cfg.Name
		return other.collectPieces("encode", group, now)
	})
	require.True(t, other.hasPendingPieces())
	other.withLock(func() []func() { return other.returnWaitingPieces(now) })
	require.True(t, other.hasPendingPieces(), "a peer may be back in a moment")
	other.withLock(func() []func() { return other.returnWaitingPieces(now.Add(returnPiecesAfter)) })
	require.False(t, other.hasPendingPieces())
	require.True(t, a.moved)
	other.withLock(func() []func() { return other.checkDelegations(now.Add(returnPiecesAfter)) })
	require.Equal(t, owner, a.owner)
}
