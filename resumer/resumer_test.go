package resumer

import (
	"iter"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// list returns a list of endpoints of one service with the given versions.
func list(versions ...string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for _, version := range versions {
			if !yield("model", version) {
				return
			}
		}
	}
}

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestKeysTellStreamsApart(t *testing.T) {
	key := KeyOf("account", "model", "attempt")
	require.Equal(t, key, KeyOf("account", "model", "attempt"))
	for _, other := range []Key{
		KeyOf("other", "model", "attempt"), KeyOf("account", "other", "attempt"), KeyOf("account", "model", "other"),
		KeyOf("accountmodel", "", "attempt"), KeyOf("account", "model", "attempt\x00"),
	} {
		require.NotEqual(t, key, other)
	}
}

func TestWindowCoversLongTimeouts(t *testing.T) {
	require.Equal(t, minWindow, Window(time.Second))
	require.Equal(t, 2*time.Minute, Window(time.Minute))
	require.Equal(t, MaxWindow, Window(time.Hour))
}

// Guards against streams that are resumed at another version than the one that began them: in each case that is refused some
// entry may have used another one.
func TestStreamsOfUnknownOriginResumeOnlyWithASingleVersion(t *testing.T) {
	single := View{Listed: true, Version: "v1", FullWindow: true, Fresh: true}
	restarted := View{Listed: true, Version: "v1", Fresh: true}
	stale := View{Listed: true, Version: "v1", FullWindow: true}
	several := View{Listed: true, Several: true, FullWindow: true, Fresh: true}
	another := View{Listed: true, Version: "v2", FullWindow: true, Fresh: true}
	scenarios := []struct {
		testName string
		own      View
		peers    []View
		resumes  bool
	}{
		{"seen for the whole window", single, nil, true},
		{"peers agree", single, []View{single, restarted}, true},
		{"restarted, a peer has seen the whole window", restarted, []View{restarted, single}, true},
		{"restarted, with peers that have restarted too", restarted, []View{restarted}, false},
		{"restarted alone", restarted, nil, false},
		{"stale list, a peer has a recent one", stale, []View{stale, single}, true},
		{"stale list, peers have no other", stale, []View{stale}, false},
		{"stale list, no peer answers", stale, nil, false},
		{"several versions", several, []View{single}, false},
		{"a peer has seen several", single, []View{single, several}, false},
		{"a peer has seen another one", single, []View{another}, false},
		{"restarted, a peer without an endpoint", restarted, []View{{FullWindow: true, Fresh: true}}, false},
		{"stale list, a peer without an endpoint", stale, []View{{FullWindow: true, Fresh: true}}, false},
		{"no endpoint listed", View{FullWindow: true, Fresh: true}, []View{single}, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var want Decision = UnknownOrigin{}
			if s.resumes {
				want = Resume{Version: "v1"}
			}
			require.Equal(t, want, Decide(s.own, s.peers))
		})
	}
}

func TestHistoryRemembersVersionsThatHaveGone(t *testing.T) {
	h := NewHistory(false)
	require.Equal(t, View{}, h.View("model", minWindow, start))
	h.Observe(list("v1", "v1"), at(0))
	require.Equal(t, View{Listed: true, Version: "v1"}, h.View("model", minWindow, at(29)))
	require.Equal(t, View{Listed: true, Version: "v1", FullWindow: true}, h.View("model", minWindow, at(30)))
	h.Observe(list("v1", "v2"), at(40))
	require.Equal(t, View{Listed: true, Several: true, FullWindow: true}, h.View("model", minWindow, at(41)))
	h.Observe(list("v2"), at(50))
	h.Observe(list("v2"), at(51))
	require.True(t, h.View("model", minWindow, at(80)).Several)
	require.Equal(t, View{Listed: true, Version: "v2", FullWindow: true}, h.View("model", minWindow, at(81)))
	require.True(t, h.View("model", time.Minute, at(81)).Several, "a longer window")
	require.Equal(t, View{FullWindow: true}, h.View("other", minWindow, at(81)))
}

// Guards against a version that replaces another one between two lists, of which each shows one version only.
func TestVersionsThatReplaceEachOtherAreSeveral(t *testing.T) {
	h := NewHistory(true)
	h.Observe(list("v1"), at(0))
	require.True(t, h.View("model", minWindow, at(1)).FullWindow, "no stream is older than the system")
	h.Observe(list("v2"), at(2))
	require.True(t, h.View("model", 0, at(2)).Several)
	require.True(t, h.View("model", minWindow, at(3)).Several)
}

func TestHistoryForgets(t *testing.T) {
	h := NewHistory(false)
	h.Observe(list("v1"), at(0))
	h.Observe(list(), at(1))
	later := at(2).Add(MaxWindow)
	h.Observe(list(), later)
	require.Empty(t, h.services)
}

func TestOriginsAreKeptForTheirTime(t *testing.T) {
	o := NewOrigins()
	require.True(t, o.Add(Origin{Key: 1, Version: "v1", Expires: at(10)}, at(0)))
	found, known := o.Find(1, at(10))
	require.True(t, known)
	require.Equal(t, "v1", found.Version)
	_, known = o.Find(1, at(11))
	require.False(t, known)
	_, known = o.Find(2, at(0))
	require.False(t, known)
	require.True(t, o.Add(Origin{Key: 2, Version: "v1", Expires: at(30)}, at(20)))
	require.Equal(t, 1, o.Len())
}

// Guards against resuming a stream although two entries name different versions for it, such as for an attempt whose ID
// a caller uses twice.
func TestContradictingOriginsAreDoubtful(t *testing.T) {
	o := NewOrigins()
	o.Add(Origin{Key: 1, Version: "v1", Expires: at(10), Own: true}, at(0))
	o.Add(Origin{Key: 1, Version: "v1", Expires: at(20)}, at(0))
	found, _ := o.Find(1, at(15))
	require.False(t, found.Doubtful)
	require.True(t, found.Own)
	o.Add(Origin{Key: 1, Version: "v2", Expires: at(10)}, at(1))
	found, _ = o.Find(1, at(2))
	require.True(t, found.Doubtful)
}

func TestOriginsAreBounded(t *testing.T) {
	o := NewOrigins()
	for key := range MaxOrigins {
		require.True(t, o.Add(Origin{Key: Key(key), Expires: at(1)}, at(0)))
	}
	require.False(t, o.Add(Origin{Key: MaxOrigins, Expires: at(9)}, at(0)))
	require.True(t, o.Add(Origin{Key: 1, Expires: at(9)}, at(0)))
	require.True(t, o.Add(Origin{Key: MaxOrigins, Expires: at(9)}, at(2)))
	require.Equal(t, 2, o.Len())
}
