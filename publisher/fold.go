package publisher

import (
	"errors"
	"time"

	"geraniumline/recorder"
)

// Config configures a Fold and its snapshots. SnapshotEvery must be well below the log's retention, a third or
// less, so that a complete snapshot exists before its predecessor expires.
type Config struct {
	// Entry is the name of this entry, used in the names of its snapshots.
	Entry string
	// SnapshotEvery is the maximum time between snapshots.
	SnapshotEvery time.Duration
	// SnapshotChanges is the number of changes after a snapshot at which the next one is due.
	SnapshotChanges int
	// SnapshotRetry is how long to wait for a snapshot to be read back before another is tried.
	SnapshotRetry time.Duration
	// PartBytes limits one record of a snapshot.
	PartBytes int
	// MaxHeld limits the number of changes that are held back behind a gap.
	MaxHeld int
}

const (
	defaultSnapshotEvery   = 10 * time.Minute
	defaultSnapshotChanges = 2000
	defaultSnapshotRetry   = 30 * time.Second
	defaultPartBytes       = 256 << 10
	defaultMaxHeld         = 20_000
)

func (c Config) withDefaults() Config {
	if c.SnapshotEvery <= 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.SnapshotChanges <= 0 {
		c.SnapshotChanges = defaultSnapshotChanges
	}
	if c.SnapshotRetry <= 0 {
		c.SnapshotRetry = defaultSnapshotRetry
	}
	if c.PartBytes <= 0 {
		c.PartBytes = defaultPartBytes
	}
	if c.MaxHeld <= 0 {
		c.MaxHeld = defaultMaxHeld
	}
	return c
}

// Fold is the configuration in force at one entry, computed from the configuration stream. Its offset never
// decreases.
type Fold struct {
	cfg   Config
	state *state
	// offset is the last record that is in force; lastRead is the last one that was read, including those held
	// back.
	offset     int64
	lastRead   int64
	gap        gap
	snaps      snapshotTracker
	badRecords int
}

// New returns a Fold that has read nothing.
func New(cfg Config) *Fold {
	return &Fold{cfg: cfg.withDefaults(), state: newState(), snaps: newSnapshotTracker()}
}

// Apply processes the stream's next record and returns the resulting verdicts: none for a record that was read
// before, is malformed or is held back behind a gap, several when a snapshot closes a gap.
func (f *Fold) Apply(r recorder.Record) []Verdict {
	if r.Offset <= f.lastRead {
		return nil
	}
	f.lastRead = r.Offset
	record, err := decode(r.Data)
	if err != nil {
		// A malformed record must not stop the entries: all of them read it, and all would stop for good.
		f.badRecords++
		f.advance()
		return nil
	}
	if record.Snapshot != nil {
		return f.applyPart(r, record.Snapshot)
	}
	f.snaps.noteFirstRecord(r.AtMillis)
	held := heldChange{offset: r.Offset, atMillis: r.AtMillis, change: record.Change}
	if f.gap.open {
		f.gap.hold(held, f.cfg.MaxHeld)
		return nil
	}
	f.advance()
	return []Verdict{f.applyChange(held)}
}

func (f *Fold) applyChange(h heldChange) Verdict {
	f.snaps.changes++
	return f.state.apply(h.offset, h.atMillis, h.change)
}

// advance sets the offset in force to the last record read, unless a gap is open.
func (f *Fold) advance() {
	if !f.gap.open {
		f.offset = f.lastRead
	}
}

var (
	errTrailingBytes = errors.New("bytes follow the record")
	errNotOneKind    = errors.New("the record must hold either a change or a part of a snapshot")
	errOperationID   = errors.New("the change's operation id is missing or too long")
	errOperator      = errors.New("the change's operator is too long")
	errBadPart       = errors.New("the part's numbers do not fit together")
)

func decode(data []byte) (*recorder.ConfigRecord, error) {
	var record recorder.ConfigRecord
	rest, err := record.UnmarshalMsg(data)
	switch {
	case err != nil:
		return nil, err
	case len(rest) > 0:
		return nil, errTrailingBytes
	case (record.Change == nil) == (record.Snapshot == nil):
		return nil, errNotOneKind
	case record.Change != nil:
		return &record, checkNames(record.Change)
	case !validPart(record.Snapshot):
		return nil, errBadPart
	}
	return &record, nil
}

// Limits on operation IDs and operator names. They bound the memory used for each verdict.
const (
	maxOperationIDBytes = 64
	maxOperatorBytes    = 128
)

func checkNames(c *Change) error {
	if c.OperationID == "" || len(c.OperationID) > maxOperationIDBytes {
		return errOperationID
	}
	if len(c.Operator) > maxOperatorBytes {
		return errOperator
	}
	return nil
}

// CheckChange returns every fault for which a change would be rejected, including faults in references to other
// objects. It is called before the append; the Fold checks again in log order.
func (f *Fold) CheckChange(c Change) []Fault {
	_, faults := f.state.check(&c)
	return faults
}

// Offset returns the offset of the last record in force.
func (f *Fold) Offset() int64 { return f.offset }

// Next returns the offset to read from.
func (f *Fold) Next() int64 { return f.lastRead + 1 }

// BadRecords returns the number of skipped records that could not be decoded.
func (f *Fold) BadRecords() int { return f.badRecords }

// Complete reports that no gap holds back changes.
func (f *Fold) Complete() bool { return !f.gap.open }

// Verdict returns the verdict on an operation if it is still stored.
func (f *Fold) Verdict(operationID string) (Verdict, bool) {
	return f.state.history.find(operationID)
}

// History returns up to n verdicts, newest first.
func (f *Fold) History(n int) []Verdict { return f.state.history.newest(n) }
