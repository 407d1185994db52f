package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
)

// An endpoint's reply to a call is wrong, sent twice, out of order or cut off. The caller must get either its own
// complete answer or a plain failure, and a stage that must not be repeated must never run a second time for it.
func TestReplies(t *testing.T) {
	for _, s := range []struct {
		testName string
		stage    string
		mode     string
		want     State
		runs     int
	}{
		{"repeatable stage: foreign reply", "draft", "foreign", StateAnswered, 2},
		{"repeatable stage: parts duplicated", "draft", "double", StateAnswered, 1},
		{"repeatable stage: parts in reverse order", "draft", "swapped", StateAnswered, 1},
		{"repeatable stage: cut and resumed", "draft", "cutMidway", StateAnswered, 1},
		{"repeatable stage: reply lost", "draft", "cutAfterRun", StateAnswered, 2},
		{"repeatable stage: refused as leaving", "draft", "leaving", StateAnswered, 1},
		{"repeatable stage: total differs", "draft", "short", StateAnswered, 2},
		{"repeatable stage: silent", "draft", "silent", StateAnswered, 2},
		{"side effect: foreign reply", "log", "foreign", StateUnknown, 1},
		{"side effect: parts duplicated", "log", "double", StateAnswered, 1},
		{"side effect: parts in reverse order", "log", "swapped", StateAnswered, 1},
		{"side effect: cut and resumed", "log", "cutMidway", StateAnswered, 1},
		{"side effect: reply lost", "log", "cutAfterRun", StateUnknown, 1},
		{"side effect: refused as busy", "log", "busy", StateAnswered, 1},
		{"side effect: not sent", "log", "notSent", StateAnswered, 1},
		{"side effect: total differs", "log", "short", StateUnknown, 1},
		{"side effect: silent", "log", "silent", StateUnknown, 1},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 2)
			faults := 0
			w.stageMode = func(call *endpointserver.StageCall) string {
				if call.Stage != s.stage || faults > 0 {
					return ""
				}
				faults++
				return s.mode
			}
			key := keyAt(w.now, 1)
			state, _, _ := w.awaitResult(w.send(0, ticket, key, "wall 7", deadline).id)
			require.Equal(t, s.want, state)
			w.run(time.Second)
			again, _, _ := w.awaitResult(w.send(1, ticket, key, "wall 7", deadline).id)
			require.Equal(t, s.want, again, "the other entry must report the same state")
			require.Equal(t, s.runs, w.runs(key, s.stage))
			w.checkInvariants()
		})
	}
}

// The stream of a side effect is cut off after its first part, and its endpoint can't be reached to read the rest.
// The first part proves that the stage ran, so the failed resumption must not count as a call that was never sent:
// otherwise the stage would be retried at another endpoint and run twice.
func TestResumeThatFails(t *testing.T) {
	for _, s := range []struct {
		testName string
		kind     FaultKind
	}{
		{"connection refused", FaultNotSent},
		{"endpoint busy", FaultBusy},
		{"endpoint leaving", FaultLeaving},
		{"stream unknown", FaultInvalidCall},
		{"cut again", FaultConnectionLost},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 2)
			w.stageMode = func(call *endpointserver.StageCall) string {
				if call.Stage == "log" {
					return "cutMidway"
				}
				return ""
			}
			w.hook = func(op pendingOp) bool {
				resume, ok := op.effect.(ResumeStage)
				if ok {
					w.respond(op, StageFailed{Call: resume.Call, Fault: StageFault{Kind: s.kind}})
				}
				return !ok
			}
			key := keyAt(w.now, 1)
			a := w.send(0, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitResult(a.id)
			require.Equal(t, StateUnknown, state)
			require.Equal(t, 1, w.runs(key, "log"))
			require.Less(t, w.now.Sub(a.sent), time.Second)
			w.checkInvariants()
		})
	}
}

// A repeatable request was given up at one entry before anything ran, and its caller got it answered by another. A
// query for its outcome at any entry must not be answered notRun, because the request did run.
func TestOutcomeAfterNotRunElsewhere(t *testing.T) {
	for _, s := range []struct {
		testName string
		pipeline string
	}{
		{"repeatable", summary},
		{"must not be repeated", ticket},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 3)
			key := keyAt(w.now, 1)
			w.stageMode = func(*endpointserver.StageCall) string { return "busy" }
			state, _, _ := w.awaitResult(w.send(0, s.pipeline, key, "wall 7", deadline).id)
			require.Equal(t, StateNotRun, state)
			w.stageMode = nil
			w.run(10 * time.Second)
			state, _, _ = w.awaitResult(w.send(1, s.pipeline, key, "wall 7", deadline).id)
			require.Equal(t, StateAnswered, state)
			w.run(time.Second)
			for i := range w.nodes {
				state, _, text := w.awaitResult(w.queryOutcome(i, key))
				require.Equal(t, StateAnswered, state, "asked at %s", entryName(i))
				require.Equal(t, wantText(s.pipeline, "wall 7"), text)
			}
			w.checkInvariants()
		})
	}
}

// An entry gave a request up before anything ran; its caller sent it to another entry, which died while running
// it. The first entry's notRun is not the final outcome of the key: every entry must answer unknown.
func TestOutcomeAfterOwnerDied(t *testing.T) {
	w := newServingWorld(t, 3)
	key := keyAt(w.now, 1)
	w.stageMode = func(*endpointserver.StageCall) string { return "busy" }
	state, _, _ := w.awaitResult(w.send(0, ticket, key, "wall 7", deadline).id)
	require.Equal(t, StateNotRun, state)
	w.run(10 * time.Second)
	w.stageMode = func(call *endpointserver.StageCall) string { return map[string]string{"log": "silent"}[call.Stage] }
	w.send(1, ticket, key, "wall 7", deadline)
	w.until("a run of the side effect", func() bool { return w.runs(key, "log") == 1 })
	w.kill(1)
	w.run(time.Second)
	for _, i := range []int{0, 2} {
		state, _, _ := w.awaitResult(w.queryOutcome(i, key))
		require.Equal(t, StateUnknown, state, "asked at %s", entryName(i))
	}
}

// A part of an earlier attempt arrives after the stage was retried: it is counted and changes nothing.
func TestLateReplyIsDropped(t *testing.T) {
	w := newServingWorld(t, 1)
	var late *StagePartArrived
	w.hook = func(op pendingOp) bool {
		part, ok := op.event.(*StagePartArrived)
		if ok && late == nil && part.Part.Stage == "draft" && part.Part.Final {
			late = part
			w.respond(op, StageFailed{Call: part.Call, Fault: StageFault{Kind: FaultError}})
			return false
		}
		return true
	}
	a := w.send(0, summary, "case-1", "case 3", deadline)
	w.until("a second attempt of the stage", func() bool { return w.runs("case-1", "draft") == 2 })
	w.deliver(0, late)
	state, _, text := w.awaitResult(a.id)
	require.Equal(t, StateAnswered, state)
	require.Equal(t, wantText(summary, "case 3"), text)
	w.deliver(0, late)
	require.Positive(t, w.nodes[0].core.Counters().PartsLate)
	w.checkInvariants()
}

// An endpoint has sent one part of a stage and then stalls, so a second attempt is started in parallel. The record
// of the first attempt moves in memory while it holds the first part's text; then the first stream continues. The
// entry must not crash, which would end all its other requests.
func TestHedgeBesideAStalledStream(t *testing.T) {
	w := newServingWorld(t, 1)
	var stalled *pendingOp
	w.hook = func(op pendingOp) bool {
		part, ok := op.event.(*StagePartArrived)
		if !ok || stalled != nil || part.Part.Stage != "draft" || !part.Part.Final {
			return true
		}
		stalled = &op
		return false
	}
	a := w.send(0, summary, "case-1", "case 3", deadline)
	w.until("a stalled stream", func() bool { return stalled != nil })
	r := w.nodes[0].core.requests[a.id]
	w.nodes[0].core.dispatch(r, "e2", true, w.now)
	w.queue = append(w.queue, *stalled)
	state, _, text := w.awaitResult(a.id)
	require.Equal(t, StateAnswered, state)
	require.Equal(t, wantText(summary, "case 3"), text)
	w.checkInvariants()
}
