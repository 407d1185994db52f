package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
)

// A caller waits at one entry for a request that another entry serves. The serving process is killed and restarted
// at once, so no peer declares it dead; the new process has no record of the request. The waiting caller must be
// answered unknown when a message of the new incarnation arrives, and must not wait until its deadline.
func TestCallersOfReplacedOwnerAreAnswered(t *testing.T) {
	w := newServingWorld(t, 3)
	key := keyAt(w.now, 1)
	w.stageMode = func(*endpointserver.StageCall) string { return "silent" }
	w.send(0, ticket, key, "wall 7", deadline)
	w.run(200 * time.Millisecond)
	waiting := w.send(1, ticket, key, "wall 7", deadline)
	w.run(50 * time.Millisecond)
	require.Empty(t, w.replies[waiting.id])
	w.kill(0)
	w.start(0)
	sent := w.now
	state, code, _ := w.awaitResult(waiting.id)
	require.Equal(t, StateUnknown, state)
	require.Equal(t, CodeOwnerLost, code)
	require.Less(t, w.now.Sub(sent), time.Second)
}
