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

// awaitVerdict waits for the verdict on a change and returns it.
func (w *world) awaitVerdict(id uint64) operatorserver.ConfigVerdict {
	w.until("a verdict", func() bool { return len(w.replies[id]) > 0 })
	verdict, ok := w.replies[id][0].effect.(SendVerdict)
	require.True(w.t, ok, "%+v", w.replies[id][0].effect)
	return verdict.Verdict
}

func (w *world) contractVersion() int64 {
	return w.nodes[0].core.fold.Objects(publisher.KindContract, account)[0].Version
}

func (w *world) contractWeight(i int) float64 {
	c, known := w.nodes[i].core.fold.Contract(account)
	if !known {
		return 0
	}
	return c.Weight
}

// Two operators change one contract from the same version at two entries at the same moment. The order of the log
// decides, identically at every entry: one change is accepted, the other is answered with a conflict.
func TestTwoOperatorsRace(t *testing.T) {
	w := newServingWorld(t, 3)
	base := w.contractVersion()
	a := w.publish(0, "race-a", contract(2), base)
	b := w.publish(1, "race-b", contract(3), base)
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.awaitVerdict(a).Verdict)
	require.Equal(t, operatorserver.ConfigVerdictVerdictConflict, w.awaitVerdict(b).Verdict)
	w.run(time.Second)
	for i := range w.nodes {
		require.InDelta(t, 2, w.contractWeight(i), 0)
	}
}

// The reply to the append of a change is lost, or the log is slow, so the operator is told that the verdict is
// pending. The operator looks the verdict up by the operation id at another entry. Publishing again under the same
// id returns the first verdict and changes nothing.
func TestOperationFoundAfterLostReply(t *testing.T) {
	w := newServingWorld(t, 3)
	base := w.contractVersion()
	w.nodes[0].noLog = true
	first := w.publish(0, "lost-1", contract(5), base)
	w.hook = func(op pendingOp) bool {
		if e, ok := op.effect.(Append); ok && op.node == 0 {
			w.commit(e.Stream, e.Data)
			return false
		}
		_, peer := op.effect.(SendPeer)
		return op.node != 0 || !peer
	}
	w.run(100 * time.Millisecond)
	id := w.newID()
	w.deliver(1, OperationRequested{ID: id, OperationID: "lost-1"})
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.awaitVerdict(id).Verdict)
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.awaitVerdict(w.publish(1, "lost-1", contract(5), base)).Verdict)
	require.Contains(t, []operatorserver.ConfigVerdictVerdict{operatorserver.ConfigVerdictVerdictAccepted, operatorserver.ConfigVerdictVerdictPending},
		w.awaitVerdict(first).Verdict)
	w.run(time.Second)
	require.InDelta(t, 5, w.contractWeight(2), 0)
}

// An entry is cut off from the log. Its peers send it the change, so that it applies there too; when the entry
// reads the log again, its configuration must not go back to an older version.
func TestConfigReachesEntryCutFromLog(t *testing.T) {
	w := newServingWorld(t, 3)
	w.nodes[2].noLog = true
	base := w.contractVersion()
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.awaitVerdict(w.publish(0, "cut-1", contract(7), base)).Verdict)
	w.run(time.Second)
	require.InDelta(t, 7, w.contractWeight(2), 0)
	w.nodes[2].noLog = false
	w.run(time.Second)
	require.InDelta(t, 7, w.contractWeight(2), 0)
}

// All entries are replaced one after another while the log is down. Each new entry starts without a configuration
// and gets it from its peers. If no peer has one, the entry is not ready and answers accordingly.
func TestAllEntriesReplacedInOutage(t *testing.T) {
	w := newServingWorld(t, 3)
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.awaitVerdict(w.publish(0, "keep-1", contract(9), w.contractVersion())).Verdict)
	w.run(time.Second)
	before := w.nodes[0].core.fold.Offset()
	w.logDown = true
	for i := range w.nodes {
		w.kill(i)
		w.run(100 * time.Millisecond)
		w.start(i)
		w.run(time.Second)
		require.InDelta(t, 9, w.contractWeight(i), 0, entryName(i))
		require.Equal(t, before, w.nodes[i].core.fold.Offset())
	}
	state, _, _ := w.awaitResult(w.send(1, summary, "case-1", "case 3", deadline).id)
	require.Equal(t, StateAnswered, state)
	for i := range w.nodes {
		w.kill(i)
	}
	w.start(0)
	w.run(time.Second)
	state, code, _ := w.awaitResult(w.send(0, summary, "case-2", "case 3", deadline).id)
	require.Equal(t, StateNotRun, state)
	require.Equal(t, CodeNotReady, code)
	w.checkInvariants()
}

// The log drops its oldest records, including the predecessor of the last snapshot, and the entries are restarted
// one after another. A new entry reads the snapshot; if the log has none, its peers send it the configuration.
func TestRetentionAndRestarts(t *testing.T) {
	for _, s := range []struct {
		testName string
		snapshot bool
	}{
		{"a snapshot is kept", true},
		{"no snapshot is kept", false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 3)
			if s.snapshot {
				w.run(100 * time.Millisecond)
				parts, err := w.nodes[0].core.fold.Snapshot(w.now)
				require.NoError(t, err)
				w.firstOffset[StreamConfig] = int64(len(w.streams[StreamConfig]) + 1)
				for _, part := range parts {
					w.commit(StreamConfig, part)
				}
			} else {
				w.firstOffset[StreamConfig] = int64(len(w.streams[StreamConfig]) + 1)
				w.commit(StreamConfig, []byte("a record that can't be read"))
			}
			w.run(100 * time.Millisecond)
			for i := range w.nodes {
				w.kill(i)
				w.run(100 * time.Millisecond)
				w.start(i)
				w.run(2 * time.Second)
				require.InDelta(t, 1, w.contractWeight(i), 0, entryName(i))
			}
			verdict := w.awaitVerdict(w.publish(2, "after-1", contract(4), w.contractVersion()))
			require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, verdict.Verdict, verdict.Message.Value)
			w.run(time.Second)
			for i := range w.nodes {
				require.InDelta(t, 4, w.contractWeight(i), 0)
			}
		})
	}
}

// A record in the log can't be read. Every entry must skip and count it, and apply the records after it.
func TestBadRecordStopsNobody(t *testing.T) {
	w := newServingWorld(t, 2)
	for i, data := range [][]byte{{}, []byte("no record"), {0x81, 0xa6}, make([]byte, 1<<16)} {
		w.commit(StreamConfig, data)
		w.commit(StreamClaims, data)
		base := w.contractVersion()
		weight := float64(i + 2)
		require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.awaitVerdict(w.publish(i%2, fmt.Sprintf("bad-%d", i), contract(weight), base)).Verdict)
		w.run(500 * time.Millisecond)
		require.InDelta(t, weight, w.contractWeight(0), 0)
		require.InDelta(t, weight, w.contractWeight(1), 0)
	}
	state, _, _ := w.awaitResult(w.send(0, ticket, keyAt(w.now, 1), "wall 7", deadline).id)
	require.Equal(t, StateAnswered, state)
}

// An object that can't be applied is refused before it is appended, and the refusal lists every fault.
func TestConfigRefusedBeforeAppend(t *testing.T) {
	w := newServingWorld(t, 1)
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
		{"refers to an unknown pipeline", bad}, {"malformed", publisher.Contract{Account: "no spaces please"}}, {"oversize", big},
	} {
		t.Run(s.testName, func(t *testing.T) {
			before := len(w.streams[StreamConfig])
			id := w.publish(0, "refused", s.object, 0)
			w.drain()
			refusal, ok := w.replies[id][0].effect.(SendRefusal)
			require.True(t, ok)
			require.NotEmpty(t, refusal.Faults)
			require.Len(t, w.streams[StreamConfig], before)
		})
	}
}

// A planned stop under load: callers with a cached address answer are served until it expires, requests in flight
// are finished, outcomes are handed over, and only then does the process exit. No request is cut off.
func TestPlannedStop(t *testing.T) {
	w := newServingWorld(t, 3)
	var sent []attempt
	var delayed []pendingOp
	startedAt := w.now
	// The last side effects finish long after the address answers have expired.
	w.hook = func(op pendingOp) bool {
		part, ok := op.event.(*StagePartArrived)
		age := w.now.Sub(startedAt)
		if !ok || part.Part.Stage != "log" || age < 900*time.Millisecond || age > 2*time.Second {
			return true
		}
		delayed = append(delayed, op)
		return false
	}
	w.deliver(0, StopSignalReceived{})
	for i := uint16(0); !w.nodes[0].dead; i++ {
		if w.now.Sub(startedAt) < time.Second {
			sent = append(sent, w.send(0, ticket, keyAt(w.now, i), fmt.Sprintf("wall %d", i), deadline))
			sent = append(sent, w.send(0, summary, fmt.Sprintf("case-%d", i), fmt.Sprintf("case %d", i), deadline))
		}
		if w.now.Sub(startedAt) == 500*time.Millisecond {
			w.deliver(0, StopSignalReceived{})
		}
		if w.now.Sub(startedAt) > 2*time.Second {
			w.queue = append(w.queue, delayed...)
			delayed = nil
		}
		w.step()
		require.Less(t, w.now.Sub(startedAt), time.Minute)
	}
	require.GreaterOrEqual(t, w.now.Sub(startedAt), 1200*time.Millisecond, "the process must not exit before the address answers expire")
	for _, a := range sent {
		state, code, _ := w.result(a.id)
		require.Equal(t, StateAnswered, state, code)
		queried, _, text := w.awaitResult(w.queryOutcome(1, a.key))
		require.Equal(t, StateAnswered, queried)
		require.Equal(t, wantText(a.pipeline, a.body), text, "the outcome must have been handed over")
	}
	w.checkInvariants()
}

// An endpoint announces that it is leaving, by refusing a call or through the list of VMs: it must get no calls
// after that.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	for _, s := range []struct {
		testName string
		leave    func(*world)
	}{
		{"by refusing a call", func(w *world) {
			w.hook = func(op pendingOp) bool {
				call, ok := op.effect.(*CallStage)
				if ok && call.Address == "t1" {
					w.respond(op, StageFailed{Call: call.Call, Fault: StageFault{Kind: FaultLeaving}})
				}
				return !ok || call.Address != "t1"
			}
		}},
		{"by the list of VMs", func(w *world) {
			w.vms.Endpoints[2].Leaving = true
			w.deliver(0, w.vms)
		}},
	} {
		t.Run(s.testName, func(t *testing.T) {
			w := newServingWorld(t, 1)
			s.leave(w)
			w.run(stepTime)
			hook := w.hook
			calls := 0
			w.hook = func(op pendingOp) bool {
				if call, ok := op.effect.(*CallStage); ok && call.Address == "t1" {
					calls++
				}
				return hook == nil || hook(op)
			}
			for i := range uint16(40) {
				state, code, _ := w.awaitResult(w.send(0, ticket, keyAt(w.now, i), "wall 7", deadline).id)
				require.Equal(t, StateAnswered, state, code)
			}
			require.LessOrEqual(t, calls, 1, "only the refused call may reach the endpoint")
			w.checkInvariants()
		})
	}
}

// An entry asks a peer for configuration and is replaced before the answer arrives at its address. The answer
// begins after the last record that the new process has read. Applying it would skip the records in between
// permanently: the entry would report the newest offset and lack most of the configuration.
func TestAnswerToPredecessorIsDropped(t *testing.T) {
	w := newServingWorld(t, 2)
	w.nodes[1].noLog = true
	var answer *pendingOp
	w.hook = func(op pendingOp) bool {
		message, ok := op.event.(PeerMessageArrived)
		_, records := message.Message.(*carrier.Records)
		if !ok || !records || op.node != 1 || answer != nil {
			return true
		}
		answer = &op
		return false
	}
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, w.awaitVerdict(w.publish(0, "late-1", contract(3), w.contractVersion())).Verdict)
	w.until("an answer from the peer", func() bool { return answer != nil })
	w.kill(1)
	w.start(1)
	w.deliver(1, answer.event)
	w.run(time.Second)
	require.Equal(t, w.nodes[0].core.fold.Offset(), w.nodes[1].core.fold.Offset())
	require.InDelta(t, 3, w.contractWeight(1), 0)
	require.Len(t, w.nodes[1].core.fold.Objects("", ""), len(w.nodes[0].core.fold.Objects("", "")))
	_, known := w.nodes[1].core.fold.Pipeline(ticket)
	require.True(t, known)
}
