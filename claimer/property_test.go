package claimer

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets rapid's flags for CI, where the same seed gives the same result. Override them on the command
// line to search further.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "20", "rapid.checks": "1500", "rapid.steps": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Callers send one key to several entries repeatedly. Meanwhile appends are lost, duplicated, delayed by
// minutes or committed without a reply, entries are killed, frozen and declared dead while they are alive, and
// old records are cut. The endpoints' ledger must never show a key twice, nor an attempt whose caller was
// answered that it did not run.
func TestAtMostOnceUnderAnyOrderOfEvents(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		retention := rapid.SampledFrom([]time.Duration{13 * time.Minute, 3 * time.Minute}).Draw(t, "retention")
		w := newSimulation(retention, "a", "b", "c")
		w.newKey(0)
		t.Repeat(actions(w, totals))
		for name, n := range w.counts {
			totals[name] += n
		}
		for _, runs := range w.ledger {
			totals["runs"] += len(runs)
		}
	})
	t.Logf("executed steps and faults: %v", totals)
	for _, name := range []string{"runs", "kill", "freeze", "replyLost", "late", "copied", "closeLive", "gap", "lapsed", "gaveUpInFlight"} {
		require.NotZero(t, totals[name], "the run must exercise %s", name)
	}
}

// Like TestAtMostOnceUnderAnyOrderOfEvents, but the log repeatedly returns from copies that are some seconds
// old: claims, releases, outcomes and closings that it had acknowledged are lost, their offsets are assigned
// again, and appends from before the return are committed after it.
func TestAtMostOnceWhileTheLogReturnsFromOlderCopies(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		retention := rapid.SampledFrom([]time.Duration{13 * time.Minute, 3 * time.Minute}).Draw(t, "retention")
		w := newSimulation(retention, "a", "b", "c")
		w.newKey(0)
		all := actions(w, totals)
		all["return"] = func(t *rapid.T) {
			if oneIn(t, 4) {
				age := time.Duration(rapid.IntRange(0, 6000).Draw(t, "age")) * time.Millisecond
				w.counts["lostRecords"] += w.log.returnFrom(w.now.Add(-age))
			}
		}
		t.Repeat(all)
		for name, n := range w.counts {
			totals[name] += n
		}
		for _, runs := range w.ledger {
			totals["runs"] += len(runs)
		}
	})
	t.Logf("executed steps and faults: %v", totals)
	for _, name := range []string{"runs", "renewed", "lostRecords", "kill", "freeze", "late", "closeLive", "unproved"} {
		require.NotZero(t, totals[name], "the run must exercise %s", name)
	}
}

func actions(w *simulation, totals map[string]int) map[string]func(*rapid.T) {
	step := func(f func(t *rapid.T, p *process)) func(*rapid.T) {
		return func(t *rapid.T) {
			totals["steps"]++
			p := w.entries[rapid.SampledFrom(w.names).Draw(t, "entry")]
			if p.frozen > 0 {
				p.frozen--
				return
			}
			f(t, p)
			w.startAppends()
		}
	}
	send := step(func(t *rapid.T, p *process) {
		w.send(p, w.drawKey(t), [32]byte{byte(rapid.IntRange(1, 2).Draw(t, "body"))})
	})
	read := step(func(t *rapid.T, p *process) { w.read(p, rapid.IntRange(1, 40).Draw(t, "limit")) })
	commit := step(func(t *rapid.T, _ *process) { w.commitOne(t, true) })
	return map[string]func(*rapid.T){
		"send": send, "sendAgain": send, "read": read, "readMore": read, "readOn": read, "land": commit, "landMore": commit,
		"landWithoutReply": step(func(t *rapid.T, _ *process) { w.commitOne(t, false) }),
		"finish":           step(func(_ *rapid.T, p *process) { w.finish(p) }),
		"giveUp":           step(func(t *rapid.T, p *process) { w.giveUpOne(t, p) }),
		"newKey": step(func(t *rapid.T, _ *process) {
			w.newKey(time.Duration(rapid.IntRange(-40, 40).Draw(t, "skew")) * time.Second)
		}),
		"lose":   step(func(t *rapid.T, _ *process) { w.loseOne(t) }),
		"freeze": step(func(t *rapid.T, p *process) { w.freezeOne(t, p) }),
		"kill":   step(func(t *rapid.T, p *process) { w.killOne(t, p) }),
		"close":  step(func(t *rapid.T, p *process) { w.closeOne(t, p) }),
		"wait":   step(func(t *rapid.T, _ *process) { w.advance(t) }),
		"": func(t *rapid.T) {
			require.Empty(t, w.violations)
		},
	}
}

// oneIn returns true once in n draws on average.
func oneIn(t *rapid.T, n int) bool { return rapid.IntRange(1, n).Draw(t, "seldom") == n }

func (w *simulation) drawKey(t *rapid.T) Key {
	// Draw one of the newest keys, because the others are past their horizon after a while.
	back := min(len(w.keys), rapid.IntRange(1, 4).Draw(t, "back"))
	return w.keys[len(w.keys)-back]
}

func (w *simulation) startAppends() {
	for _, name := range w.names {
		if p := w.entries[name]; p.frozen == 0 {
			w.startAppend(p)
		}
	}
}

func (w *simulation) drawPending(t *rapid.T) (int, bool) {
	if len(w.pending) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(w.pending)-1).Draw(t, "append"), true
}

func (w *simulation) commitOne(t *rapid.T, reply bool) {
	i, ok := w.drawPending(t)
	if !ok {
		return
	}
	copied := rapid.IntRange(0, 9).Draw(t, "copied") == 0
	if copied {
		w.counts["copied"]++
	}
	if w.pending[i].replied {
		w.counts["late"]++
	}
	w.commit(i, reply, copied, int64(rapid.IntRange(0, 2).Draw(t, "hole")))
}

func (w *simulation) loseOne(t *rapid.T) {
	i, ok := w.drawPending(t)
	if !ok {
		return
	}
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0:
		w.counts["lost"]++
		w.drop(i, AppendUncertain{})
	case 1:
		if !w.pending[i].replied {
			w.counts["refused"]++
			w.drop(i, AppendRefused{})
		}
	default:
		w.delay(i)
	}
}

func (w *simulation) giveUpOne(t *rapid.T, p *process) {
	var ids []uint64
	for id, a := range p.attempts {
		if !a.dispatched && a.answer == "" {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		slices.Sort(ids)
		w.giveUp(p, rapid.SampledFrom(ids).Draw(t, "attempt"))
	}
}

func (w *simulation) freezeOne(t *rapid.T, p *process) {
	if oneIn(t, 3) {
		w.counts["freeze"]++
		p.frozen = rapid.IntRange(1, 40).Draw(t, "steps")
	}
}

func (w *simulation) killOne(t *rapid.T, p *process) {
	if oneIn(t, 4) {
		w.counts["kill"]++
		w.kill(p.name)
	}
}

// closeOne makes p declare an incarnation dead: a former one, or one that is still alive.
func (w *simulation) closeOne(t *rapid.T, p *process) {
	if !oneIn(t, 6) {
		return
	}
	other := w.entries[rapid.SampledFrom(w.names).Draw(t, "other")]
	inc := rapid.Uint64Range(1, other.inc).Draw(t, "incarnation")
	if inc == other.inc {
		w.counts["closeLive"]++
	}
	p.batcher.Add(Closed{Entry: other.name, Incarnation: inc})
}

func (w *simulation) advance(t *rapid.T) {
	waits := []time.Duration{50 * time.Millisecond, time.Second, 5 * time.Second, time.Minute, 5 * time.Minute, 14 * time.Minute}
	long := len(waits) - 1
	if !oneIn(t, 12) {
		long = 2
	}
	w.now = w.now.Add(waits[rapid.IntRange(0, long).Draw(t, "wait")])
	w.log.cut(w.now)
}
