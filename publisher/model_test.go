package publisher

import (
	"fmt"
	"slices"
	"time"

	"geraniumline/recorder"
)

// world is a log, its readers and a reader of truth that never misses a record.
type world struct {
	now       time.Time
	retention time.Duration
	records   []recorder.Record
	first     int64
	last      int64
	// pending are appends on their way; they land in any order or never.
	pending [][]byte
	readers map[string]*Fold
	names   []string
	truth   *Fold
	// states are the truth's configuration and verdicts after each record.
	states map[int64]string
	ops    int
	counts map[string]int
	faulty []string
}

func testConfig(entry string) Config {
	return Config{Entry: entry, SnapshotEvery: time.Minute, SnapshotChanges: 20, PartBytes: 400, MaxHeld: 15}
}

func newModel(retention time.Duration, names ...string) *world {
	w := &world{
		now:       time.UnixMilli(1_700_000_000_000),
		retention: retention,
		readers:   make(map[string]*Fold),
		names:     names,
		truth:     New(testConfig("truth")),
		states:    make(map[int64]string),
		counts:    make(map[string]int),
	}
	w.states[0] = fingerprint(w.truth)
	for _, name := range names {
		w.readers[name] = New(testConfig(name))
	}
	return w
}

func fingerprint(f *Fold) string {
	out := ""
	for _, o := range f.Objects("", "") {
		out += fmt.Sprintf("%s/%s@%d=%s\n", o.Kind, o.Name, o.Version, o.Body)
	}
	return out + fmt.Sprint(f.History(historyLimit))
}

func (w *world) violate(format string, args ...any) {
	w.faulty = append(w.faulty, fmt.Sprintf(format, args...))
}

// land puts an append in the log, where the truth reads it at once.
func (w *world) land(i int, hole int64) {
	w.last += 1 + hole
	r := recorder.Record{Offset: w.last, AtMillis: w.now.UnixMilli(), Data: w.pending[i]}
	w.pending = slices.Delete(w.pending, i, i+1)
	w.records = append(w.records, r)
	for _, v := range w.truth.Apply(r) {
		w.counts[v.State.String()]++
	}
	w.states[w.last] = fingerprint(w.truth)
}

func (w *world) cut() {
	oldest := w.now.Add(-w.retention).UnixMilli()
	for len(w.records) > 0 && w.records[0].AtMillis < oldest {
		w.first = w.records[0].Offset + 1
		w.records = w.records[1:]
	}
}

// read gives a reader the next records, as one page.
func (w *world) read(name string, limit int) {
	f := w.readers[name]
	wasComplete := f.Complete()
	if f.BeginPage(w.first) && wasComplete {
		w.counts["gap"]++
	}
	for _, r := range w.records {
		if r.Offset < f.Next() {
			continue
		}
		if limit--; limit < 0 {
			break
		}
		w.applyAt(name, f, r)
	}
	if !wasComplete && f.Complete() {
		w.counts["gapClosed"]++
	}
}

func (w *world) applyAt(name string, f *Fold, r recorder.Record) {
	before := f.Offset()
	for _, v := range f.Apply(r) {
		if truth, ok := w.truth.Verdict(v.OperationID); !ok || truth != v {
			w.violate("%s gave %v, the truth is %v", name, v, truth)
		}
	}
	w.check(name, f, before)
}

// check holds a reader against the truth at the offset that it says is in force.
func (w *world) check(name string, f *Fold, before int64) {
	if f.Offset() < before {
		w.violate("%s went back from %d to %d", name, before, f.Offset())
	}
	if got := fingerprint(f); got != w.states[f.Offset()] {
		w.violate("%s at %d has\n%s\nbut the truth was\n%s", name, f.Offset(), got, w.states[f.Offset()])
	}
}

func (w *world) snapshot(name string) {
	f := w.readers[name]
	if !f.SnapshotDue(w.now) {
		return
	}
	parts, err := f.Snapshot(w.now)
	if err != nil {
		w.violate("snapshot: %v", err)
	}
	w.counts["snapshots"]++
	w.counts["parts"] += len(parts)
	w.pending = append(w.pending, parts...)
}

// restore gives one reader another's snapshot, as peers do when the log is down.
func (w *world) restore(name, from string) {
	parts, err := w.readers[from].Snapshot(w.now)
	if err != nil {
		w.violate("snapshot: %v", err)
	}
	f := w.readers[name]
	before := f.Offset()
	if f.Restore(parts, w.now) {
		w.counts["restored"]++
	}
	w.check(name, f, before)
}

func (w *world) publish(c Change) {
	data, err := EncodeChange(c)
	if err != nil {
		w.violate("encode: %v", err)
	}
	w.pending = append(w.pending, data)
}
