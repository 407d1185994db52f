package publisher

import (
	"fmt"
	"slices"
	"time"

	"geraniumline/recorder"
)

// simulation models a log, its readers and a reference reader that never misses a record.
type simulation struct {
	now       time.Time
	retention time.Duration
	records   []recorder.Record
	first     int64
	last      int64
	// pending holds the appends in flight; they are committed in any order or never.
	pending   [][]byte
	readers   map[string]*Fold
	names     []string
	reference *Fold
	// states holds the reference's configuration and verdicts after each record.
	states     map[int64]string
	ops        int
	counts     map[string]int
	violations []string
}

func testConfig(entry string) Config {
	return Config{Entry: entry, SnapshotEvery: time.Minute, SnapshotChanges: 20, PartBytes: 400, MaxHeld: 15}
}

func newSimulation(retention time.Duration, names ...string) *simulation {
	w := &simulation{
		now:       time.UnixMilli(1_700_000_000_000),
		retention: retention,
		readers:   make(map[string]*Fold),
		names:     names,
		reference: New(testConfig("truth")),
		states:    make(map[int64]string),
		counts:    make(map[string]int),
	}
	w.states[0] = fingerprint(w.reference)
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

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// commit appends a pending record to the log, where the reference reads it at once.
func (w *simulation) commit(i int, gap int64) {
	w.last += 1 + gap
	r := recorder.Record{Offset: w.last, AtMillis: w.now.UnixMilli(), Data: w.pending[i]}
	w.pending = slices.Delete(w.pending, i, i+1)
	w.records = append(w.records, r)
	for _, v := range w.reference.Apply(r) {
		w.counts[v.State.String()]++
	}
	w.states[w.last] = fingerprint(w.reference)
}

func (w *simulation) cut() {
	oldest := w.now.Add(-w.retention).UnixMilli()
	for len(w.records) > 0 && w.records[0].AtMillis < oldest {
		w.first = w.records[0].Offset + 1
		w.records = w.records[1:]
	}
}

// read applies the next records to a reader as one page.
func (w *simulation) read(name string, limit int) {
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

func (w *simulation) applyAt(name string, f *Fold, r recorder.Record) {
	before := f.Offset()
	for _, v := range f.Apply(r) {
		if reference, ok := w.reference.Verdict(v.OperationID); !ok || reference != v {
			w.violate("%s: verdict %v, want %v", name, v, reference)
		}
	}
	w.check(name, f, before)
}

// check compares a reader with the reference at the offset that the reader reports to be in force.
func (w *simulation) check(name string, f *Fold, before int64) {
	if f.Offset() < before {
		w.violate("%s: offset decreased from %d to %d", name, before, f.Offset())
	}
	if got := fingerprint(f); got != w.states[f.Offset()] {
		w.violate("%s at offset %d: got\n%s\nwant\n%s", name, f.Offset(), got, w.states[f.Offset()])
	}
}

func (w *simulation) snapshot(name string) {
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

// restore restores one reader from another's snapshot, as peers do when the log is down.
func (w *simulation) restore(name, from string) {
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

func (w *simulation) publish(c Change) {
	data, err := EncodeChange(c)
	if err != nil {
		w.violate("encode: %v", err)
	}
	w.pending = append(w.pending, data)
}
