package cataloger

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bodyLimit is a configuration's limits without a fault.
var bodyLimit = Limits{BodyBytes: 7}

func route(name, prefix string) Route {
	return Route{Name: name, Host: "a.example", PathPrefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}}
}

func TestMatchPrefersTheLongestPrefix(t *testing.T) {
	c := New(Config{Routes: []Route{route("short", "/a/"), route("long", "/a/b/")}})
	for _, tc := range []struct{ name, host, path, want string }{
		{"longest", "a.example", "/a/b/c", "long"},
		{"shorter", "a.example", "/a/c", "short"},
		{"upper-case host with port", "A.Example:8080", "/a/c", "short"},
		{"other host", "b.example", "/a/c", ""},
		{"prefix without its trailing slash", "a.example", "/a", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, found := c.Match(tc.host, tc.path)
			require.Equal(t, tc.want != "", found)
			if found {
				require.Equal(t, tc.want, got.Name)
			}
		})
	}
}

func TestTargetFollowsTheWeights(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := 0
	for seed := range uint64(10_000) {
		require.Equal(t, r.Target(seed), r.Target(seed))
		if r.Target(seed) == "b" {
			n++
		}
	}
	require.InDelta(t, 1000, n, 150)
}

func TestFinalStagesHaveNoDependents(t *testing.T) {
	r := Route{Stages: []Stage{{}, {}, {DependsOn: []int{1}}, {DependsOn: []int{2}}}}
	require.Equal(t, []int{0, 3}, r.FinalStages([]int{2, 1, 6, 16}))
	require.Equal(t, []int{3}, r.FinalStages([]int{0, 1, 6, 16}))
	require.Equal(t, []int{0, 2}, r.FinalStages([]int{2, 1, 6, 0}))
}

// Guards against a route that can't be used and whose requests reach another service, or which keeps the rest of the
// configuration from coming into force.
func TestAnUnusableRouteRefusesItsRequests(t *testing.T) {
	stages := route("r", "/a/b/")
	stages.Stages = []Stage{{Service: "s", DependsOn: []int{0}}}
	undecodable := route("r", "/a/b/")
	undecodable.Fault = errors.New("wrong type")
	for _, tc := range []struct {
		name  string
		route Route
		want  error
	}{
		{"stage depends on itself", stages, &StageError{Route: "r", Stage: 0, DependsOn: 0}},
		{"no target", Route{Name: "r", Host: "a.example", PathPrefix: "/a/b/"}, &TargetError{Route: "r"}},
		{"no target with a weight", Route{Name: "r", Host: "a.example", PathPrefix: "/a/b/", Targets: []Target{{Service: "s"}}}, &TargetError{Route: "r"}},
		{"target without a name", Route{Name: "r", Host: "a.example", PathPrefix: "/a/b/", Targets: []Target{{Weight: 1}}}, &TargetError{Route: "r"}},
		{"negative weight", Route{Name: "r", Host: "a.example", PathPrefix: "/a/b/", Targets: []Target{{Service: "s", Weight: 2}, {Service: "t", Weight: -1}}}, &TargetError{Route: "r"}},
		{"undecodable", undecodable, undecodable.Fault},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(Config{Limits: bodyLimit, Routes: []Route{route("shorter", "/a/"), tc.route}, Accounts: []Account{{Name: "a", Keys: []string{"k"}}}})
			require.Equal(t, []error{tc.want}, c.Faults())
			got, found := c.Match("a.example", "/a/b/c")
			require.True(t, found)
			require.Equal(t, tc.want, got.Fault)
			usable, found := c.Match("a.example", "/a/c")
			require.True(t, found)
			require.NoError(t, usable.Fault)
			_, known := c.Account("k")
			require.True(t, known)
		})
	}
}

// Guards against a route that takes the requests of other routes because its host or path prefix is missing.
func TestARouteWithoutAHostOrPrefixMatchesNothing(t *testing.T) {
	withoutHost := route("r", "/a/")
	withoutHost.Host = ""
	for name, r := range map[string]Route{
		"no host": withoutHost, "no prefix": route("r", ""), "no slash at the end": route("r", "/a"), "no slash at the beginning": route("r", "a/"),
	} {
		t.Run(name, func(t *testing.T) {
			c := New(Config{Limits: bodyLimit, Routes: []Route{r}})
			for _, path := range []string{"/a/b", "/ab", "a/b", ""} {
				_, found := c.Match(r.Host, path)
				require.False(t, found)
			}
			var match *MatchError
			require.ErrorAs(t, c.Faults()[0], &match)
		})
	}
}

func TestRepeatable(t *testing.T) {
	for _, tc := range []struct {
		name  string
		route Route
		want  bool
	}{
		{"idempotent", Route{Kind: Idempotent}, true},
		{"not idempotent", Route{Kind: NonIdempotent, Resumable: true}, false},
		{"stream", Route{Kind: Streaming}, false},
		{"resumable stream", Route{Kind: Streaming, Resumable: true}, true},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, tc.route.Repeatable()) })
	}
}

func TestAccountsAreFoundByKey(t *testing.T) {
	c := New(Config{Accounts: []Account{{Name: "small", Keys: []string{"k1", "k2"}}}})
	require.True(t, c.RequiresKeys())
	a, known := c.Account("k2")
	require.True(t, known)
	require.Equal(t, "small", a.Name)
	_, known = c.Account("")
	require.False(t, known)
}

// Guards against a key that lets callers in without a key, or without exactly one account: an endpoint would run their
// requests for nobody, or for another account.
func TestKeysThatIdentifyNoAccountAdmitNobody(t *testing.T) {
	for _, tc := range []struct {
		name     string
		accounts []Account
		key      string
	}{
		{"empty key", []Account{{Name: "a", Keys: []string{""}}}, ""},
		{"account without a name", []Account{{Keys: []string{"k"}}}, "k"},
		{"key of two accounts", []Account{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}, "k"},
		{"key of three accounts", []Account{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}, {Name: "c", Keys: []string{"k"}}}, "k"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.accounts[0].Keys = append(tc.accounts[0].Keys, "usable")
			c := New(Config{Limits: bodyLimit, Accounts: tc.accounts})
			_, known := c.Account(tc.key)
			require.False(t, known)
			var fault *AccountError
			require.NotEmpty(t, c.Faults())
			require.ErrorAs(t, c.Faults()[0], &fault)
			_, known = c.Account("usable")
			require.Equal(t, tc.accounts[0].Name != "", known)
		})
	}
	repeated := New(Config{Limits: bodyLimit, Accounts: []Account{{Name: "a", Keys: []string{"k", "k"}}}})
	_, known := repeated.Account("k")
	require.True(t, known)
	require.Empty(t, repeated.Faults())
}

// Guards against bodies of any size, which an entry would hold in memory, if the configuration has no limit of them.
func TestBodiesAreBoundedWithoutAConfiguredLimit(t *testing.T) {
	for _, configured := range []int64{0, -1} {
		c := New(Config{Limits: Limits{BodyBytes: configured}})
		require.Equal(t, int64(DefaultBodyBytes), c.Limits().BodyBytes)
		var fault *LimitError
		require.ErrorAs(t, c.Faults()[0], &fault)
	}
	require.Equal(t, int64(7), New(Config{Limits: bodyLimit}).Limits().BodyBytes)
}

func TestCallDuration(t *testing.T) {
	p := StagePool{CallOverhead: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond}
	require.Equal(t, 278*time.Millisecond, p.CallDuration(8))
}
