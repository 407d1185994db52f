package reducer

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/claimer"
	"geraniumline/recorder"
)

// restoreLog replaces the log with an older copy, which lacks the records written after the given time.
func (w *world) restoreLog(since time.Time) {
	w.era++
	for stream, records := range w.streams {
		var kept []recorder.Record
		for _, r := range records {
			if r.AtMillis <= since.UnixMilli() {
				kept = append(kept, r)
			}
		}
		w.streams[stream] = kept
	}
}

// sideEffectRuns returns how often stages that must not be repeated ran for a key.
func (w *world) sideEffectRuns(key string) (n int) {
	for _, e := range w.ledger {
		if e.key == key && !e.repeatable {
			n++
		}
	}
	return n
}

// Guards against a second run of a request whose claim the log acknowledged and then lost: at an entry that is
// restarted, at one that has read the claim, and at one that has not.
func TestALostClaimIsNotRunAgain(t *testing.T) {
	for _, s := range []struct {
		testName string
		retry    func(w *world) int
	}{
		{"the entry that ran it", func(*world) int { return 0 }},
		{"an entry that has read the claim", func(*world) int { return 1 }},
		{"an entry that is restarted", func(w *world) int { w.start(1); return 1 }},
		{"all entries are restarted", func(w *world) int {
			for i := range w.nodes {
				w.start(i)
			}
			return 2
		}},
		{"an entry that was cut from the log", func(*world) int { return 2 }},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 3)
			w.nodes[2].noLog = true
			w.run(time.Second)
			copiedAt := w.now
			w.run(10 * time.Millisecond)
			key := keyAt(w.now, 1)
			a := w.send(0, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitResult(a.id)
			require.Equal(t, StateAnswered, state)
			require.Equal(t, 1, w.sideEffectRuns(key))
			w.restoreLog(copiedAt)
			i := s.retry(w)
			w.nodes[2].noLog = false
			w.run(3 * time.Second)
			again := w.send(i, ticket, key, "wall 7", deadline)
			state, code, text := w.awaitResult(again.id)
			require.Equal(t, 1, w.sideEffectRuns(key))
			require.NotEqual(t, StateNotRun, state, "the request has run; %s %s", code, text)
			// Keys created in the new era must be served.
			w.run(2 * claimer.MaxSkew)
			fresh := keyAt(w.now, 2)
			b := w.send(i, ticket, fresh, "wall 8", deadline)
			state, _, _ = w.awaitResult(b.id)
			require.Equal(t, StateAnswered, state)
			require.Equal(t, 1, w.sideEffectRuns(fresh))
		})
	}
}

// Guards against dispatching a claim that was being appended when the log was restored from an older copy: it must
// not run, whether it is recorded late or not at all, and its caller is answered at the deadline.
func TestClaimDuringLogRestore(t *testing.T) {
	w := newServingWorld(t, 2)
	w.run(time.Second)
	copiedAt := w.now
	key := keyAt(w.now, 1)
	w.appendMode = "lost"
	a := w.send(0, ticket, key, "wall 7", deadline)
	w.run(100 * time.Millisecond)
	w.appendMode = ""
	w.restoreLog(copiedAt)
	state, _, _ := w.awaitResult(a.id)
	require.NotEqual(t, StateAnswered, state)
	require.Zero(t, w.sideEffectRuns(key))
}

// Guards against a second restore of the log, which may lose the era marks written after the first one.
func TestLogRestoredTwice(t *testing.T) {
	w := newServingWorld(t, 3)
	w.run(time.Second)
	copiedAt := w.now
	w.run(10 * time.Millisecond)
	key := keyAt(w.now, 1)
	a := w.send(0, ticket, key, "wall 7", deadline)
	state, _, _ := w.awaitResult(a.id)
	require.Equal(t, StateAnswered, state)
	w.restoreLog(copiedAt)
	w.run(500 * time.Millisecond)
	w.restoreLog(copiedAt)
	w.start(1)
	w.run(3 * time.Second)
	again := w.send(1, ticket, key, "wall 7", deadline)
	state, _, _ = w.awaitResult(again.id)
	require.Equal(t, 1, w.sideEffectRuns(key))
	require.NotEqual(t, StateNotRun, state)
}

// Guards against a missing alarm when an entry skips changes because the log assigned their offsets a second time.
func TestConfigLogRestoreRaisesAlarm(t *testing.T) {
	w := newServingWorld(t, 2)
	w.run(time.Second)
	require.Empty(t, w.nodes[0].core.alarms(w.now))
	w.restoreLog(w.now)
	w.run(time.Second)
	require.Contains(t, strings.Join(w.nodes[0].core.alarms(w.now), "\n"), "older copy")
	w.start(0)
	w.run(time.Second)
	require.Empty(t, w.nodes[0].core.alarms(w.now))
}
