package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
)

// A caller waits at one entry for a request that another serves. That one's process is killed and started again at
// once, so that no peer ever takes it for dead; the new process knows nothing of the request. The waiting caller
// must be told unknown when the new incarnation is heard, and not be held to its deadline.
func TestCallersOfAReplacedOwnerAreAnswered(t *testing.T) {
	w := serving(t, 3)
	key := keyAt(w.now, 1)
	w.stage = func(*endpointserver.StageCall) string { return "silent" }
	w.send(0, ticket, key, "wall 7", deadline)
	w.run(200 * time.Millisecond)
	waiting := w.send(1, ticket, key, "wall 7", deadline)
	w.run(50 * time.Millisecond)
	require.Empty(t, w.replies[waiting.id])
	w.kill(0)
	w.start(0)
	sent := w.now
	state, code, _ := w.awaitEnd(waiting.id)
	require.Equal(t, StateUnknown, state)
	require.Equal(t, CodeOwnerLost, code)
	require.Less(t, w.now.Sub(sent), time.Second)
}
