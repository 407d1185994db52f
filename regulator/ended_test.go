package regulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/locator"
	"geraniumline/registrar"
)

// positionAt returns a lookup of registrations that finds one at the given offset for each endpoint.
func positionAt(offset int64) func(string) (locator.Position, bool) {
	return func(string) (locator.Position, bool) { return locator.At(0, offset), true }
}

// Guards against an endpoint that stays out of use for ever because a process wrongly rejected a call.
func TestEndedEndpointReturns(t *testing.T) {
	for name, tc := range map[string]struct {
		registered int64
		after      time.Duration
		returns    bool
	}{
		"registration from before the answer": {registered: 6, after: endedTTL - 1},
		"registration after the answer":       {registered: 7, returns: true},
		"no news for a long time":             {registered: 6, after: endedTTL, returns: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegulator("entry", []string{"entry"})
			require.True(t, r.MarkEnded(&registrar.Endpoint{ID: "a"}, locator.At(0, 7), now))
			require.True(t, r.HasEnded("a"))
			ids := r.ReturnEnded(positionAt(tc.registered), now.Add(tc.after))
			require.Equal(t, tc.returns, len(ids) == 1)
			require.Equal(t, tc.returns, !r.HasEnded("a"))
		})
	}
}

// Guards against an end that outlives its process: another start of the endpoint must get calls at once.
func TestEndConcernsOneStart(t *testing.T) {
	started := time.UnixMilli(1000)
	r := newRegulator("entry", []string{"entry"})
	r.MarkEnded(&registrar.Endpoint{ID: "a", Started: started}, locator.At(0, 7), now)
	require.False(t, r.MarkEnded(&registrar.Endpoint{ID: "a", Started: started}, locator.At(0, 7), now), "a second answer is no news")
	r.Retain(listOf("a", started), now)
	require.Equal(t, []EndedEndpoint{{Endpoint: "a", Started: started, At: now}}, r.EndedEndpoints())
	r.Retain(listOf("a", started.Add(time.Second)), now)
	require.Zero(t, r.EndedCount())
}
