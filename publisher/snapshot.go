package publisher

import (
	"fmt"
	"time"

	"geraniumline/recorder"
)

// maxAssemblies bounds the snapshots whose parts are being gathered at once.
const maxAssemblies = 4

// perPartOverhead is more than an encoded object or verdict needs beside its strings.
const perPartOverhead = 64

// maxItemsPerPart stays below the schema's limits on the lists of a part.
const maxItemsPerPart = 2000

// snapshots knows which snapshots the stream holds.
type snapshots struct {
	assemblies []*assembly
	// sinceMillis is the log's time of the newest complete snapshot, or of the first record; 0 for neither.
	sinceMillis int64
	// changes counts the changes since then.
	changes int
	// retryAt is when another snapshot may be made.
	retryAt time.Time
	made    int
}

func newSnapshots() snapshots { return snapshots{} }

func (s *snapshots) sawRecord(atMillis int64) {
	if s.sinceMillis == 0 {
		s.sinceMillis = atMillis
	}
}

func (s *snapshots) forgetParts() { s.assemblies = nil }

// assembly gathers the parts of one snapshot, which other records may lie between.
type assembly struct {
	id      string
	through int64
	parts   []*recorder.SnapshotPart
	missing int
}

func (a *assembly) add(p *recorder.SnapshotPart) {
	if a.parts[p.Part] == nil {
		a.parts[p.Part] = p
		a.missing--
	}
}

func (s *snapshots) assembly(p *recorder.SnapshotPart) *assembly {
	for _, a := range s.assemblies {
		if a.id == p.SnapshotID && a.through == p.ThroughOffset && len(a.parts) == p.Parts {
			return a
		}
	}
	a := &assembly{
		id:      p.SnapshotID,
		through: p.ThroughOffset,
		parts:   make([]*recorder.SnapshotPart, p.Parts),
		missing: p.Parts,
	}
	s.assemblies = append(s.assemblies, a)
	if len(s.assemblies) > maxAssemblies {
		s.assemblies = s.assemblies[1:]
	}
	return a
}

func (s *snapshots) drop(done *assembly) {
	for i, a := range s.assemblies {
		if a == done {
			s.assemblies = append(s.assemblies[:i:i], s.assemblies[i+1:]...)
			return
		}
	}
}

// takePart takes one record of a snapshot. A fold without a gap has all that the snapshot says and only notes
// that it is there; a fold with one puts it in force if it is newer.
func (f *Fold) takePart(r recorder.Record, p *recorder.SnapshotPart) []Verdict {
	f.advance()
	if p.ThroughOffset >= r.Offset {
		f.bad++
		return nil
	}
	a := f.snaps.assembly(p)
	if !f.gap.open {
		// The objects are not needed, so their memory is not held.
		p = &recorder.SnapshotPart{Part: p.Part}
	}
	a.add(p)
	if a.missing > 0 {
		return nil
	}
	f.snaps.drop(a)
	if !f.gap.open {
		f.snaps.noteComplete(r.AtMillis)
		return nil
	}
	return f.adopt(a, r.AtMillis)
}

func (s *snapshots) noteComplete(atMillis int64) {
	s.sinceMillis = atMillis
	s.changes = 0
	s.retryAt = time.Time{}
}

func wellFormed(p *recorder.SnapshotPart) bool {
	return p.Parts > 0 && p.Parts <= maxParts && p.Part >= 0 && p.Part < p.Parts && p.ThroughOffset >= 0
}

const maxParts = 4096

// adopt puts a snapshot in force over a gap, if it is newer than what is in force.
// A snapshot that ends before the floor leaves a hole that nothing can fill: a newer one must come.
func (f *Fold) adopt(a *assembly, atMillis int64) []Verdict {
	if a.through < f.gap.floor || a.through < f.offset {
		return nil
	}
	s, ok := a.state()
	if !ok {
		f.bad++
		return nil
	}
	f.snaps.noteComplete(atMillis)
	return f.closeGap(s, a.through)
}

// state gives the configuration that the parts hold.
func (a *assembly) state() (*state, bool) {
	s := newState()
	for _, part := range a.parts {
		for _, object := range part.Objects {
			p, faults := parse(object.Kind, object.Name, object.Body)
			if len(faults) > 0 {
				return nil, false
			}
			s.set(objectID{kind: object.Kind, name: object.Name}, &entryOf{object: object, parsed: p})
		}
		for _, v := range part.Verdicts {
			s.history.add(fromWire(v))
		}
	}
	return s, true
}

// SnapshotDue tells that a snapshot should be appended. A fold with a gap has none to give.
func (f *Fold) SnapshotDue(now time.Time) bool {
	if f.gap.open || f.snaps.sinceMillis == 0 || now.Before(f.snaps.retryAt) {
		return false
	}
	if f.snaps.changes >= f.cfg.SnapshotChanges {
		return true
	}
	return now.Sub(time.UnixMilli(f.snaps.sinceMillis)) >= f.cfg.SnapshotEvery
}

// Snapshot gives the whole configuration in force as records to append one after another.
// Changes of others may come between: a reader folds in those after throughOffset itself.
func (f *Fold) Snapshot(now time.Time) ([][]byte, error) {
	f.snaps.retryAt = now.Add(f.cfg.SnapshotRetry)
	f.snaps.made++
	id := fmt.Sprintf("%s-%d-%d", f.cfg.Entry, f.offset, f.snaps.made)
	parts := f.split()
	out := make([][]byte, 0, len(parts))
	for i, part := range parts {
		part.SnapshotID = id
		part.Part = i
		part.Parts = len(parts)
		part.ThroughOffset = f.offset
		record := recorder.ConfigRecord{Snapshot: part}
		data, err := record.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		out = append(out, data)
	}
	return out, nil
}

// split lays objects and verdicts into parts of bounded size.
func (f *Fold) split() []*recorder.SnapshotPart {
	parts := []*recorder.SnapshotPart{{}}
	room := f.cfg.PartBytes
	next := func(size int) *recorder.SnapshotPart {
		last := parts[len(parts)-1]
		if size > room && room < f.cfg.PartBytes || len(last.Objects)+len(last.Verdicts) >= maxItemsPerPart {
			last = &recorder.SnapshotPart{}
			parts = append(parts, last)
			room = f.cfg.PartBytes
		}
		room -= size
		return last
	}
	for _, object := range f.Objects("", "") {
		part := next(len(object.Kind) + len(object.Name) + len(object.Body) + perPartOverhead)
		part.Objects = append(part.Objects, object)
	}
	for _, v := range f.state.history.verdicts {
		size := len(v.OperationID) + len(v.Operator) + len(v.Kind) + len(v.Name) + len(v.Message)
		part := next(size + perPartOverhead)
		part.Verdicts = append(part.Verdicts, toWire(v))
	}
	return parts
}

// Restore puts a peer's snapshot in force, if it is complete and newer than what is in force.
func (f *Fold) Restore(parts [][]byte, now time.Time) bool {
	var a *assembly
	gathered := newSnapshots()
	for _, data := range parts {
		record, err := decode(data)
		if err != nil || record.Snapshot == nil {
			f.bad++
			return false
		}
		a = gathered.assembly(record.Snapshot)
		a.add(record.Snapshot)
	}
	if a == nil || a.missing > 0 || a.through <= f.offset {
		return false
	}
	s, ok := a.state()
	if !ok {
		f.bad++
		return false
	}
	f.snaps.sawRecord(now.UnixMilli())
	f.closeGap(s, a.through)
	return true
}
