package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
)

// Two callers wait for one running request, the second having joined it under the same key, and leave one after
// the other. As long as one waits, the request goes on and answers it. When the last has left, a repeatable
// request is cancelled, so that no endpoint works for nobody; one with side effects goes on, since its callers
// may ask for its outcome by the key.
func TestCallersLeave(t *testing.T) {
	for _, s := range []struct {
		testName string
		pipeline string
		leave    []int
		running  bool
	}{
		{"the first leaves", summary, []int{0}, true},
		{"the joined one leaves", summary, []int{1}, true},
		{"both leave, the first before", summary, []int{0, 1}, false},
		{"both leave, the joined one before", summary, []int{1, 0}, false},
		{"both leave a side effect", ticket, []int{0, 1}, true},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 1)
			held := true
			w.stage = func(call *endpointserver.StageCall) string {
				if call.Stage == "draft" && held {
					return "silent"
				}
				return ""
			}
			key := keyAt(w.now, 1)
			callers := []uint64{w.send(0, s.pipeline, key, "wall 7", deadline).id, 0}
			w.until("the stage runs", func() bool { return w.runs(key, "draft") > 0 })
			callers[1] = w.send(0, s.pipeline, key, "wall 7", deadline).id
			waiting := map[uint64]bool{callers[0]: true, callers[1]: true}
			for _, i := range s.leave {
				w.give(0, CallerDisconnected{ID: callers[i]})
				w.run(2 * stepTime)
				delete(waiting, callers[i])
			}
			require.Equal(t, s.running, w.nodes[0].core.Gauges().InFlight > 0)
			held = false
			w.run(2 * time.Second)
			for _, id := range callers {
				state, _, _ := w.ended(id)
				if waiting[id] {
					require.Equal(t, StateAnswered, state)
				} else {
					require.Equal(t, StateNone, state, "a caller that has left is sent nothing")
				}
			}
		})
	}
}
