package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/locator"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// pos is a position in a store that tells no era.
func pos(offset int64) locator.Position { return locator.At(0, offset) }

func put(id string, offset int64, change func(e *Endpoint)) Change {
	e := &Endpoint{ID: id, Service: "s", Address: "addr-" + id, Zone: "z"}
	if change != nil {
		change(e)
	}
	return Change{ID: id, Position: pos(offset), Endpoint: e}
}

func ids(r *Registry) []string {
	list := []string{}
	for _, e := range r.Usable() {
		list = append(list, e.ID)
	}
	return list
}

func TestDrainingAndRemovedEndpointsTakeNoWork(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil), put("c", 2, nil)}, pos(3), start)
	require.Equal(t, []string{"a", "b", "c"}, ids(r))
	r.Apply([]Change{put("a", 3, func(e *Endpoint) { e.Draining = true }), {ID: "b", Position: pos(4)}}, pos(5), start)
	require.Equal(t, []string{"c"}, ids(r))
	require.Equal(t, pos(5), r.Next())
}

// The store goes away, and all entries lapse in it meanwhile. It comes back without them, and the endpoints, which
// lived all along, write theirs again within two seconds. Requests that come in between must still find endpoints.
func TestEntriesThatLapsedDuringAnOutageAreKeptUntilTheyAreBack(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil)}, pos(2), start)
	r.StoreUnavailable()
	r.StoreAvailable(at(8 * time.Second))
	r.Apply([]Change{{ID: "a", Position: pos(2)}, {ID: "b", Position: pos(3)}}, pos(4), at(8*time.Second))
	require.Equal(t, []string{"a", "b"}, ids(r), "they may live")
	r.Apply([]Change{put("a", 4, nil)}, pos(5), at(9*time.Second))
	require.False(t, r.Tick(at(10*time.Second)), "two seconds are not over")
	require.True(t, r.Tick(at(8*time.Second+DefaultRecoveryGrace)))
	require.Equal(t, []string{"a"}, ids(r), "the one that did not come back is gone")
}

// 216 endpoints write their entries every 1.2 s, nearly always with nothing new. The entry that reads for all tells only
// what is new; a list that misses any of that would send work to an endpoint that leaves, or lack one that came back.
func TestOnlyNewsIsTold(t *testing.T) {
	r := New(Config{})
	draining := func(e *Endpoint) { e.Draining = true }
	cold := func(e *Endpoint) { e.ColdUntil = at(time.Hour) }
	coldStill := func(e *Endpoint) { e.ColdUntil = at(time.Hour + coldAgain) }
	later := func(e *Endpoint) { e.Started = at(time.Second) }
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil), put("c", 2, cold), {ID: "odd", Position: pos(3), Unusable: true}}, pos(4), start)
	none := []Change(nil)
	for name, c := range map[string]struct{ read, news []Change }{
		"a count":                {[]Change{put("a", 5, nil), put("c", 6, coldStill)}, none},
		"warm":                   {[]Change{put("c", 5, nil)}, none},
		"cold":                   {[]Change{put("b", 6, cold)}, []Change{put("b", 6, cold)}},
		"leaving":                {[]Change{put("a", 5, draining)}, []Change{put("a", 5, draining)}},
		"removed":                {[]Change{{ID: "b", Position: pos(5)}}, []Change{{ID: "b", Position: pos(5)}}},
		"new":                    {[]Change{put("d", 5, nil)}, []Change{put("d", 5, nil)}},
		"started again":          {[]Change{put("a", 5, later)}, []Change{put("a", 5, later)}},
		"unusable":               {[]Change{{ID: "a", Position: pos(5), Unusable: true}}, []Change{{ID: "a", Position: pos(5), Unusable: true}}},
		"usable again":           {[]Change{put("odd", 5, nil)}, []Change{put("odd", 5, nil)}},
		"away and back, a count": {[]Change{{ID: "a", Position: pos(5)}, put("b", 6, nil), put("a", 7, nil)}, []Change{{ID: "a", Position: pos(5)}, put("a", 7, nil)}},
	} {
		require.Equal(t, c.news, r.SignificantChanges(c.read), name)
	}
	r.StoreUnavailable()
	r.Apply([]Change{{ID: "c", Position: pos(8)}}, pos(9), start)
	require.Equal(t, []Change{put("c", 10, nil)}, r.SignificantChanges([]Change{put("c", 10, nil)}), "its removal was in doubt")
}

// An endpoint crashes, and its address is given to a process of another service while the old entry still stands.
func TestAnAddressBelongsToItsNewestEndpoint(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	same := func(e *Endpoint) { e.Address = "10.0.0.1:80" }
	r.Apply([]Change{put("old", 0, same), put("new", 1, same)}, pos(2), start)
	require.Equal(t, []string{"new"}, ids(r))
}

// A stale read tells an older state: it must not bring a removed endpoint back, nor un-drain one.
func TestOlderWordIsDropped(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 7, func(e *Endpoint) { e.Draining = true })}, pos(8), start)
	r.Apply([]Change{put("a", 5, nil)}, pos(6), start)
	require.Empty(t, ids(r))
	r.Replace([]Change{put("a", 5, nil), put("b", 2, nil)}, pos(6), start)
	require.Empty(t, ids(r))
	require.Equal(t, pos(8), r.Next())
}

func TestAListWithoutAnEndpointRemovesIt(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil)}, pos(2), start)
	r.Replace([]Change{put("b", 1, nil)}, pos(5), start)
	require.Equal(t, []string{"b"}, ids(r))
}

func TestChangesCanBeHandedToAPeer(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, func(e *Endpoint) { e.Draining = true })}, pos(2), start)
	other := New(Config{})
	other.Replace(r.Changes(), r.Next(), at(time.Second))
	require.Equal(t, ids(r), ids(other))
	require.True(t, other.Loaded())
}

// Another writer puts something under an endpoint's key that can't be read. The endpoint gets no calls until its own next
// word, whether the record came in a tail or in a whole list, and also while the store is away, when entries that are
// merely missing are kept. All other endpoints go on.
func TestAnUnusableEntryNamesNoEndpointAndTheOthersHold(t *testing.T) {
	bad := Change{ID: "a", Position: pos(2), Unusable: true}
	for _, tc := range []struct {
		name string
		take func(r *Registry)
	}{
		{"tail", func(r *Registry) { r.Apply([]Change{bad}, pos(3), start) }},
		{"whole list", func(r *Registry) { r.Replace([]Change{bad, put("b", 1, nil)}, pos(3), start) }},
		{"tail while the store is away", func(r *Registry) { r.StoreUnavailable(); r.Apply([]Change{bad}, pos(3), start) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := New(Config{})
			r.StoreAvailable(start)
			r.Replace([]Change{put("a", 0, nil), put("b", 1, nil)}, pos(2), start)
			tc.take(r)
			require.Equal(t, []string{"b"}, ids(r))
			other := New(Config{})
			other.Replace(r.Changes(), r.Next(), start)
			require.Equal(t, []string{"b"}, ids(other), "a peer is told so too")
			r.Apply([]Change{put("a", 1, nil)}, pos(3), start)
			require.Equal(t, []string{"b"}, ids(r), "an older word does not bring it back")
			r.Apply([]Change{put("a", 3, nil)}, pos(4), start)
			require.Equal(t, []string{"a", "b"}, ids(r))
		})
	}
}

// Another writer's entry gives a sound endpoint's address and a service that nobody configured. Taken for a new owner of
// the address, it would put the sound endpoint out of use.
func TestAnEntryOfAnUnknownServiceTakesNoAddress(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.SetServices([]string{"s"}, start)
	same := func(e *Endpoint) { e.Address = "10.0.0.1:80" }
	foreign := func(e *Endpoint) { same(e); e.Service = "nowhere" }
	r.Apply([]Change{put("sound", 0, same), put("foreign", 1, foreign)}, pos(2), start)
	require.Contains(t, ids(r), "sound")
	r.SetServices([]string{"s", "nowhere"}, start)
	require.Equal(t, []string{"foreign"}, ids(r), "a service that is configured later is one")
}

// An endpoint starts again under its id, and a word of its earlier start, that it was leaving, arrives after the first one
// of the new start. The new one must go on getting calls.
func TestTheLateWordOfAnEarlierStartIsDropped(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	first := func(e *Endpoint) { e.Started = start; e.Draining = true }
	second := func(e *Endpoint) { e.Started = at(time.Second) }
	r.Apply([]Change{put("a", 0, second), put("a", 1, first)}, pos(2), start)
	require.Equal(t, []string{"a"}, ids(r))
	require.Equal(t, at(time.Second), r.Usable()[0].Started)
}
