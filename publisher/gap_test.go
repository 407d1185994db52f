package publisher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/recorder"
)

// logWithSnapshot returns a log as an old entry wrote it, and the Fold of that entry: the base objects at
// offsets 2 to 10; a change at 12, appended while the entry's snapshot of offset 10 was in flight; and the
// snapshot's two parts at 14 and 18 with a change between them.
func logWithSnapshot(t *testing.T) (*Fold, []recorder.Record) {
	t.Helper()
	f, _ := applyChanges(t, baseChanges()...)
	f.cfg.PartBytes = 700
	parts, err := f.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	require.Greater(t, len(parts), 1)
	records := []recorder.Record{recordOf(t, 12, setChange("during", KindPool, "engines", 6, validPool))}
	records = append(records, recorder.Record{Offset: 14, AtMillis: testMillis + 14, Data: parts[0]})
	records = append(records, recordOf(t, 16, setChange("between", KindPool, "engines", 12, validPool)))
	for i, part := range parts[1:] {
		offset := int64(18 + i)
		records = append(records, recorder.Record{Offset: offset, AtMillis: testMillis + offset, Data: part})
	}
	for _, r := range records {
		f.Apply(r)
	}
	return f, records
}

// A new VM starts after the log's first records were cut. It reads changes whose base is missing, then a
// snapshot that was started before them. Applied as they are read, the changes would be conflicts here although
// they were accepted everywhere else. Held until the snapshot is complete, they get the same verdicts as at all
// other entries.
func TestNewReaderStartsFromSnapshot(t *testing.T) {
	old, records := logWithSnapshot(t)
	fresh := New(Config{Entry: "b"})
	require.True(t, fresh.BeginPage(11), "records were cut and there is no snapshot yet")
	var verdicts []Verdict
	for _, r := range records {
		require.False(t, fresh.SnapshotDue(time.UnixMilli(testMillis).Add(time.Hour)), "a reader with a gap must not write a snapshot")
		verdicts = append(verdicts, fresh.Apply(r)...)
	}
	require.False(t, fresh.BeginPage(11))
	require.Equal(t, old.Offset(), fresh.Offset())
	require.Equal(t, fingerprint(old), fingerprint(fresh))
	require.Len(t, verdicts, 2)
	require.Equal(t, int64(12), verdicts[0].Version)
	require.Equal(t, int64(16), verdicts[1].Version)
}

// The log's retention is too short: the change at 12 was cut, and the only snapshot ends at 10. The records
// between are unknown, so the entry must keep its state and report the gap. A later snapshot, or a peer's,
// closes it.
func TestSnapshotEndingBeforeTheCutIsIgnored(t *testing.T) {
	old, records := logWithSnapshot(t)
	reader, _ := applyChanges(t, baseChanges()[:4]...)
	before := fingerprint(reader)
	require.True(t, reader.BeginPage(14))
	for _, r := range records[1:] {
		require.Empty(t, reader.Apply(r))
	}
	require.True(t, reader.BeginPage(14))
	require.Equal(t, int64(8), reader.Offset())
	require.Equal(t, before, fingerprint(reader))

	parts, err := old.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	require.True(t, reader.Restore(parts, time.UnixMilli(testMillis)))
	require.Equal(t, fingerprint(old), fingerprint(reader))
	require.Equal(t, old.Offset(), reader.Offset())
	require.True(t, reader.Complete())
}

// The log is down and an entry requests a snapshot from a peer that is behind. The snapshot must not replace
// the newer configuration in force, because accepted changes would be lost.
func TestOlderPeerSnapshotIsIgnored(t *testing.T) {
	behind, _ := applyChanges(t, baseChanges()[:3]...)
	parts, err := behind.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	f, _ := applyChanges(t, baseChanges()...)
	require.False(t, f.Restore(parts, time.UnixMilli(testMillis)))
	require.Equal(t, int64(10), f.Offset())
	require.False(t, f.Restore(nil, time.UnixMilli(testMillis)))
	parts, err = f.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	require.False(t, behind.Restore(parts[:len(parts)-1], time.UnixMilli(testMillis)) && len(parts) > 1)
}

// A snapshot is due well before its predecessor expires by the log's time. Another entry's snapshot counts as
// well, and a new one is given time to be read back.
func TestSnapshotDue(t *testing.T) {
	f, _ := applyChanges(t, baseChanges()...)
	f.cfg.SnapshotEvery = time.Minute
	f.cfg.SnapshotRetry = 10 * time.Second
	now := time.UnixMilli(testMillis + 2)
	require.False(t, New(Config{}).SnapshotDue(now), "there is nothing to snapshot")
	require.False(t, f.SnapshotDue(now.Add(59*time.Second)))
	now = now.Add(time.Minute)
	require.True(t, f.SnapshotDue(now))
	parts, err := f.Snapshot(now)
	require.NoError(t, err)
	require.False(t, f.SnapshotDue(now.Add(9*time.Second)))
	require.True(t, f.SnapshotDue(now.Add(10*time.Second)), "the snapshot was not read back")
	for i, part := range parts {
		f.Apply(recorder.Record{Offset: int64(20 + i), AtMillis: now.UnixMilli(), Data: part})
	}
	require.False(t, f.SnapshotDue(now.Add(59*time.Second)))
	f.cfg.SnapshotChanges = 1
	f.Apply(recordOf(t, 100, setChange("x", KindPool, "engines", 6, validPool)))
	require.True(t, f.SnapshotDue(now.Add(time.Second)), "many changes slow down a new reader's start")
}
