package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/claimer"
	"geraniumline/endpointserver"
)

const deadline = 4 * time.Second

// appendsRecord reports whether an effect appends a record of type T to the claims stream.
func appendsRecord[T claimer.ClaimRecord](e Effect) bool {
	a, ok := e.(Append)
	if !ok || a.Stream != StreamClaims {
		return false
	}
	batch, err := claimer.Decode(a.Data)
	if err != nil {
		return false
	}
	for _, record := range batch.Records {
		if _, ok := record.(T); ok {
			return true
		}
	}
	return false
}

func callsStage(stage string) func(Effect) bool {
	return func(e Effect) bool {
		call, ok := e.(*CallStage)
		return ok && call.Body.Stage == stage
	}
}

func isAnswer(e Effect) bool {
	_, ok := e.(SendAnswer)
	return ok
}

// The entry is killed at one step of a request that must not be repeated, just before or just after the step takes
// effect outside the process. Its caller loses the connection and sends the same key to another entry. Only the
// log records what the dead entry may have done: a claim without an outcome means that the stage may have run, so
// no entry may run it again; a claim that never reached the log can't have been dispatched.
func TestCrashBetweenSteps(t *testing.T) {
	for _, s := range []struct {
		testName string
		step     func(Effect) bool
		effect   bool
		want     State
		runs     int
	}{
		{"claim sent, lost", appendsRecord[claimer.Claim], false, StateAnswered, 1},
		{"claim sent, recorded", appendsRecord[claimer.Claim], true, StateUnknown, 0},
		{"claim read back, first stage not sent", callsStage("encode"), false, StateUnknown, 0},
		{"first stage dispatched", callsStage("encode"), true, StateUnknown, 0},
		{"side effect not sent", callsStage("log"), false, StateUnknown, 0},
		{"side effect dispatched", callsStage("log"), true, StateUnknown, 1},
		{"stage answered, answer not sent", isAnswer, false, StateUnknown, 1},
		{"answer sent, outcome not recorded", appendsRecord[claimer.Outcome], false, StateUnknown, 1},
		{"outcome recorded", appendsRecord[claimer.Outcome], true, StateAnswered, 1},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 3)
			key := keyAt(w.now, 1)
			w.hook = func(op pendingOp) bool {
				if w.nodes[0].dead && op.node == 0 {
					return false
				}
				if op.node != 0 || op.effect == nil || !s.step(op.effect) {
					return true
				}
				w.kill(0)
				return s.effect
			}
			w.send(0, ticket, key, "wall 7", deadline)
			w.until("a crash", func() bool { return w.nodes[0].dead })
			again := w.send(1, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitResult(again.id)
			require.Equal(t, s.want, state)
			require.Less(t, w.now.Sub(again.sent), time.Second, "a request that is given up must be answered at once, not at the deadline")
			queried, _, _ := w.awaitResult(w.queryOutcome(2, key))
			require.Equal(t, s.want, queried, "every entry must report the outcome")
			w.run(time.Second)
			late, _, _ := w.awaitResult(w.send(2, ticket, key, "wall 7", deadline).id)
			require.Equal(t, s.want, late, "the retry arrives after the owner was declared dead")
			require.Equal(t, s.runs, w.runs(key, "log"))
			w.checkInvariants()
		})
	}
}

// An entry freezes right after its claim was recorded, for long enough to be declared dead. Meanwhile its caller
// sends the key to another entry and is told that the outcome is unknown. Then the first entry resumes and may
// continue. It holds the key's only valid claim, so its run is the only one; the other entry has run nothing.
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
			w := newServingWorld(t, 3)
			key := keyAt(w.now, 1)
			w.hook = func(op pendingOp) bool {
				if op.node == 0 && op.effect != nil && appendsRecord[claimer.Claim](op.effect) {
					w.nodes[0].frozen = true
				}
				return true
			}
			w.send(0, ticket, key, "wall 7", deadline)
			w.until("a freeze", func() bool { return w.nodes[0].frozen })
			w.hook = nil
			again := w.send(1, ticket, key, "wall 7", deadline)
			state, code, _ := w.awaitResult(again.id)
			require.Equal(t, StateUnknown, state)
			require.Equal(t, CodeOwnerLost, code)
			w.run(s.frozen)
			w.nodes[0].frozen = false
			w.run(time.Second)
			require.Equal(t, s.runs, w.runs(key, "log"))
			w.checkInvariants()
		})
	}
}

// The reply to an append is lost, or the append itself. The entry can't distinguish the two, so it reads the log:
// it runs the request if it reads its claim back; otherwise it gives the request up before the deadline and
// answers notRun.
func TestAppendUncertain(t *testing.T) {
	for _, s := range []struct {
		testName string
		mode     string
		want     State
		runs     int
	}{
		{"reply lost, claim recorded", "lostReply", StateAnswered, 1},
		{"append lost", "lost", StateNotRun, 0},
		{"append refused", "refused", StateNotRun, 0},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 2)
			key := keyAt(w.now, 1)
			w.appendMode = s.mode
			a := w.send(0, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitResult(a.id)
			require.Equal(t, s.want, state)
			require.Equal(t, s.runs, w.runs(key, "log"))
			if state == StateNotRun {
				require.Positive(t, w.replies[a.id][0].effect.(SendFailure).Failure.RetryAfter)
			}
			w.appendMode = ""
			w.run(5 * time.Second)
			again, _, _ := w.awaitResult(w.send(1, ticket, key, "wall 7", deadline).id)
			require.Equal(t, StateAnswered, again, "a retry with the key must be answered")
			require.Equal(t, 1, w.runs(key, "log"))
			w.checkInvariants()
		})
	}
}

// A claim is recorded after its caller was answered notRun: the log accepted the append long after the entry had
// given up. The entry must not dispatch the request and must release the key, so that a later retry runs once.
func TestLateClaimIsReleased(t *testing.T) {
	w := newServingWorld(t, 2)
	key := keyAt(w.now, 1)
	var late []byte
	w.hook = func(op pendingOp) bool {
		if op.effect != nil && late == nil && appendsRecord[claimer.Claim](op.effect) {
			late = op.effect.(Append).Data
			w.respond(op, Appended{Stream: StreamClaims, BatchID: op.effect.(Append).BatchID, Result: claimer.AppendUncertain{}})
			return false
		}
		return true
	}
	first := w.send(0, ticket, key, "wall 7", time.Second)
	state, _, _ := w.awaitResult(first.id)
	require.Equal(t, StateNotRun, state)
	w.commit(StreamClaims, late)
	w.run(time.Second)
	require.Empty(t, w.ledger)
	again, _, _ := w.awaitResult(w.send(1, ticket, key, "wall 7", deadline).id)
	require.Equal(t, StateAnswered, again)
	require.Equal(t, 1, w.runs(key, "log"))
	w.checkInvariants()
}

// Two callers send one key to two entries at the same moment. Both entries claim it, and the order of the log
// decides. The losing entry asks the winner and passes the winner's answer to its caller. If the bodies differ, it
// refuses the request.
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
			w := newServingWorld(t, 3)
			key := keyAt(w.now, 1)
			a := w.send(0, ticket, key, "wall 7", deadline)
			b := w.send(1, ticket, key, s.body, deadline)
			c := w.send(0, ticket, key, s.body, deadline)
			for _, id := range []uint64{b.id, c.id} {
				state, code, _ := w.awaitResult(id)
				require.Equal(t, s.want, state)
				require.Equal(t, s.code, code)
			}
			state, _, _ := w.awaitResult(a.id)
			require.Equal(t, StateAnswered, state)
			w.run(time.Second)
			later, code, _ := w.awaitResult(w.send(2, ticket, key, s.body, deadline).id)
			require.Equal(t, s.want, later)
			require.Equal(t, s.code, code)
			require.Equal(t, 1, w.runs(key, "log"))
			if s.want == StateAnswered {
				w.checkInvariants()
			}
		})
	}
}

// A key whose claim can't be decided is refused before anything runs, with a code that states the reason.
func TestKeysThatAreRefused(t *testing.T) {
	for _, s := range []struct {
		testName string
		key      func(time.Time) string
		want     State
		code     Code
	}{
		// The claims of old keys are no longer stored, so notRun might be false.
		{"older than the horizon", func(now time.Time) string { return keyAt(now.Add(-testHorizon-time.Second), 1) }, StateUnknown, CodeKeyTooOld},
		{"from the future", func(now time.Time) string { return keyAt(now.Add(2*time.Minute), 1) }, StateNotRun, CodeKeyFromFuture},
		{"not a UUIDv7", func(time.Time) string { return "first-1" }, StateNotRun, CodeUnsupportedKey},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 1)
			state, code, _ := w.awaitResult(w.send(0, ticket, s.key(w.now), "wall 7", deadline).id)
			require.Equal(t, s.want, state)
			require.Equal(t, s.code, code)
			w.run(time.Second)
			require.Empty(t, w.ledger)
		})
	}
}

// The log is down for ten minutes and appends hang. Throughout the outage, a request that needs a claim is refused
// immediately with a retry delay, and repeatable requests are answered as before, 100 in 100. After the outage,
// the last key that was refused can be run.
func TestLogOutage(t *testing.T) {
	w := newServingWorld(t, 2)
	w.logDown = true
	w.hook = func(op pendingOp) bool {
		_, ok := op.effect.(Append)
		return !ok
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
		state, _, _ := w.awaitResult(w.send(1, summary, keyAt(w.now, 100+i), "case 3", deadline).id)
		require.Equal(t, StateAnswered, state)
		w.run(30 * time.Second)
	}
	w.logDown, w.hook = false, nil
	w.run(5 * time.Second)
	state, _, _ := w.awaitResult(w.send(0, ticket, key, "wall 7", deadline).id)
	require.Equal(t, StateAnswered, state)
	w.checkInvariants()
}

// A request that is given up is answered by the event that makes the entry give it up: no effect is delayed. If
// nothing ran and a retry may succeed, the answer contains a retry delay.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for _, s := range []struct {
		testName       string
		mode           string
		want           State
		wantRetryAfter bool
	}{
		{"no endpoint accepts it", "busy", StateNotRun, true},
		{"the side effect's reply is lost", "cutAfterRun", StateUnknown, false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 1)
			w.stageMode = func(call *endpointserver.StageCall) string {
				if s.mode == "cutAfterRun" && call.Stage != "log" {
					return ""
				}
				return s.mode
			}
			a := w.send(0, ticket, keyAt(w.now, 1), "wall 7", deadline)
			w.until("an answer after the last fault", func() bool { return len(w.replies[a.id]) > 0 })
			failure := w.replies[a.id][0].effect.(SendFailure).Failure
			require.Equal(t, s.want, failure.State)
			require.Less(t, w.now.Sub(a.sent), time.Second)
			if s.wantRetryAfter {
				require.Positive(t, failure.RetryAfter)
			}
			w.run(deadline)
			w.checkInvariants()
		})
	}
}

// An entry claims a key, runs its side effect and dies. Its caller sends the key to an entry that can't read the
// log and so has not seen the claim. That entry must not answer notRun: it asks its peers first, one of which may
// be the dead entry.
func TestRefusalOfKeyThatRanElsewhere(t *testing.T) {
	for _, s := range []struct {
		testName      string
		thirdReadsLog bool
		ownerDies     bool
		want          State
	}{
		{"another entry reads the log", true, true, StateUnknown},
		{"no other entry reads the log", false, true, StateUnknown},
		{"the owner still runs it", false, false, StateUnknown},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 3)
			w.nodes[1].noLog = true
			w.nodes[2].noLog = !s.thirdReadsLog
			w.run(100 * time.Millisecond)
			key := keyAt(w.now, 1)
			w.stageMode = func(call *endpointserver.StageCall) string { return map[string]string{"log": "silent"}[call.Stage] }
			w.send(0, ticket, key, "wall 7", deadline)
			w.until("a run of the side effect", func() bool { return w.runs(key, "log") == 1 })
			w.nodes[0].dead = s.ownerDies
			again := w.send(1, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitResult(again.id)
			require.Equal(t, s.want, state)
			require.Less(t, w.now.Sub(again.sent), 2*time.Second)
		})
	}
}
