package publisher

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets rapid's flags for CI, where the same seed gives the same result. Override them on the command
// line to search further.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.nofailfile": "true", "rapid.seed": "20", "rapid.checks": "300", "rapid.steps": "250",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Operators publish at several entries at once, from versions that are in force or not, with operation IDs sent
// twice. Appends are committed late, out of order or never. Entries are replaced, fall behind the log's
// retention, and read snapshots whose parts are interleaved with other changes, or a peer's snapshot. At every
// offset that an entry reports to be in force, it must have the same configuration as a reader that missed
// nothing, and its offset must never decrease.
func TestEveryReaderHasTheSameConfiguration(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		retention := rapid.SampledFrom([]time.Duration{3 * time.Minute, 10 * time.Minute}).Draw(t, "retention")
		w := newSimulation(retention, "a", "b", "c")
		t.Repeat(actions(w))
		for name, n := range w.counts {
			totals[name] += n
		}
	})
	t.Logf("executed steps and faults: %v", totals)
	for _, name := range []string{"accepted", "conflict", "invalid", "doubled", "snapshots", "gap", "gapClosed", "restored", "replaced", "lost", "bad"} {
		require.NotZero(t, totals[name], "the run must exercise %s", name)
	}
}

func actions(w *simulation) map[string]func(*rapid.T) {
	step := func(f func(t *rapid.T, name string)) func(*rapid.T) {
		return func(t *rapid.T) {
			w.counts["steps"]++
			f(t, rapid.SampledFrom(w.names).Draw(t, "entry"))
		}
	}
	publish := step(w.publishOne)
	read := step(func(t *rapid.T, name string) { w.read(name, rapid.IntRange(1, 30).Draw(t, "limit")) })
	commit := step(func(t *rapid.T, _ string) { w.commitOne(t) })
	return map[string]func(*rapid.T){
		"publish": publish, "publishMore": publish, "read": read, "readMore": read,
		"land": commit, "landMore": commit, "landOn": commit, "landAll": commit,
		"snapshot": step(func(_ *rapid.T, name string) { w.snapshot(name) }),
		"restore":  step(func(t *rapid.T, name string) { w.restore(name, rapid.SampledFrom(w.names).Draw(t, "from")) }),
		"replace":  step(w.replaceOne),
		"lose":     step(func(t *rapid.T, _ string) { w.loseOne(t) }),
		"wait": step(func(t *rapid.T, _ string) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "seconds")) * time.Second)
			w.cut()
		}),
		"": func(t *rapid.T) { require.Empty(t, w.violations) },
	}
}

func (w *simulation) publishOne(t *rapid.T, name string) {
	if rapid.IntRange(1, 20).Draw(t, "bad") == 1 {
		w.counts["bad"]++
		w.pending = append(w.pending, []byte("no record"))
		return
	}
	repeated := rapid.IntRange(1, 10).Draw(t, "doubled") == 1 && w.ops > 0
	id := w.ops
	if repeated {
		w.counts["doubled"]++
		id = rapid.IntRange(0, w.ops-1).Draw(t, "operation")
	} else {
		w.ops++
	}
	w.publish(w.drawChange(t, name, fmt.Sprint("op", id)))
}

func (w *simulation) drawChange(t *rapid.T, entry, id string) Change {
	type object struct{ kind, name, body string }
	o := rapid.SampledFrom([]object{
		{KindPool, "encoders", `{"kind":"encoder","slotsPerEndpoint":4}`},
		{KindPool, "retrievers", `{"kind":"retriever","slotsPerEndpoint":4}`},
		{KindPool, "engines", validPool},
		{KindPipeline, "digest", validPipeline},
		{KindContract, "kilima", validContract},
		{KindContract, "wallcare", validContract},
		{KindPool, "engines", `{"kind":"engine"}`},
	}).Draw(t, "object")
	c := Change{OperationID: id, Operator: entry, Kind: o.kind, Name: o.name, Body: []byte(o.body)}
	if rapid.IntRange(1, 6).Draw(t, "remove") == 1 {
		c.Remove = true
		c.Body = nil
	}
	if objects := w.readers[entry].Objects(o.kind, o.name); len(objects) > 0 {
		c.BaseVersion = objects[0].Version
	}
	if rapid.IntRange(1, 8).Draw(t, "stale") == 1 {
		c.BaseVersion--
	}
	return c
}

func (w *simulation) commitOne(t *rapid.T) {
	if len(w.pending) == 0 {
		return
	}
	// Commit mostly in order; otherwise few snapshots would be complete.
	i := rapid.SampledFrom([]int{0, 0, 0, len(w.pending) / 2}).Draw(t, "append")
	w.commit(i, int64(rapid.IntRange(0, 2).Draw(t, "hole")))
}

func (w *simulation) loseOne(t *rapid.T) {
	if len(w.pending) == 0 || rapid.IntRange(1, 3).Draw(t, "lose") != 1 {
		return
	}
	w.counts["lost"]++
	w.pending = w.pending[:len(w.pending)-1]
}

// replaceOne replaces an entry's VM; the new one keeps no state.
func (w *simulation) replaceOne(t *rapid.T, name string) {
	if rapid.IntRange(1, 5).Draw(t, "replace") == 1 {
		w.counts["replaced"]++
		w.readers[name] = New(testConfig(name))
	}
}
