package cataloger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func route(name, prefix string) Route {
	return Route{Name: name, Host: "a.example", PathPrefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}}
}

func newCatalog(t *testing.T, cfg Config) *Catalog {
	t.Helper()
	c, err := New(cfg)
	require.NoError(t, err)
	return c
}

func TestMatchPrefersTheLongestPrefix(t *testing.T) {
	c := newCatalog(t, Config{Routes: []Route{route("short", "/a/"), route("long", "/a/b/")}})
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

func TestNewRejectsInvalidRoutes(t *testing.T) {
	bad := route("r", "/a/")
	bad.Stages = []Stage{{Service: "s", DependsOn: []int{0}}}
	_, err := New(Config{Routes: []Route{bad}})
	var stage *StageError
	require.ErrorAs(t, err, &stage)
	require.Equal(t, &StageError{Route: "r", Stage: 0, DependsOn: 0}, stage)

	_, err = New(Config{Routes: []Route{{Name: "empty"}}})
	var target *TargetError
	require.ErrorAs(t, err, &target)
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
	c := newCatalog(t, Config{Accounts: []Account{{Name: "small", Keys: []string{"k1", "k2"}}}})
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
			c := newCatalog(t, Config{Accounts: tc.accounts})
			_, known := c.Account(tc.key)
			require.False(t, known)
			var fault *AccountError
			require.NotEmpty(t, c.Faults())
			require.ErrorAs(t, c.Faults()[0], &fault)
			_, known = c.Account("usable")
			require.Equal(t, tc.accounts[0].Name != "", known)
		})
	}
	repeated := newCatalog(t, Config{Accounts: []Account{{Name: "a", Keys: []string{"k", "k"}}}})
	_, known := repeated.Account("k")
	require.True(t, known)
	require.Empty(t, repeated.Faults())
}

func TestCallDuration(t *testing.T) {
	p := StagePool{CallOverhead: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond}
	require.Equal(t, 278*time.Millisecond, p.CallDuration(8))
}
