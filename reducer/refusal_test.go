package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller sends a ticket to an entry, where it runs, and the same key to a second entry, which can't read the log
// (nor can a third) and so refuses it. If the answer were notRun, the caller would file the ticket again under
// another key, and two crews would come. The second entry has not read the first's claim; it must ask its peers,
// and answer unknown if a peer that may have served the key is gone.
func TestNotRunMeansKeyNeverRan(t *testing.T) {
	for _, s := range []struct {
		testName  string
		served    bool
		killOwner bool
		want      State
		code      Code
	}{
		{"no entry served it", false, false, StateNotRun, CodeLogUnavailable},
		{"served by a live entry", true, false, StateAnswered, ""},
		{"served by an entry that was lost", true, true, StateUnknown, CodeMayHaveRun},
		{"an entry was lost that may have served it", false, true, StateUnknown, CodeMayHaveRun},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 3)
			key := keyAt(w.now, 1)
			w.nodes[1].noLog, w.nodes[2].noLog = true, true
			w.run(2 * time.Second)
			if s.served {
				state, _, _ := w.awaitResult(w.send(0, ticket, key, "wall 7", deadline).id)
				require.Equal(t, StateAnswered, state)
			}
			if s.killOwner {
				w.kill(0)
				w.run(time.Second)
			}
			sent := w.now
			state, code, _ := w.awaitResult(w.send(1, ticket, key, "wall 7", deadline).id)
			require.Equal(t, s.want, state)
			require.Equal(t, s.code, code)
			require.LessOrEqual(t, w.now.Sub(sent), refusalQueryTimeout+stepTime, "a request that is given up must be answered at once")
			w.checkInvariants()
		})
	}
}

// A caller whose entry was lost sends its ticket again to a VM that has just been started. That entry has no
// configuration yet, so it can't determine whether the key has run, and notRun might be false. A key that can't
// have side effects is answered notRun.
func TestNotReadyEntryDoesNotAnswerNotRun(t *testing.T) {
	for _, s := range []struct {
		testName string
		key      func(now time.Time) string
		want     State
	}{
		{"key for side effects", func(now time.Time) string { return keyAt(now, 1) }, StateUnknown},
		{"other key", func(time.Time) string { return "first-1" }, StateNotRun},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newWorld(t, 1)
			state, code, _ := w.awaitResult(w.send(0, ticket, s.key(w.now), "wall 7", deadline).id)
			require.Equal(t, s.want, state)
			require.Equal(t, CodeNotReady, code)
		})
	}
}
