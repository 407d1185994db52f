package reducer

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/claimer"
	"geraniumline/recorder"
)

// returnLog has the log return from a copy that lacks the records since a time.
func (w *world) returnLog(since time.Time) {
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

// ticketRuns counts the runs of stages that must not be repeated, by key.
func (w *world) ticketRuns(key string) (n int) {
	for _, e := range w.ledger {
		if e.key == key && !e.repeatable {
			n++
		}
	}
	return n
}

// Guards against a second run of a request whose claim the log has acknowledged and lost: at an entry that starts anew, at one that has
// read the claim, and at one that has not.
func TestALostClaimIsNotRunAgain(t *testing.T) {
	for _, s := range []struct {
		testName string
		retry    func(w *world) int
	}{
		{"the entry that ran it", func(*world) int { return 0 }},
		{"an entry that has read the claim", func(*world) int { return 1 }},
		{"an entry that starts anew", func(w *world) int { w.start(1); return 1 }},
		{"all start anew", func(w *world) int {
			for i := range w.nodes {
				w.start(i)
			}
			return 2
		}},
		{"an entry that was cut from the log", func(*world) int { return 2 }},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 3)
			w.nodes[2].noLog = true
			w.run(time.Second)
			copied := w.now
			w.run(10 * time.Millisecond)
			key := keyAt(w.now, 1)
			a := w.send(0, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitEnd(a.id)
			require.Equal(t, StateAnswered, state)
			require.Equal(t, 1, w.ticketRuns(key))
			w.returnLog(copied)
			i := s.retry(w)
			w.nodes[2].noLog = false
			w.run(3 * time.Second)
			again := w.send(i, ticket, key, "wall 7", deadline)
			state, code, text := w.awaitEnd(again.id)
			require.Equal(t, 1, w.ticketRuns(key))
			require.NotEqual(t, StateNotRun, state, "it ran; %s %s", code, text)
			// Keys of the new era are served.
			w.run(2 * claimer.MaxSkew)
			fresh := keyAt(w.now, 2)
			b := w.send(i, ticket, fresh, "wall 8", deadline)
			state, _, _ = w.awaitEnd(b.id)
			require.Equal(t, StateAnswered, state)
			require.Equal(t, 1, w.ticketRuns(fresh))
		})
	}
}

// Guards against a claim that was under way when the log returned: whether it lands late, or not at all, it is not dispatched and its
// caller is told at the deadline.
func TestAClaimUnderWayWhileTheLogReturns(t *testing.T) {
	w := serving(t, 2)
	w.run(time.Second)
	copied := w.now
	key := keyAt(w.now, 1)
	w.appendMode = "lost"
	a := w.send(0, ticket, key, "wall 7", deadline)
	w.run(100 * time.Millisecond)
	w.appendMode = ""
	w.returnLog(copied)
	state, _, _ := w.awaitEnd(a.id)
	require.NotEqual(t, StateAnswered, state)
	require.Zero(t, w.ticketRuns(key))
}

// Guards against a second return of the log, which may lose the marks of the first one.
func TestTheLogReturnsTwice(t *testing.T) {
	w := serving(t, 3)
	w.run(time.Second)
	copied := w.now
	w.run(10 * time.Millisecond)
	key := keyAt(w.now, 1)
	a := w.send(0, ticket, key, "wall 7", deadline)
	state, _, _ := w.awaitEnd(a.id)
	require.Equal(t, StateAnswered, state)
	w.returnLog(copied)
	w.run(500 * time.Millisecond)
	w.returnLog(copied)
	w.start(1)
	w.run(3 * time.Second)
	again := w.send(1, ticket, key, "wall 7", deadline)
	state, _, _ = w.awaitEnd(again.id)
	require.Equal(t, 1, w.ticketRuns(key))
	require.NotEqual(t, StateNotRun, state)
}

// Guards against an operator who is not told that an entry passes over changes which the log has at offsets given out again.
func TestAReturnOfTheConfigurationsLogIsAnAlarm(t *testing.T) {
	w := serving(t, 2)
	w.run(time.Second)
	require.Empty(t, w.nodes[0].core.alarms(w.now))
	w.returnLog(w.now)
	w.run(time.Second)
	require.Contains(t, strings.Join(w.nodes[0].core.alarms(w.now), "\n"), "older copy")
	w.start(0)
	w.run(time.Second)
	require.Empty(t, w.nodes[0].core.alarms(w.now))
}
