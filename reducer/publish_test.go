package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/operatorserver"
	"geraniumline/publisher"
)

// verdict waits for the verdict on a change.
func (w *world) verdict(id uint64) operatorserver.ConfigVerdict {
	w.until("the verdict", func() bool { return len(w.replies[id]) > 0 })
	verdict, ok := w.replies[id][0].effect.(SendVerdict)
	require.True(w.t, ok, "%+v", w.replies[id][0].effect)
	return verdict.Verdict
}

func (w *world) version() int64 {
	return w.nodes[0].core.fold.Objects(publisher.KindContract, account)[0].Version
}

func (w *world) weight(i int) float64 {
	c, known := w.nodes[i].core.fold.Contract(account)
	if !known {
		return 0
	}
	return c.Weight
}

// Two operators change one contract from the same version at two entries at the same moment.
// Log order decides, the same at every entry: one is accepted, the other is told of the conflict.
func TestTwoOperatorsRace(t *testing.T) {
	w := serving(t, 3)
	base := w.version()
	a := w.change(0, "race-a", contract(2), base)
	b := w.change(1, "race-b", contract(3), base)
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.verdict(a).Verdict)
	require.Equal(t, operatorserver.ConfigVerdictVerdictConflict, w.verdict(b).Verdict)
	w.run(time.Second)
	for i := range w.nodes {
		require.InDelta(t, 2, w.weight(i), 0)
	}
}

// The reply to the append of a change is lost, or the log is slow, so the operator is told that the verdict is
// pending. It looks the verdict up by the operation id, at another entry; publishing again under the same id
// gives the first verdict and changes nothing.
func TestOperationFoundAfterLostReply(t *testing.T) {
	w := serving(t, 3)
	base := w.version()
	w.nodes[0].noLog = true
	first := w.change(0, "lost-1", contract(5), base)
	w.hook = func(f flight) bool {
		if e, is := f.effect.(Append); is && f.node == 0 {
			w.land(e.Stream, e.Data)
			return false
		}
		_, peer := f.effect.(SendPeer)
		return f.node != 0 || !peer
	}
	w.run(100 * time.Millisecond)
	id := w.id()
	w.give(1, OperationRequested{ID: id, OperationID: "lost-1"})
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.verdict(id).Verdict)
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.verdict(w.change(1, "lost-1", contract(5), base)).Verdict)
	require.Contains(t, []operatorserver.ConfigVerdictVerdict{operatorserver.ConfigVerdictVerdictAccepted, operatorserver.ConfigVerdictVerdictPending},
		w.verdict(first).Verdict)
	w.run(time.Second)
	require.InDelta(t, 5, w.weight(2), 0)
}

// An entry is cut from the log. Its peers pass the change on, so it is in force there too; when the log is
// read again nothing goes back.
func TestConfigReachesEntryCutFromLog(t *testing.T) {
	w := serving(t, 3)
	w.nodes[2].noLog = true
	base := w.version()
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.verdict(w.change(0, "cut-1", contract(7), base)).Verdict)
	w.run(time.Second)
	require.InDelta(t, 7, w.weight(2), 0)
	w.nodes[2].noLog = false
	w.run(time.Second)
	require.InDelta(t, 7, w.weight(2), 0)
}

// All entries are replaced one after another while the log is down. Each new one knows nothing and gets the
// configuration from its peers. With nobody left that knows it, an entry is not ready and says so.
func TestAllEntriesReplacedInOutage(t *testing.T) {
	w := serving(t, 3)
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.verdict(w.change(0, "keep-1", contract(9), w.version())).Verdict)
	w.run(time.Second)
	before := w.nodes[0].core.fold.Offset()
	w.logDown = true
	for i := range w.nodes {
		w.kill(i)
		w.run(100 * time.Millisecond)
		w.start(i)
		w.run(time.Second)
		require.InDelta(t, 9, w.weight(i), 0, entryName(i))
		require.Equal(t, before, w.nodes[i].core.fold.Offset())
	}
	state, _, _ := w.awaitEnd(w.send(1, summary, "case-1", "case 3", deadline).id)
	require.Equal(t, StateAnswered, state)
	for i := range w.nodes {
		w.kill(i)
	}
	w.start(0)
	w.run(time.Second)
	state, code, _ := w.awaitEnd(w.send(0, summary, "case-2", "case 3", deadline).id)
	require.Equal(t, StateNotRun, state)
	require.Equal(t, CodeNotReady, code)
	w.check()
}

// The log drops its oldest records, the last snapshot's predecessor among them, and every entry is restarted one
// after another. A new entry reads the snapshot; if the log kept none, its peers pass the configuration on.
func TestRetentionAndRestarts(t *testing.T) {
	for _, s := range []struct {
		testName string
		snapshot bool
	}{
		{"a snapshot is kept", true},
		{"no snapshot is kept", false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 3)
			if s.snapshot {
				w.run(100 * time.Millisecond)
				parts, err := w.nodes[0].core.fold.Snapshot(w.now)
				require.NoError(t, err)
				w.first[StreamConfig] = int64(len(w.streams[StreamConfig]) + 1)
				for _, part := range parts {
					w.land(StreamConfig, part)
				}
			} else {
				w.first[StreamConfig] = int64(len(w.streams[StreamConfig]) + 1)
				w.land(StreamConfig, []byte("a record that can't be read"))
			}
			w.run(100 * time.Millisecond)
			for i := range w.nodes {
				w.kill(i)
				w.run(100 * time.Millisecond)
				w.start(i)
				w.run(2 * time.Second)
				require.InDelta(t, 1, w.weight(i), 0, entryName(i))
			}
			verdict := w.verdict(w.change(2, "after-1", contract(4), w.version()))
			require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, verdict.Verdict, verdict.Message.Value)
			w.run(time.Second)
			for i := range w.nodes {
				require.InDelta(t, 4, w.weight(i), 0)
			}
		})
	}
}

// A record in the log can't be read. Every entry passes over it and counts it; what follows is in force.
func TestBadRecordStopsNobody(t *testing.T) {
	w := serving(t, 2)
	for i, data := range [][]byte{{}, []byte("no record"), {0x81, 0xa6}, make([]byte, 1<<16)} {
		w.land(StreamConfig, data)
		w.land(StreamClaims, data)
		base := w.version()
		weight := float64(i + 2)
		require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.verdict(w.change(i%2, fmt.Sprintf("bad-%d", i), contract(weight), base)).Verdict)
		w.run(500 * time.Millisecond)
		require.InDelta(t, weight, w.weight(0), 0)
		require.InDelta(t, weight, w.weight(1), 0)
	}
	state, _, _ := w.awaitEnd(w.send(0, ticket, keyAt(w.now, 1), "wall 7", deadline).id)
	require.Equal(t, StateAnswered, state)
}

// What can't be in force is refused before it is appended, with every fault named.
func TestConfigRefusedBeforeAppend(t *testing.T) {
	w := serving(t, 1)
	bad := contract(1)
	bad.Pipelines = []string{"nowhere"}
	big := publisher.Pipeline{Name: "big", Stages: repeatable("a", "b", "c")}
	for range 4000 {
		big.Stages = append(big.Stages, repeatable("a-stage-with-a-long-name-that-fills-the-record-up-to-its-bound")...)
	}
	for _, s := range []struct {
		testName string
		object   any
	}{
		{"refers to nothing", bad}, {"malformed", publisher.Contract{Account: "no spaces please"}}, {"oversize", big},
	} {
		t.Run(s.testName, func(t *testing.T) {
			before := len(w.streams[StreamConfig])
			id := w.change(0, "refused", s.object, 0)
			w.drain()
			refusal, is := w.replies[id][0].effect.(SendRefusal)
			require.True(t, is)
			require.NotEmpty(t, refusal.Faults)
			require.Len(t, w.streams[StreamConfig], before)
		})
	}
}

// A planned stop in the middle of traffic: callers with an old address answer are served until it lapses, what is
// in flight is ended, outcomes are handed over, and only then does the process exit. Nothing is cut.
func TestPlannedStop(t *testing.T) {
	w := serving(t, 3)
	var sent []attempt
	var held []flight
	begun := w.now
	// The last side effects take until long after the address answers have lapsed.
	w.hook = func(f flight) bool {
		part, is := f.event.(*StagePartArrived)
		age := w.now.Sub(begun)
		if !is || part.Part.Stage != "log" || age < 900*time.Millisecond || age > 2*time.Second {
			return true
		}
		held = append(held, f)
		return false
	}
	w.give(0, StopSignalReceived{})
	for i := uint16(0); !w.nodes[0].dead; i++ {
		if w.now.Sub(begun) < time.Second {
			sent = append(sent, w.send(0, ticket, keyAt(w.now, i), fmt.Sprintf("wall %d", i), deadline))
			sent = append(sent, w.send(0, summary, fmt.Sprintf("case-%d", i), fmt.Sprintf("case %d", i), deadline))
		}
		if w.now.Sub(begun) == 500*time.Millisecond {
			w.give(0, StopSignalReceived{})
		}
		if w.now.Sub(begun) > 2*time.Second {
			w.queue = append(w.queue, held...)
			held = nil
		}
		w.step()
		require.Less(t, w.now.Sub(begun), time.Minute)
	}
	require.GreaterOrEqual(t, w.now.Sub(begun), 1200*time.Millisecond, "address answers lapse first")
	for _, a := range sent {
		state, code, _ := w.ended(a.id)
		require.Equal(t, StateAnswered, state, code)
		asked, _, text := w.awaitEnd(w.ask(1, a.key))
		require.Equal(t, StateAnswered, asked)
		require.Equal(t, wantText(a.pipeline, a.body), text, "the outcome was handed over")
	}
	w.check()
}

// An endpoint says that it leaves, by its refusal or by the list of VMs: it gets no call after that.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	for _, s := range []struct {
		testName string
		leave    func(*world)
	}{
		{"by its refusal", func(w *world) {
			w.hook = func(f flight) bool {
				call, is := f.effect.(*CallStage)
				if is && call.Address == "t1" {
					w.back(f, StageFailed{Call: call.Call, Fault: StageFault{Kind: FaultLeaving}})
				}
				return !is || call.Address != "t1"
			}
		}},
		{"by the list of VMs", func(w *world) {
			w.vms.Endpoints[2].Leaving = true
			w.give(0, w.vms)
		}},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := serving(t, 1)
			s.leave(w)
			w.run(stepTime)
			hook := w.hook
			calls := 0
			w.hook = func(f flight) bool {
				if call, is := f.effect.(*CallStage); is && call.Address == "t1" {
					calls++
				}
				return hook == nil || hook(f)
			}
			for i := range uint16(40) {
				state, code, _ := w.awaitEnd(w.send(0, ticket, keyAt(w.now, i), "wall 7", deadline).id)
				require.Equal(t, StateAnswered, state, code)
			}
			require.LessOrEqual(t, calls, 1, "at most the call that was refused")
			w.check()
		})
	}
}

// An entry asks a peer for configuration and is replaced before the answer arrives at its address. The answer
// begins past what the new process has read. Folding it would skip the records before it for good: the entry would
// show the newest offset and lack most of the configuration.
func TestAnswerToPredecessorIsDropped(t *testing.T) {
	w := serving(t, 2)
	w.nodes[1].noLog = true
	var answer *flight
	w.hook = func(f flight) bool {
		message, is := f.event.(PeerMessageArrived)
		_, records := message.Message.(*carrier.Records)
		if !is || !records || f.node != 1 || answer != nil {
			return true
		}
		answer = &f
		return false
	}
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.verdict(w.change(0, "late-1", contract(3), w.version())).Verdict)
	w.until("the peer's answer", func() bool { return answer != nil })
	w.kill(1)
	w.start(1)
	w.give(1, answer.event)
	w.run(time.Second)
	require.Equal(t, w.nodes[0].core.fold.Offset(), w.nodes[1].core.fold.Offset())
	require.InDelta(t, 3, w.weight(1), 0)
	require.Len(t, w.nodes[1].core.fold.Objects("", ""), len(w.nodes[0].core.fold.Objects("", "")))
	_, known := w.nodes[1].core.fold.Pipeline(ticket)
	require.True(t, known)
}
