package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/claimer"
	"geraniumline/endpointserver"
)

const deadline = 4 * time.Second

// holds tells whether an append to the claims stream holds a record of a kind.
func holds[T claimer.ClaimRecord](e Effect) bool {
	a, ok := e.(Append)
	if !ok || a.Stream != StreamClaims {
		return false
	}
	batch, err := claimer.Decode(a.Data)
	if err != nil {
		return false
	}
	for _, record := range batch.Records {
		if _, is := record.(T); is {
			return true
		}
	}
	return false
}

func callOf(stage string) func(Effect) bool {
	return func(e Effect) bool {
		call, ok := e.(*CallStage)
		return ok && call.Body.Stage == stage
	}
}

func isAnswer(e Effect) bool {
	_, ok := e.(SendAnswer)
	return ok
}

// The entry is killed at one step of a request that must not be repeated, just before or just after the step
// takes effect outside. Its caller's connection breaks, and it sends the same key to another entry.
// Only the log knows what the dead entry may have done: a claim without an outcome means that the stage may have
// run, so nobody may run it again; a claim that never landed can't have been dispatched.
func TestCrashBetweenSteps(t *testing.T) {
	for _, s := range []struct {
		testName string
		step     func(Effect) bool
		effect   bool
		want     State
		runs     int
	}{
		{"claim sent, lost", holds[claimer.Claim], false, StateAnswered, 1},
		{"claim sent, landed", holds[claimer.Claim], true, StateUnknown, 0},
		{"claim read back, first stage not sent", callOf("encode"), false, StateUnknown, 0},
		{"first stage dispatched", callOf("encode"), true, StateUnknown, 0},
		{"side effect not sent", callOf("log"), false, StateUnknown, 0},
		{"side effect dispatched", callOf("log"), true, StateUnknown, 1},
		{"stage answered, answer not sent", isAnswer, false, StateUnknown, 1},
		{"answer sent, outcome not recorded", holds[claimer.Outcome], false, StateUnknown, 1},
		{"outcome recorded", holds[claimer.Outcome], true, StateAnswered, 1},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 3)
			key := keyAt(w.now, 1)
			w.hook = func(f flight) bool {
				if w.nodes[0].dead && f.node == 0 {
					return false
				}
				if f.node != 0 || f.effect == nil || !s.step(f.effect) {
					return true
				}
				w.kill(0)
				return s.effect
			}
			w.send(0, ticket, key, "wall 7", deadline)
			w.until("the crash", func() bool { return w.nodes[0].dead })
			again := w.send(1, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitEnd(again.id)
			require.Equal(t, s.want, state)
			require.Less(t, w.now.Sub(again.sent), time.Second, "given up is told at once, not at the deadline")
			asked, _, _ := w.awaitEnd(w.ask(2, key))
			require.Equal(t, s.want, asked, "any entry tells the outcome")
			w.run(time.Second)
			late, _, _ := w.awaitEnd(w.send(2, ticket, key, "wall 7", deadline).id)
			require.Equal(t, s.want, late, "the owner is known to be dead")
			require.Equal(t, s.runs, w.runs(key, "log"))
			w.check()
		})
	}
}

// An entry stands still right after its claim landed, long enough to be taken for dead, while its caller sends
// the key to another entry and is told that the outcome is unknown. Then it wakes and may go on.
// It holds the key's only valid claim, so its run is the only one; the other entry has run nothing.
func TestFrozenEntryWakes(t *testing.T) {
	for _, s := range []struct {
		testName string
		frozen   time.Duration
		runs     int
	}{
		{"before the deadline", time.Second, 1},
		{"after the deadline", 2 * deadline, 0},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 3)
			key := keyAt(w.now, 1)
			w.hook = func(f flight) bool {
				if f.node == 0 && f.effect != nil && holds[claimer.Claim](f.effect) {
					w.nodes[0].frozen = true
				}
				return true
			}
			w.send(0, ticket, key, "wall 7", deadline)
			w.until("the freeze", func() bool { return w.nodes[0].frozen })
			w.hook = nil
			again := w.send(1, ticket, key, "wall 7", deadline)
			state, code, _ := w.awaitEnd(again.id)
			require.Equal(t, StateUnknown, state)
			require.Equal(t, CodeOwnerLost, code)
			w.run(s.frozen)
			w.nodes[0].frozen = false
			w.run(time.Second)
			require.Equal(t, s.runs, w.runs(key, "log"))
			w.check()
		})
	}
}

// An append's reply is lost, or the append itself. The entry can't tell which, so it asks the log: it runs the
// request if its claim is read back, and else gives it up while time is left, and says so.
func TestAppendUncertain(t *testing.T) {
	for _, s := range []struct {
		testName string
		mode     string
		want     State
		runs     int
	}{
		{"reply lost, claim landed", "lostReply", StateAnswered, 1},
		{"append lost", "lost", StateNotRun, 0},
		{"append refused", "refused", StateNotRun, 0},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 2)
			key := keyAt(w.now, 1)
			w.appendMode = s.mode
			a := w.send(0, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitEnd(a.id)
			require.Equal(t, s.want, state)
			require.Equal(t, s.runs, w.runs(key, "log"))
			if state == StateNotRun {
				require.Positive(t, w.replies[a.id][0].effect.(SendFailure).Failure.RetryAfter)
			}
			w.appendMode = ""
			w.run(5 * time.Second)
			again, _, _ := w.awaitEnd(w.send(1, ticket, key, "wall 7", deadline).id)
			require.Equal(t, StateAnswered, again, "the key can be tried again")
			require.Equal(t, 1, w.runs(key, "log"))
			w.check()
		})
	}
}

// A claim lands after its caller was told notRun: the log took the append long after the entry gave up.
// The entry never dispatches it and releases the key, so that a later try runs once.
func TestLateClaimIsReleased(t *testing.T) {
	w := serving(t, 2)
	key := keyAt(w.now, 1)
	var late []byte
	w.hook = func(f flight) bool {
		if f.effect != nil && late == nil && holds[claimer.Claim](f.effect) {
			late = f.effect.(Append).Data
			w.back(f, Appended{Stream: StreamClaims, BatchID: f.effect.(Append).BatchID, Result: claimer.AppendUncertain{}})
			return false
		}
		return true
	}
	first := w.send(0, ticket, key, "wall 7", time.Second)
	state, _, _ := w.awaitEnd(first.id)
	require.Equal(t, StateNotRun, state)
	w.land(StreamClaims, late)
	w.run(time.Second)
	require.Empty(t, w.ledger)
	again, _, _ := w.awaitEnd(w.send(1, ticket, key, "wall 7", deadline).id)
	require.Equal(t, StateAnswered, again)
	require.Equal(t, 1, w.runs(key, "log"))
	w.check()
}

// Two callers send one key to two entries at the same moment; both entries claim it, and log order decides.
// The loser asks the winner and gives its caller the winner's answer. With another body it refuses.
func TestSameKeyTwoEntries(t *testing.T) {
	for _, s := range []struct {
		testName string
		body     string
		want     State
		code     Code
	}{
		{"same body", "wall 7", StateAnswered, ""},
		{"another body", "wall 8", StateNotRun, CodeKeyReused},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 3)
			key := keyAt(w.now, 1)
			a := w.send(0, ticket, key, "wall 7", deadline)
			b := w.send(1, ticket, key, s.body, deadline)
			c := w.send(0, ticket, key, s.body, deadline)
			for _, id := range []uint64{b.id, c.id} {
				state, code, _ := w.awaitEnd(id)
				require.Equal(t, s.want, state)
				require.Equal(t, s.code, code)
			}
			state, _, _ := w.awaitEnd(a.id)
			require.Equal(t, StateAnswered, state)
			w.run(time.Second)
			later, code, _ := w.awaitEnd(w.send(2, ticket, key, s.body, deadline).id)
			require.Equal(t, s.want, later)
			require.Equal(t, s.code, code)
			require.Equal(t, 1, w.runs(key, "log"))
			if s.want == StateAnswered {
				w.check()
			}
		})
	}
}

// A key that can't be claimed for certain is refused before anything runs, with a code that tells why.
func TestKeysThatAreRefused(t *testing.T) {
	for _, s := range []struct {
		testName string
		key      func(time.Time) string
		want     State
		code     Code
	}{
		// Whether an old key ever ran is forgotten: notRun might be untrue.
		{"older than the horizon", func(now time.Time) string { return keyAt(now.Add(-testHorizon-time.Second), 1) }, StateUnknown, CodeKeyTooOld},
		{"from the future", func(now time.Time) string { return keyAt(now.Add(2*time.Minute), 1) }, StateNotRun, CodeKeyFromFuture},
		{"not a UUIDv7", func(time.Time) string { return "first-1" }, StateNotRun, CodeUnsupportedKey},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 1)
			state, code, _ := w.awaitEnd(w.send(0, ticket, s.key(w.now), "wall 7", deadline).id)
			require.Equal(t, s.want, state)
			require.Equal(t, s.code, code)
			w.run(time.Second)
			require.Empty(t, w.ledger)
		})
	}
}

// The log is down for ten minutes and appends hang. All through it a request that needs a claim is refused without any
// time passing, with when to come back, and repeatable requests are answered as before, 100 in 100. When the log is
// back, the last key that was refused can be run.
func TestLogOutage(t *testing.T) {
	w := serving(t, 2)
	w.logDown = true
	w.hook = func(f flight) bool {
		_, is := f.effect.(Append)
		return !is
	}
	w.run(100 * time.Millisecond)
	var key string
	for i := range uint16(20) {
		key = keyAt(w.now, i)
		refused := w.send(0, ticket, key, "wall 7", deadline)
		w.drain()
		require.Len(t, w.replies[refused.id], 1)
		failure := w.replies[refused.id][0].effect.(SendFailure).Failure
		require.Equal(t, CodeLogUnavailable, failure.Code)
		require.Equal(t, StateNotRun, failure.State)
		require.Positive(t, failure.RetryAfter)
		state, _, _ := w.awaitEnd(w.send(1, summary, keyAt(w.now, 100+i), "case 3", deadline).id)
		require.Equal(t, StateAnswered, state)
		w.run(30 * time.Second)
	}
	w.logDown, w.hook = false, nil
	w.run(5 * time.Second)
	state, _, _ := w.awaitEnd(w.send(0, ticket, key, "wall 7", deadline).id)
	require.Equal(t, StateAnswered, state)
	w.check()
}

// A request that is given up is answered by the event that gives it up: nothing holds an effect back.
// Where nothing ran and coming back helps, the answer says when.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for _, s := range []struct {
		testName string
		how      string
		want     State
		come     bool
	}{
		{"no endpoint takes it", "busy", StateNotRun, true},
		{"the side effect's reply is lost", "cutAfterRun", StateUnknown, false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 1)
			w.stage = func(call *endpointserver.StageCall) string {
				if s.how == "cutAfterRun" && call.Stage != "log" {
					return ""
				}
				return s.how
			}
			a := w.send(0, ticket, keyAt(w.now, 1), "wall 7", deadline)
			w.until("the last fault", func() bool { return len(w.replies[a.id]) > 0 })
			failure := w.replies[a.id][0].effect.(SendFailure).Failure
			require.Equal(t, s.want, failure.State)
			require.Less(t, w.now.Sub(a.sent), time.Second)
			if s.come {
				require.Positive(t, failure.RetryAfter)
			}
			w.run(deadline)
			w.check()
		})
	}
}

// An entry claims a key, runs its side effect and dies. Its caller sends the key to an entry that can't read the log
// and so has not seen the claim. It must not tell notRun: it asks the others first, and one of them may be the dead.
func TestRefusalOfKeyThatRanElsewhere(t *testing.T) {
	for _, s := range []struct {
		testName string
		others   bool
		dies     bool
		want     State
	}{
		{"another entry reads the log", true, true, StateUnknown},
		{"nobody else reads the log", false, true, StateUnknown},
		{"the owner still runs it", false, false, StateUnknown},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 3)
			w.nodes[1].noLog = true
			w.nodes[2].noLog = !s.others
			w.run(100 * time.Millisecond)
			key := keyAt(w.now, 1)
			w.stage = func(call *endpointserver.StageCall) string { return map[string]string{"log": "silent"}[call.Stage] }
			w.send(0, ticket, key, "wall 7", deadline)
			w.until("the side effect", func() bool { return w.runs(key, "log") == 1 })
			w.nodes[0].dead = s.dies
			again := w.send(1, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitEnd(again.id)
			require.Equal(t, s.want, state)
			require.Less(t, w.now.Sub(again.sent), 2*time.Second)
		})
	}
}
