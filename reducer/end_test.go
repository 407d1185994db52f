package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
)

// Two callers wait for one repeatable request under one key. The work is worth its cost as long as either listens;
// when both have left, an endpoint that works on would be lost to those who do.
func TestWorkEndsWithItsLastCaller(t *testing.T) {
	for _, s := range []struct {
		testName string
		leave    []int
		running  int
	}{
		{"the first leaves", []int{0}, 1},
		{"the second leaves", []int{1}, 1},
		{"both leave, the first first", []int{0, 1}, 0},
		{"both leave, the second first", []int{1, 0}, 0},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 1)
			w.stage = func(*endpointserver.StageCall) string { return "silent" }
			callers := []uint64{
				w.send(0, summary, "key", "wall 7", deadline).id,
				w.send(0, summary, "key", "wall 7", deadline).id,
			}
			w.run(50 * time.Millisecond)
			for _, i := range s.leave {
				w.give(0, CallerGone{ID: callers[i]})
			}
			require.Len(t, w.nodes[0].core.requests, s.running)
			if s.running == 0 {
				require.Empty(t, w.nodes[0].core.joined)
			}
		})
	}
}
