package publisher

import (
	"fmt"
	"time"

	"geraniumline/recorder"
)

// maxAssemblies limits the number of snapshots whose parts are collected at the same time.
const maxAssemblies = 4

// itemOverhead is an upper bound, in bytes, on the size of an encoded object or verdict apart from its strings.
const itemOverhead = 64

// maxItemsPerPart is below the schema's limits on the lists of a part.
const maxItemsPerPart = 2000

// snapshotTracker tracks the snapshots in the stream.
type snapshotTracker struct {
	assemblies []*assembly
	// sinceMillis is the log time of the newest complete snapshot, or of the first record; 0 for neither.
	sinceMillis int64
	// changes is the number of changes since then.
	changes int
	// retryAt is the earliest time for another snapshot.
	retryAt time.Time
	created int
}

func newSnapshotTracker() snapshotTracker { return snapshotTracker{} }

func (s *snapshotTracker) noteFirstRecord(atMillis int64) {
	if s.sinceMillis == 0 {
		s.sinceMillis = atMillis
	}
}

func (s *snapshotTracker) discardParts() { s.assemblies = nil }

// assembly collects the parts of one snapshot. Other records may come between the parts.
type assembly struct {
	id            string
	throughOffset int64
	parts         []*recorder.SnapshotPart
	missing       int
}

func (a *assembly) add(p *recorder.SnapshotPart) {
	if a.parts[p.Part] == nil {
		a.parts[p.Part] = p
		a.missing--
	}
}

func (s *snapshotTracker) assembly(p *recorder.SnapshotPart) *assembly {
	for _, a := range s.assemblies {
		if a.id == p.SnapshotID && a.throughOffset == p.ThroughOffset && len(a.parts) == p.Parts {
			return a
		}
	}
	a := &assembly{
		id:            p.SnapshotID,
		throughOffset: p.ThroughOffset,
		parts:         make([]*recorder.SnapshotPart, p.Parts),
		missing:       p.Parts,
	}
	s.assemblies = append(s.assemblies, a)
	if len(s.assemblies) > maxAssemblies {
		s.assemblies = s.assemblies[1:]
	}
	return a
}

func (s *snapshotTracker) remove(done *assembly) {
	for i, a := range s.assemblies {
		if a == done {
			s.assemblies = append(s.assemblies[:i:i], s.assemblies[i+1:]...)
			return
		}
	}
}

// applyPart processes one record of a snapshot. A Fold without a gap already has the snapshot's content and
// only notes that the snapshot exists; one with a gap installs the snapshot if it is newer.
func (f *Fold) applyPart(r recorder.Record, p *recorder.SnapshotPart) []Verdict {
	f.advance()
	if p.ThroughOffset >= r.Offset {
		f.badRecords++
		return nil
	}
	a := f.snaps.assembly(p)
	if !f.gap.open {
		// The objects are not needed, so they are not kept in memory.
		p = &recorder.SnapshotPart{Part: p.Part}
	}
	a.add(p)
	if a.missing > 0 {
		return nil
	}
	f.snaps.remove(a)
	if !f.gap.open {
		f.snaps.noteSnapshot(r.AtMillis)
		return nil
	}
	return f.installOverGap(a, r.AtMillis)
}

func (s *snapshotTracker) noteSnapshot(atMillis int64) {
	s.sinceMillis = atMillis
	s.changes = 0
	s.retryAt = time.Time{}
}

func validPart(p *recorder.SnapshotPart) bool {
	return p.Parts > 0 && p.Parts <= maxParts && p.Part >= 0 && p.Part < p.Parts && p.ThroughOffset >= 0
}

const maxParts = 4096

// installOverGap installs a snapshot over a gap if it is newer than the state in force. A snapshot that ends
// before gap.minThrough leaves out records that nothing can replace, so a newer one is needed.
func (f *Fold) installOverGap(a *assembly, atMillis int64) []Verdict {
	if a.throughOffset < f.gap.minThrough || a.throughOffset < f.offset {
		return nil
	}
	s, ok := a.state()
	if !ok {
		f.badRecords++
		return nil
	}
	f.snaps.noteSnapshot(atMillis)
	return f.installSnapshot(s, a.throughOffset)
}

// state returns the configuration that the parts contain.
func (a *assembly) state() (*state, bool) {
	s := newState()
	for _, part := range a.parts {
		for _, object := range part.Objects {
			p, faults := parse(object.Kind, object.Name, object.Body)
			if len(faults) > 0 {
				return nil, false
			}
			s.set(objectID{kind: object.Kind, name: object.Name}, &objectEntry{object: object, parsed: p})
		}
		for _, v := range part.Verdicts {
			s.history.add(fromWire(v))
		}
	}
	return s, true
}

// SnapshotDue reports whether a snapshot should be appended. It is false while a gap is open.
func (f *Fold) SnapshotDue(now time.Time) bool {
	if f.gap.open || f.snaps.sinceMillis == 0 || now.Before(f.snaps.retryAt) {
		return false
	}
	if f.snaps.changes >= f.cfg.SnapshotChanges {
		return true
	}
	return now.Sub(time.UnixMilli(f.snaps.sinceMillis)) >= f.cfg.SnapshotEvery
}

// Snapshot returns the whole configuration in force as records to append one after another. Other entries'
// changes may come between them: a reader applies those after throughOffset itself.
func (f *Fold) Snapshot(now time.Time) ([][]byte, error) {
	f.snaps.retryAt = now.Add(f.cfg.SnapshotRetry)
	f.snaps.created++
	id := fmt.Sprintf("%s-%d-%d", f.cfg.Entry, f.offset, f.snaps.created)
	parts := f.splitParts()
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

// splitParts distributes objects and verdicts over parts of limited size.
func (f *Fold) splitParts() []*recorder.SnapshotPart {
	parts := []*recorder.SnapshotPart{{}}
	remaining := f.cfg.PartBytes
	next := func(size int) *recorder.SnapshotPart {
		last := parts[len(parts)-1]
		if size > remaining && remaining < f.cfg.PartBytes || len(last.Objects)+len(last.Verdicts) >= maxItemsPerPart {
			last = &recorder.SnapshotPart{}
			parts = append(parts, last)
			remaining = f.cfg.PartBytes
		}
		remaining -= size
		return last
	}
	for _, object := range f.Objects("", "") {
		part := next(len(object.Kind) + len(object.Name) + len(object.Body) + itemOverhead)
		part.Objects = append(part.Objects, object)
	}
	for _, v := range f.state.history.verdicts {
		size := len(v.OperationID) + len(v.Operator) + len(v.Kind) + len(v.Name) + len(v.Message)
		part := next(size + itemOverhead)
		part.Verdicts = append(part.Verdicts, toWire(v))
	}
	return parts
}

// Restore installs a peer's snapshot if it is complete and newer than the configuration in force. It reports
// whether it did.
func (f *Fold) Restore(parts [][]byte, now time.Time) bool {
	var a *assembly
	tracker := newSnapshotTracker()
	for _, data := range parts {
		record, err := decode(data)
		if err != nil || record.Snapshot == nil {
			f.badRecords++
			return false
		}
		a = tracker.assembly(record.Snapshot)
		a.add(record.Snapshot)
	}
	if a == nil || a.missing > 0 || a.throughOffset <= f.offset {
		return false
	}
	s, ok := a.state()
	if !ok {
		f.badRecords++
		return false
	}
	f.snaps.noteFirstRecord(now.UnixMilli())
	f.installSnapshot(s, a.throughOffset)
	return true
}
