package reducer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
)

// An endpoint answers a call in a way that is wrong, twice, out of order or cut. The caller sees either its own
// whole answer or a plain failure, and a stage that must not be repeated never runs a second time for it.
func TestReplies(t *testing.T) {
	for _, s := range []struct {
		testName string
		stage    string
		how      string
		want     State
		runs     int
	}{
		{"repeatable stage: foreign reply", "draft", "foreign", StateAnswered, 2},
		{"repeatable stage: parts doubled", "draft", "double", StateAnswered, 1},
		{"repeatable stage: parts in turned order", "draft", "swapped", StateAnswered, 1},
		{"repeatable stage: cut and resumed", "draft", "cutMidway", StateAnswered, 1},
		{"repeatable stage: reply lost", "draft", "cutAfterRun", StateAnswered, 2},
		{"repeatable stage: refused as leaving", "draft", "leaving", StateAnswered, 1},
		{"repeatable stage: total differs", "draft", "short", StateAnswered, 2},
		{"repeatable stage: silent", "draft", "silent", StateAnswered, 2},
		{"side effect: foreign reply", "log", "foreign", StateUnknown, 1},
		{"side effect: parts doubled", "log", "double", StateAnswered, 1},
		{"side effect: parts in turned order", "log", "swapped", StateAnswered, 1},
		{"side effect: cut and resumed", "log", "cutMidway", StateAnswered, 1},
		{"side effect: reply lost", "log", "cutAfterRun", StateUnknown, 1},
		{"side effect: refused as busy", "log", "busy", StateAnswered, 1},
		{"side effect: not sent", "log", "notSent", StateAnswered, 1},
		{"side effect: total differs", "log", "short", StateUnknown, 1},
		{"side effect: silent", "log", "silent", StateUnknown, 1},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 2)
			faults := 0
			w.stage = func(call *endpointserver.StageCall) string {
				if call.Stage != s.stage || faults > 0 {
					return ""
				}
				faults++
				return s.how
			}
			key := keyAt(w.now, 1)
			state, _, _ := w.awaitEnd(w.send(0, ticket, key, "wall 7", deadline).id)
			require.Equal(t, s.want, state)
			w.run(time.Second)
			again, _, _ := w.awaitEnd(w.send(1, ticket, key, "wall 7", deadline).id)
			require.Equal(t, s.want, again, "the other entry tells the same")
			require.Equal(t, s.runs, w.runs(key, s.stage))
			w.check()
		})
	}
}

// A side effect's stream is cut after its first part and its endpoint can't be reached to read the rest.
// The first part proves that the stage ran, so the failed resumption must not count as a call that was never sent:
// otherwise the stage is tried at another endpoint and runs twice.
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
			w := serving(t, 2)
			w.stage = func(call *endpointserver.StageCall) string {
				if call.Stage == "log" {
					return "cutMidway"
				}
				return ""
			}
			w.hook = func(f flight) bool {
				resume, is := f.effect.(ResumeStage)
				if is {
					w.back(f, StageFailed{Call: resume.Call, Fault: StageFault{Kind: s.kind}})
				}
				return !is
			}
			key := keyAt(w.now, 1)
			a := w.send(0, ticket, key, "wall 7", deadline)
			state, _, _ := w.awaitEnd(a.id)
			require.Equal(t, StateUnknown, state)
			require.Equal(t, 1, w.runs(key, "log"))
			require.Less(t, w.now.Sub(a.sent), time.Second)
			w.check()
		})
	}
}

// A repeatable request was given up at one entry before anything ran, and its caller had it answered at another.
// Whoever asks for its outcome, at any entry, must not be told notRun: it did run.
func TestOutcomeAfterNotRunElsewhere(t *testing.T) {
	for _, s := range []struct {
		testName string
		pipeline string
	}{
		{"repeatable", summary},
		{"must not be repeated", ticket},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 3)
			key := keyAt(w.now, 1)
			w.stage = func(*endpointserver.StageCall) string { return "busy" }
			state, _, _ := w.awaitEnd(w.send(0, s.pipeline, key, "wall 7", deadline).id)
			require.Equal(t, StateNotRun, state)
			w.stage = nil
			w.run(10 * time.Second)
			state, _, _ = w.awaitEnd(w.send(1, s.pipeline, key, "wall 7", deadline).id)
			require.Equal(t, StateAnswered, state)
			w.run(time.Second)
			for i := range w.nodes {
				state, _, text := w.awaitEnd(w.ask(i, key))
				require.Equal(t, StateAnswered, state, "asked at %s", entryName(i))
				require.Equal(t, wantText(s.pipeline, "wall 7"), text)
			}
			w.check()
		})
	}
}

// An entry gave a request up before anything ran; its caller sent it to another, which died while it ran.
// The first entry's notRun is not the last word on the key: asked anywhere, the outcome is unknown.
func TestOutcomeAfterOwnerDied(t *testing.T) {
	w := serving(t, 3)
	key := keyAt(w.now, 1)
	w.stage = func(*endpointserver.StageCall) string { return "busy" }
	state, _, _ := w.awaitEnd(w.send(0, ticket, key, "wall 7", deadline).id)
	require.Equal(t, StateNotRun, state)
	w.run(10 * time.Second)
	w.stage = func(call *endpointserver.StageCall) string { return map[string]string{"log": "silent"}[call.Stage] }
	w.send(1, ticket, key, "wall 7", deadline)
	w.until("the side effect", func() bool { return w.runs(key, "log") == 1 })
	w.kill(1)
	w.run(time.Second)
	for _, i := range []int{0, 2} {
		state, _, _ := w.awaitEnd(w.ask(i, key))
		require.Equal(t, StateUnknown, state, "asked at %s", entryName(i))
	}
}

// A part of an earlier attempt arrives after the stage has gone on: it is counted and changes nothing.
func TestLateReplyIsDropped(t *testing.T) {
	w := serving(t, 1)
	var late *StagePartArrived
	w.hook = func(f flight) bool {
		part, is := f.event.(*StagePartArrived)
		if is && late == nil && part.Part.Stage == "draft" && part.Part.Final {
			late = part
			w.back(f, StageFailed{Call: part.Call, Fault: StageFault{Kind: FaultError}})
			return false
		}
		return true
	}
	a := w.send(0, summary, "case-1", "case 3", deadline)
	w.until("the stage's second attempt", func() bool { return w.runs("case-1", "draft") == 2 })
	w.give(0, late)
	state, _, text := w.awaitEnd(a.id)
	require.Equal(t, StateAnswered, state)
	require.Equal(t, wantText(summary, "case 3"), text)
	w.give(0, late)
	require.Positive(t, w.nodes[0].core.Counters().PartsLate)
	w.check()
}

// A stage's endpoint has sent a part and then stalls, so a second attempt is started beside it. Its record moves in
// memory with the first's text in it; the first then goes on. The entry must not fall over: it would take all its
// other requests down with it.
func TestHedgeBesideAStalledStream(t *testing.T) {
	w := serving(t, 1)
	var stalled *flight
	w.hook = func(f flight) bool {
		part, is := f.event.(*StagePartArrived)
		if !is || stalled != nil || part.Part.Stage != "draft" || !part.Part.Final {
			return true
		}
		stalled = &f
		return false
	}
	a := w.send(0, summary, "case-1", "case 3", deadline)
	w.until("the stall", func() bool { return stalled != nil })
	r := w.nodes[0].core.requests[a.id]
	w.nodes[0].core.dispatch(r, "e2", true, w.now)
	w.queue = append(w.queue, *stalled)
	state, _, text := w.awaitEnd(a.id)
	require.Equal(t, StateAnswered, state)
	require.Equal(t, wantText(summary, "case 3"), text)
	w.check()
}
