package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
)

// Two callers wait for one running request, the second having joined it under the same key, and disconnect one
// after the other. While one of them waits, the request continues and answers it. When the last has disconnected,
// a repeatable request is cancelled, so that no endpoint works on an unused result; a request with side effects
// continues, because its callers may ask for its outcome by the key.
func TestCallersDisconnect(t *testing.T) {
	for _, s := range []struct {
		testName    string
		pipeline    string
		disconnect  []int
		wantRunning bool
	}{
		{"the first disconnects", summary, []int{0}, true},
		{"the joined one disconnects", summary, []int{1}, true},
		{"both disconnect, the first one first", summary, []int{0, 1}, false},
		{"both disconnect, the joined one first", summary, []int{1, 0}, false},
		{"both disconnect from a side effect", ticket, []int{0, 1}, true},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 1)
			silent := true
			w.stageMode = func(call *endpointserver.StageCall) string {
				if call.Stage == "draft" && silent {
					return "silent"
				}
				return ""
			}
			key := keyAt(w.now, 1)
			callers := []uint64{w.send(0, s.pipeline, key, "wall 7", deadline).id, 0}
			w.until("a run of the stage", func() bool { return w.runs(key, "draft") > 0 })
			callers[1] = w.send(0, s.pipeline, key, "wall 7", deadline).id
			waiting := map[uint64]bool{callers[0]: true, callers[1]: true}
			for _, i := range s.disconnect {
				w.deliver(0, CallerDisconnected{ID: callers[i]})
				w.run(2 * stepTime)
				delete(waiting, callers[i])
			}
			require.Equal(t, s.wantRunning, w.nodes[0].core.Gauges().InFlight > 0)
			silent = false
			w.run(2 * time.Second)
			for _, id := range callers {
				state, _, _ := w.result(id)
				if waiting[id] {
					require.Equal(t, StateAnswered, state)
				} else {
					require.Equal(t, StateNone, state, "a disconnected caller must be sent nothing")
				}
			}
		})
	}
}
