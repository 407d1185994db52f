package registrar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/locator"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// pos returns a position in a store that reports no era.
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

func TestDrainingAndRemovedEndpointsGetNoWork(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil), put("c", 2, nil)}, pos(3), start)
	require.Equal(t, []string{"a", "b", "c"}, ids(r))
	r.Apply([]Change{put("a", 3, func(e *Endpoint) { e.Draining = true }), {ID: "b", Position: pos(4)}}, pos(5), start)
	require.Equal(t, []string{"c"}, ids(r))
	require.Equal(t, pos(5), r.Next())
}

// The store is unavailable, and all registrations expire in it meanwhile. It recovers without them, and the
// endpoints, which were alive all the time, register again within two seconds. Requests that arrive in between must
// still find endpoints.
func TestRegistrationsExpiredDuringOutageAreKeptUntilRenewed(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil)}, pos(2), start)
	r.StoreUnavailable()
	r.StoreAvailable(at(8 * time.Second))
	r.Apply([]Change{{ID: "a", Position: pos(2)}, {ID: "b", Position: pos(3)}}, pos(4), at(8*time.Second))
	require.Equal(t, []string{"a", "b"}, ids(r), "they may still be running")
	r.Apply([]Change{put("a", 4, nil)}, pos(5), at(9*time.Second))
	require.False(t, r.Tick(at(10*time.Second)), "two seconds have not passed")
	require.True(t, r.Tick(at(8*time.Second+DefaultRecoveryGrace)))
	require.Equal(t, []string{"a"}, ids(r), "the one that did not register again must be removed")
}

// 216 endpoints write their registrations every 1.2 s, nearly always without news. The entry that reads the store for
// all others relays only significant changes. If it missed one, peers would send work to an endpoint that is leaving,
// or lack one that has returned.
func TestOnlyNewsIsTold(t *testing.T) {
	r := New(Config{})
	draining := func(e *Endpoint) { e.Draining = true }
	cold := func(e *Endpoint) { e.ColdUntil = at(time.Hour) }
	coldStill := func(e *Endpoint) { e.ColdUntil = at(time.Hour + coldTolerance) }
	later := func(e *Endpoint) { e.Started = at(time.Second) }
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil), put("c", 2, cold), {ID: "odd", Position: pos(3), Unusable: true}}, pos(4), start)
	none := []Change(nil)
	for name, c := range map[string]struct{ read, significant []Change }{
		"only a new count":                       {[]Change{put("a", 5, nil), put("c", 6, coldStill)}, none},
		"warm":                                   {[]Change{put("c", 5, nil)}, none},
		"cold":                                   {[]Change{put("b", 6, cold)}, []Change{put("b", 6, cold)}},
		"leaving":                                {[]Change{put("a", 5, draining)}, []Change{put("a", 5, draining)}},
		"removed":                                {[]Change{{ID: "b", Position: pos(5)}}, []Change{{ID: "b", Position: pos(5)}}},
		"new":                                    {[]Change{put("d", 5, nil)}, []Change{put("d", 5, nil)}},
		"started again":                          {[]Change{put("a", 5, later)}, []Change{put("a", 5, later)}},
		"unusable":                               {[]Change{{ID: "a", Position: pos(5), Unusable: true}}, []Change{{ID: "a", Position: pos(5), Unusable: true}}},
		"usable again":                           {[]Change{put("odd", 5, nil)}, []Change{put("odd", 5, nil)}},
		"removed and restored, only a new count": {[]Change{{ID: "a", Position: pos(5)}, put("b", 6, nil), put("a", 7, nil)}, []Change{{ID: "a", Position: pos(5)}, put("a", 7, nil)}},
	} {
		require.Equal(t, c.significant, r.SignificantChanges(c.read), name)
	}
	r.StoreUnavailable()
	r.Apply([]Change{{ID: "c", Position: pos(8)}}, pos(9), start)
	require.Equal(t, []Change{put("c", 10, nil)}, r.SignificantChanges([]Change{put("c", 10, nil)}), "its removal was uncertain")
}

// An endpoint crashes, and its address is assigned to a process of another service while the old registration still
// exists.
func TestAnAddressBelongsToItsNewestEndpoint(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	same := func(e *Endpoint) { e.Address = "10.0.0.1:80" }
	r.Apply([]Change{put("old", 0, same), put("new", 1, same)}, pos(2), start)
	require.Equal(t, []string{"new"}, ids(r))
}

// A stale read returns an older state: it must neither restore a removed endpoint nor cancel its draining.
func TestOlderChangesAreIgnored(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 7, func(e *Endpoint) { e.Draining = true })}, pos(8), start)
	r.Apply([]Change{put("a", 5, nil)}, pos(6), start)
	require.Empty(t, ids(r))
	r.Replace([]Change{put("a", 5, nil), put("b", 2, nil)}, pos(6), start)
	require.Empty(t, ids(r))
	require.Equal(t, pos(8), r.Next())
}

func TestListWithoutEndpointRemovesIt(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, nil)}, pos(2), start)
	r.Replace([]Change{put("b", 1, nil)}, pos(5), start)
	require.Equal(t, []string{"b"}, ids(r))
}

func TestChangesCanBeSentToPeer(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.Replace([]Change{put("a", 0, nil), put("b", 1, func(e *Endpoint) { e.Draining = true })}, pos(2), start)
	other := New(Config{})
	other.Replace(r.Changes(), r.Next(), at(time.Second))
	require.Equal(t, ids(r), ids(other))
	require.True(t, other.Loaded())
}

// Another writer stores an unreadable record under an endpoint's key. The endpoint must receive no calls until it
// writes its next record, whether the bad one arrived in a tail or in a complete list, and also while the store is
// unavailable, when merely missing registrations are kept. All other endpoints are unaffected.
func TestUnusableRegistrationAffectsOnlyItsEndpoint(t *testing.T) {
	bad := Change{ID: "a", Position: pos(2), Unusable: true}
	for _, tc := range []struct {
		name  string
		apply func(r *Registry)
	}{
		{"tail", func(r *Registry) { r.Apply([]Change{bad}, pos(3), start) }},
		{"whole list", func(r *Registry) { r.Replace([]Change{bad, put("b", 1, nil)}, pos(3), start) }},
		{"tail while the store is unavailable", func(r *Registry) { r.StoreUnavailable(); r.Apply([]Change{bad}, pos(3), start) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := New(Config{})
			r.StoreAvailable(start)
			r.Replace([]Change{put("a", 0, nil), put("b", 1, nil)}, pos(2), start)
			tc.apply(r)
			require.Equal(t, []string{"b"}, ids(r))
			other := New(Config{})
			other.Replace(r.Changes(), r.Next(), start)
			require.Equal(t, []string{"b"}, ids(other), "a peer must learn this too")
			r.Apply([]Change{put("a", 1, nil)}, pos(3), start)
			require.Equal(t, []string{"b"}, ids(r), "an older record must not restore it")
			r.Apply([]Change{put("a", 3, nil)}, pos(4), start)
			require.Equal(t, []string{"a", "b"}, ids(r))
		})
	}
}

// Another writer registers a healthy endpoint's address under a service that isn't configured. If that counted as the
// new owner of the address, the healthy endpoint would become unusable.
func TestRegistrationOfUnknownServiceEvictsNoEndpoint(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	r.SetServices([]string{"s"}, start)
	same := func(e *Endpoint) { e.Address = "10.0.0.1:80" }
	foreign := func(e *Endpoint) { same(e); e.Service = "nowhere" }
	r.Apply([]Change{put("sound", 0, same), put("foreign", 1, foreign)}, pos(2), start)
	require.Contains(t, ids(r), "sound")
	r.SetServices([]string{"s", "nowhere"}, start)
	require.Equal(t, []string{"foreign"}, ids(r), "a service that is configured later is accepted")
}

// An endpoint restarts under the same ID, and a record of its earlier incarnation, which was leaving, arrives after
// the first record of the new one. The new incarnation must keep receiving calls.
func TestLateRecordOfEarlierIncarnationIsIgnored(t *testing.T) {
	r := New(Config{})
	r.StoreAvailable(start)
	first := func(e *Endpoint) { e.Started = start; e.Draining = true }
	second := func(e *Endpoint) { e.Started = at(time.Second) }
	r.Apply([]Change{put("a", 0, second), put("a", 1, first)}, pos(2), start)
	require.Equal(t, []string{"a"}, ids(r))
	require.Equal(t, at(time.Second), r.Usable()[0].Started)
}
