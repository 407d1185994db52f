package collector

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a piece that crashes endpoints and takes the pieces of other requests in its calls with it.
func TestAPieceThatCrashesEndpointsGoesAlone(t *testing.T) {
	w := newSimulation(defaultStage(), 6)
	w.crashing["bad"] = true
	bad := w.arrive(0, "bad", 2, nil)
	var sound []GroupID
	for i := range 8 {
		sound = append(sound, w.arrive(time.Duration(i)*100*time.Millisecond, fmt.Sprintf("sound-%d", i), 2, nil))
	}
	w.run(8 * time.Second)
	for _, id := range sound {
		require.Equal(t, 2, w.resultCount(id), id.Request)
	}
	require.Equal(t, []Reason{CrashesEndpoints, CrashesEndpoints}, w.reasons(bad))
	crashed := 0
	for _, call := range w.calls {
		if slices.ContainsFunc(call.Pieces, func(p Piece) bool { return p.Request == "bad" }) {
			crashed++
		}
	}
	require.LessOrEqual(t, crashed, isolateAfterCrashes+1)
}

// Guards against calls that are split, and the endpoints' time that this costs, when endpoints crash by chance.
func TestPiecesInOneCrashedCallGoTogetherAgain(t *testing.T) {
	calls := func(outcome CallOutcome) int {
		w := newSimulation(defaultStage(), 3)
		w.outcomes["e0"] = outcome
		var all []GroupID
		for i := range 12 {
			all = append(all, w.arrive(time.Duration(i)*20*time.Millisecond, fmt.Sprintf("r%d", i), 2, nil))
		}
		w.run(4 * time.Second)
		for _, id := range all {
			require.Equal(t, 2, w.resultCount(id), id.Request)
		}
		return len(w.calls)
	}
	require.LessOrEqual(t, calls(Crashed), calls(Broken))
}
