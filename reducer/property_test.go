package reducer

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/endpointserver"
)

const (
	propertyChecks = 150
	propertySteps  = 120
	propertyKeys   = 4
)

// runStats counts the steps, faults, requests and outcomes of random runs.
type runStats struct{ steps, faults, requests, answered, notRun, unknown int }

// TestAnyOrder runs three cores, one log and four endpoints through random orders of events: requests with few
// keys at any entry; effects and events performed in any order, late, lost or twice; entries killed,
// restarted, frozen and cut off from the log; appends refused, lost or without reply; endpoints that refuse, cut,
// mix up and lose replies; operators that race. Then all faults are ended. In every run, nothing that must not be
// repeated may run twice, no attempt that ran may be answered notRun, no answer may belong to another request, and
// no entry's configuration may go back to an older offset.
func TestAnyOrder(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "20"))
	require.NoError(t, flag.Set("rapid.checks", fmt.Sprint(propertyChecks)))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	total := runStats{}
	rapid.Check(t, func(rt *rapid.T) {
		run := newRandomRun(rt)
		for range propertySteps {
			run.act()
		}
		run.heal()
		total.add(run.stats, run.w)
	})
	t.Logf("orders=%d steps=%d faults=%d requests=%d answered=%d notRun=%d unknown=%d",
		propertyChecks, total.steps, total.faults, total.requests, total.answered, total.notRun, total.unknown)
	require.Positive(t, total.answered)
	require.Positive(t, total.notRun)
	require.Positive(t, total.unknown)
}

func (s *runStats) add(o runStats, w *world) {
	s.steps += o.steps
	s.faults += o.faults
	s.requests += len(w.attempts)
	for _, a := range w.attempts {
		switch state, _, _ := w.result(a.id); state {
		case StateAnswered:
			s.answered++
		case StateNotRun:
			s.notRun++
		case StateUnknown:
			s.unknown++
		}
	}
}

// randomRun performs randomly drawn actions on a world.
type randomRun struct {
	rt      *rapid.T
	w       *world
	stats   runStats
	keys    []string
	offsets map[uint64]int64
	changes int
	// lateAppends are appends reported to their entry as uncertain, which reach the log later.
	lateAppends []Append
}

func newRandomRun(rt *rapid.T) *randomRun {
	r := &randomRun{rt: rt, w: newServingWorld(rt, 3), offsets: map[uint64]int64{}}
	for i := range propertyKeys {
		r.keys = append(r.keys, keyAt(r.w.now, uint16(i)))
	}
	r.w.stageMode = func(*endpointserver.StageCall) string {
		if r.draw("endpoint fails", 3) > 0 {
			return ""
		}
		r.stats.faults++
		return rapid.SampledFrom([]string{"busy", "leaving", "notSent", "cutAfterRun", "cutMidway", "silent", "foreign", "double", "swapped"}).Draw(r.rt, "how")
	}
	return r
}

// draw returns a random number from 0 to high.
func (r *randomRun) draw(name string, high int) int { return rapid.IntRange(0, high).Draw(r.rt, name) }

func (r *randomRun) node() int { return r.draw("entry", len(r.w.nodes)-1) }

func (r *randomRun) isUp(i int) bool { return !r.w.nodes[i].dead && !r.w.nodes[i].frozen }

// act performs one random action.
func (r *randomRun) act() {
	r.stats.steps++
	switch action := r.draw("what", 29); {
	case action < 4:
		r.request()
	case action < 14:
		r.performSome()
	case action < 23:
		r.advanceTime()
	case action < 24:
		r.dropOrDuplicate()
	case action < 28:
		r.stats.faults++
		r.injectFault()
	default:
		r.changeContract()
	}
	r.checkConfigOffsets()
}

func (r *randomRun) request() {
	i := r.node()
	if !r.isUp(i) {
		return
	}
	key := r.draw("key", propertyKeys-1)
	pipeline := ticket
	if key == propertyKeys-1 {
		pipeline = summary
	}
	r.w.send(i, pipeline, r.keys[key], fmt.Sprintf("body of %d", key), time.Duration(r.draw("deadline", 30)+1)*100*time.Millisecond)
}

// performSome performs some of the pending operations, each drawn at random.
func (r *randomRun) performSome() {
	for range 12 {
		unblocked := slices.DeleteFunc(slices.Clone(r.indices()), func(i int) bool { return r.w.blocked(r.w.queue[i]) })
		if len(unblocked) == 0 {
			return
		}
		at := unblocked[r.draw("flight", min(len(unblocked), 6)-1)]
		op := r.w.queue[at]
		r.w.queue = slices.Delete(r.w.queue, at, at+1)
		r.w.perform(op)
	}
}

func (r *randomRun) indices() []int {
	all := make([]int, len(r.w.queue))
	for i := range all {
		all[i] = i
	}
	return all
}

// advanceTime advances the time. Some entries read the log; pending operations stay pending.
func (r *randomRun) advanceTime() {
	r.w.now = r.w.now.Add(time.Duration(r.draw("time", 30)+1) * stepTime)
	for i := range r.w.nodes {
		if !r.isUp(i) {
			continue
		}
		if r.draw("reads", 3) > 0 {
			r.w.read(i, StreamClaims)
			r.w.read(i, StreamConfig)
		}
		r.w.deliver(i, Ticked{})
	}
}

// dropOrDuplicate drops a message between entries or delivers a part of a reply twice.
func (r *randomRun) dropOrDuplicate() {
	for at, op := range r.w.queue {
		switch _, part := op.event.(*StagePartArrived); {
		case part:
			r.w.queue = append(r.w.queue, op)
		default:
			if _, peer := op.event.(PeerMessageArrived); !peer {
				continue
			}
			r.w.queue = slices.Delete(r.w.queue, at, at+1)
		}
		r.stats.faults++
		return
	}
}

func (r *randomRun) injectFault() {
	i := r.node()
	n := r.w.nodes[i]
	switch r.draw("fault", 7) {
	case 0:
		r.w.kill(i)
	case 1:
		if n.dead {
			r.w.start(i)
		}
	case 2, 3:
		n.frozen = !n.frozen
	case 4:
		n.noLog = !n.noLog
	case 5:
		r.w.logDown = !r.w.logDown
	case 6:
		r.w.appendMode = rapid.SampledFrom([]string{"", "refused", "lostReply", "lost"}).Draw(r.rt, "appends")
	case 7:
		r.delayAppend()
	}
}

// delayAppend reports an entry's append as uncertain without performing it, or performs all appends delayed so
// far.
func (r *randomRun) delayAppend() {
	for at, op := range r.w.queue {
		if e, ok := op.effect.(Append); ok {
			r.w.queue = slices.Delete(r.w.queue, at, at+1)
			r.lateAppends = append(r.lateAppends, e)
			r.w.respond(op, Appended{Stream: e.Stream, BatchID: e.BatchID})
			return
		}
	}
	for _, e := range r.lateAppends {
		r.w.commit(e.Stream, e.Data)
	}
	r.lateAppends = nil
}

func (r *randomRun) changeContract() {
	i := r.node()
	if !r.isUp(i) || r.w.nodes[i].core.fold.Offset() == 0 {
		return
	}
	objects := r.w.nodes[i].core.fold.Objects("contract", account)
	if len(objects) == 0 {
		return
	}
	r.changes++
	r.w.publish(i, fmt.Sprintf("change-%d", r.changes), contract(float64(r.changes+1)), objects[0].Version)
}

// checkConfigOffsets checks that no process's configuration goes back to an older offset.
func (r *randomRun) checkConfigOffsets() {
	for i, n := range r.w.nodes {
		offset := n.core.fold.Offset()
		require.GreaterOrEqual(r.rt, offset, r.offsets[n.incarnation], entryName(i))
		r.offsets[n.incarnation] = offset
	}
}

// heal ends all faults, performs everything that is pending, sends each key once more and checks the result.
func (r *randomRun) heal() {
	w := r.w
	r.injectFault()
	w.logDown, w.appendMode = false, ""
	for _, e := range r.lateAppends {
		w.commit(e.Stream, e.Data)
	}
	for i, n := range w.nodes {
		n.frozen, n.noLog = false, false
		if n.dead {
			w.start(i)
		}
	}
	w.stageMode = nil
	w.run(5 * time.Second)
	for key := range propertyKeys - 1 {
		w.send(r.node(), ticket, r.keys[key], fmt.Sprintf("body of %d", key), 3*time.Second)
	}
	w.run(5 * time.Second)
	for _, a := range w.attempts[len(w.attempts)-propertyKeys+1:] {
		require.Len(r.rt, w.replies[a.id], 1, "each caller must be answered after the faults have ended")
	}
	for i, n := range w.nodes {
		require.Equal(r.rt, w.nodes[0].core.fold.Offset(), n.core.fold.Offset(), entryName(i))
		require.InDelta(r.rt, w.contractWeight(0), w.contractWeight(i), 0)
	}
	w.checkInvariants()
}
