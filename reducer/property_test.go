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

// tried counts what the property test did.
type tried struct{ steps, faults, requests, answered, notRun, unknown int }

// TestAnyOrder lets three cores, one log and four endpoints meet any order of events: requests with few keys at
// any entry, flights carried out in any order, late, lost or twice; entries killed, restarted, frozen and cut from
// the log; appends refused, lost or without reply; endpoints that refuse, cut, mix up and lose replies; operators
// that race. Then all is healed. Whatever happened: nothing that must not be repeated ran twice, nobody was told
// notRun of an attempt that ran, no answer was another's, and no entry's configuration went back.
func TestAnyOrder(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "20"))
	require.NoError(t, flag.Set("rapid.checks", fmt.Sprint(propertyChecks)))
	require.NoError(t, flag.Set("rapid.nofailfile", "true"))
	total := tried{}
	rapid.Check(t, func(rt *rapid.T) {
		run := newRandomRun(rt)
		for range propertySteps {
			run.act()
		}
		run.heal()
		total.add(run.tried, run.w)
	})
	t.Logf("orders=%d steps=%d faults=%d requests=%d answered=%d notRun=%d unknown=%d",
		propertyChecks, total.steps, total.faults, total.requests, total.answered, total.notRun, total.unknown)
	require.Positive(t, total.answered)
	require.Positive(t, total.notRun)
	require.Positive(t, total.unknown)
}

func (s *tried) add(o tried, w *world) {
	s.steps += o.steps
	s.faults += o.faults
	s.requests += len(w.attempts)
	for _, a := range w.attempts {
		switch state, _, _ := w.ended(a.id); state {
		case StateAnswered:
			s.answered++
		case StateNotRun:
			s.notRun++
		case StateUnknown:
			s.unknown++
		}
	}
}

// randomRun draws what happens next.
type randomRun struct {
	rt      *rapid.T
	w       *world
	tried   tried
	keys    []string
	offsets map[uint64]int64
	changes int
	// late are appends that land after their entry was told that they are uncertain.
	late []Append
}

func newRandomRun(rt *rapid.T) *randomRun {
	r := &randomRun{rt: rt, w: serving(rt, 3), offsets: map[uint64]int64{}}
	for i := range propertyKeys {
		r.keys = append(r.keys, keyAt(r.w.now, uint16(i)))
	}
	r.w.stage = func(*endpointserver.StageCall) string {
		if r.draw("endpoint fails", 3) > 0 {
			return ""
		}
		r.tried.faults++
		return rapid.SampledFrom([]string{"busy", "leaving", "notSent", "cutAfterRun", "cutMidway", "silent", "foreign", "double", "swapped"}).Draw(r.rt, "how")
	}
	return r
}

// draw gives a number from 0 to most.
func (r *randomRun) draw(what string, most int) int { return rapid.IntRange(0, most).Draw(r.rt, what) }

func (r *randomRun) node() int { return r.draw("entry", len(r.w.nodes)-1) }

func (r *randomRun) up(i int) bool { return !r.w.nodes[i].dead && !r.w.nodes[i].frozen }

// act lets one thing happen.
func (r *randomRun) act() {
	r.tried.steps++
	switch what := r.draw("what", 29); {
	case what < 4:
		r.request()
	case what < 14:
		r.carryAny()
	case what < 23:
		r.pass()
	case what < 24:
		r.loseOrDouble()
	case what < 28:
		r.tried.faults++
		r.fault()
	default:
		r.change()
	}
	r.configKept()
}

func (r *randomRun) request() {
	i := r.node()
	if !r.up(i) {
		return
	}
	key := r.draw("key", propertyKeys-1)
	pipeline := ticket
	if key == propertyKeys-1 {
		pipeline = summary
	}
	r.w.send(i, pipeline, r.keys[key], fmt.Sprintf("body of %d", key), time.Duration(r.draw("deadline", 30)+1)*100*time.Millisecond)
}

// carryAny carries out some flights, each drawn from all that are under way.
func (r *randomRun) carryAny() {
	for range 12 {
		open := slices.DeleteFunc(slices.Clone(r.indices()), func(i int) bool { return r.w.held(r.w.queue[i]) })
		if len(open) == 0 {
			return
		}
		at := open[r.draw("flight", min(len(open), 6)-1)]
		f := r.w.queue[at]
		r.w.queue = slices.Delete(r.w.queue, at, at+1)
		r.w.carry(f)
	}
}

func (r *randomRun) indices() []int {
	all := make([]int, len(r.w.queue))
	for i := range all {
		all[i] = i
	}
	return all
}

// pass lets time pass at some entries, which read the log, while flights stay under way.
func (r *randomRun) pass() {
	r.w.now = r.w.now.Add(time.Duration(r.draw("time", 30)+1) * stepTime)
	for i := range r.w.nodes {
		if !r.up(i) {
			continue
		}
		if r.draw("reads", 3) > 0 {
			r.w.read(i, StreamClaims)
			r.w.read(i, StreamConfig)
		}
		r.w.give(i, Ticked{})
	}
}

// loseOrDouble loses a message between entries, or brings a reply twice.
func (r *randomRun) loseOrDouble() {
	for at, f := range r.w.queue {
		switch _, part := f.event.(*StagePartArrived); {
		case part:
			r.w.queue = append(r.w.queue, f)
		default:
			if _, peer := f.event.(PeerMessageArrived); !peer {
				continue
			}
			r.w.queue = slices.Delete(r.w.queue, at, at+1)
		}
		r.tried.faults++
		return
	}
}

func (r *randomRun) fault() {
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

// delayAppend tells an entry that its append is uncertain and lets it land later, or lands one that was delayed.
func (r *randomRun) delayAppend() {
	for at, f := range r.w.queue {
		if e, is := f.effect.(Append); is {
			r.w.queue = slices.Delete(r.w.queue, at, at+1)
			r.late = append(r.late, e)
			r.w.back(f, Appended{Stream: e.Stream, BatchID: e.BatchID})
			return
		}
	}
	for _, e := range r.late {
		r.w.land(e.Stream, e.Data)
	}
	r.late = nil
}

func (r *randomRun) change() {
	i := r.node()
	if !r.up(i) || r.w.nodes[i].core.fold.Offset() == 0 {
		return
	}
	objects := r.w.nodes[i].core.fold.Objects("contract", account)
	if len(objects) == 0 {
		return
	}
	r.changes++
	r.w.change(i, fmt.Sprintf("change-%d", r.changes), contract(float64(r.changes+1)), objects[0].Version)
}

// configKept checks that no process's configuration goes back.
func (r *randomRun) configKept() {
	for i, n := range r.w.nodes {
		offset := n.core.fold.Offset()
		require.GreaterOrEqual(r.rt, offset, r.offsets[n.inc], entryName(i))
		r.offsets[n.inc] = offset
	}
}

// heal ends all faults, lets everything arrive, sends each key once more and checks all.
func (r *randomRun) heal() {
	w := r.w
	r.fault()
	w.logDown, w.appendMode = false, ""
	for _, e := range r.late {
		w.land(e.Stream, e.Data)
	}
	for i, n := range w.nodes {
		n.frozen, n.noLog = false, false
		if n.dead {
			w.start(i)
		}
	}
	w.stage = nil
	w.run(5 * time.Second)
	for key := range propertyKeys - 1 {
		w.send(r.node(), ticket, r.keys[key], fmt.Sprintf("body of %d", key), 3*time.Second)
	}
	w.run(5 * time.Second)
	for _, a := range w.attempts[len(w.attempts)-propertyKeys+1:] {
		require.Len(r.rt, w.replies[a.id], 1, "healed, each caller is answered")
	}
	for i, n := range w.nodes {
		require.Equal(r.rt, w.nodes[0].core.fold.Offset(), n.core.fold.Offset(), entryName(i))
		require.InDelta(r.rt, w.weight(0), w.weight(i), 0)
	}
	w.check()
}
