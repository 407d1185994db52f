package publisher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/recorder"
)

// written is a log as an old entry wrote it: the base objects at offsets 2 to 10, then, while the entry's snapshot
// of offset 10 was on its way, a change at 12, then the snapshot's two parts at 14 and 18 with a change between.
func written(t *testing.T) (*Fold, []recorder.Record) {
	t.Helper()
	f, _ := folded(t, base()...)
	f.cfg.PartBytes = 700
	parts, err := f.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	require.Greater(t, len(parts), 1)
	records := []recorder.Record{recordOf(t, 12, set("during", KindPool, "engines", 6, goodPool))}
	records = append(records, recorder.Record{Offset: 14, AtMillis: testMillis + 14, Data: parts[0]})
	records = append(records, recordOf(t, 16, set("between", KindPool, "engines", 12, goodPool)))
	for i, part := range parts[1:] {
		offset := int64(18 + i)
		records = append(records, recorder.Record{Offset: offset, AtMillis: testMillis + offset, Data: part})
	}
	for _, r := range records {
		f.Apply(r)
	}
	return f, records
}

// A new VM starts when the log's first records are cut. It finds changes whose base it has never seen, then a
// snapshot that was begun before them. Judged as they are read, the changes would be conflicts here and accepted
// everywhere else; held until the snapshot is whole, they get the verdicts that all others gave.
func TestANewReaderStartsAtASnapshot(t *testing.T) {
	old, records := written(t)
	fresh := New(Config{Entry: "b"})
	require.True(t, fresh.BeginPage(11), "records were cut and no snapshot is there yet")
	var verdicts []Verdict
	for _, r := range records {
		require.False(t, fresh.SnapshotDue(time.UnixMilli(testMillis).Add(time.Hour)), "it has nothing to give")
		verdicts = append(verdicts, fresh.Apply(r)...)
	}
	require.False(t, fresh.BeginPage(11))
	require.Equal(t, old.Offset(), fresh.Offset())
	require.Equal(t, fingerprint(old), fingerprint(fresh))
	require.Len(t, verdicts, 2)
	require.Equal(t, int64(12), verdicts[0].Version)
	require.Equal(t, int64(16), verdicts[1].Version)
}

// The log keeps less than it should: the change at 12 is cut, and the only snapshot ends at 10. Nobody can tell what
// lies between, so the entry must keep what it has and say so; a later snapshot, or a peer's, makes up for it.
func TestASnapshotThatEndsBeforeTheCutIsNotTaken(t *testing.T) {
	old, records := written(t)
	reader, _ := folded(t, base()[:4]...)
	had := fingerprint(reader)
	require.True(t, reader.BeginPage(14))
	for _, r := range records[1:] {
		require.Empty(t, reader.Apply(r))
	}
	require.True(t, reader.BeginPage(14))
	require.Equal(t, int64(8), reader.Offset())
	require.Equal(t, had, fingerprint(reader))

	parts, err := old.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	require.True(t, reader.Restore(parts, time.UnixMilli(testMillis)))
	require.Equal(t, fingerprint(old), fingerprint(reader))
	require.Equal(t, old.Offset(), reader.Offset())
	require.True(t, reader.Complete())
}

// The log is down and an entry asks a peer that is behind. What the entry has in force must not be replaced
// by something older: an accepted change would be gone again.
func TestAnOlderSnapshotOfAPeerIsNotTaken(t *testing.T) {
	behind, _ := folded(t, base()[:3]...)
	parts, err := behind.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	f, _ := folded(t, base()...)
	require.False(t, f.Restore(parts, time.UnixMilli(testMillis)))
	require.Equal(t, int64(10), f.Offset())
	require.False(t, f.Restore(nil, time.UnixMilli(testMillis)))
	parts, err = f.Snapshot(time.UnixMilli(testMillis))
	require.NoError(t, err)
	require.False(t, behind.Restore(parts[:len(parts)-1], time.UnixMilli(testMillis)) && len(parts) > 1)
}

// A snapshot is due well before its predecessor expires, by the log's time; another one's counts as well,
// and one that was made is given time to be read back.
func TestSnapshotDue(t *testing.T) {
	f, _ := folded(t, base()...)
	f.cfg.SnapshotEvery = time.Minute
	f.cfg.SnapshotRetry = 10 * time.Second
	now := time.UnixMilli(testMillis + 2)
	require.False(t, New(Config{}).SnapshotDue(now), "there is nothing to keep")
	require.False(t, f.SnapshotDue(now.Add(59*time.Second)))
	now = now.Add(time.Minute)
	require.True(t, f.SnapshotDue(now))
	parts, err := f.Snapshot(now)
	require.NoError(t, err)
	require.False(t, f.SnapshotDue(now.Add(9*time.Second)))
	require.True(t, f.SnapshotDue(now.Add(10*time.Second)), "it was not read back")
	for i, part := range parts {
		f.Apply(recorder.Record{Offset: int64(20 + i), AtMillis: now.UnixMilli(), Data: part})
	}
	require.False(t, f.SnapshotDue(now.Add(59*time.Second)))
	f.cfg.SnapshotChanges = 1
	f.Apply(recordOf(t, 100, set("x", KindPool, "engines", 6, goodPool)))
	require.True(t, f.SnapshotDue(now.Add(time.Second)), "many changes make a new reader's start long")
}
