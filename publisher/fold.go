package publisher

import (
	"errors"
	"time"

	"geraniumline/recorder"
)

// Config says how a Fold keeps its stream alive. Retention is the log's; SnapshotEvery must be
// well below it, a third or less, so that a complete snapshot is there before its predecessor expires.
type Config struct {
	// Entry is this entry's name, for the names of its snapshots.
	Entry string
	// SnapshotEvery is the longest time between snapshots.
	SnapshotEvery time.Duration
	// SnapshotChanges is how many changes may follow a snapshot before the next one is due.
	SnapshotChanges int
	// SnapshotRetry is how long a snapshot may take until it is read back, before another is tried.
	SnapshotRetry time.Duration
	// PartBytes bounds one record of a snapshot.
	PartBytes int
	// MaxHeld bounds the changes that are held back behind a gap.
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

// Fold is the configuration in force at one entry. It never goes to a lower offset.
type Fold struct {
	cfg   Config
	state *state
	// offset is the last record that is in force; read is the last that was read, held back ones included.
	offset int64
	read   int64
	gap    gap
	snaps  snapshots
	bad    int
}

// New gives a fold that has read nothing.
func New(cfg Config) *Fold {
	return &Fold{cfg: cfg.withDefaults(), state: newState(), snaps: newSnapshots()}
}

// Apply takes the stream's next record and gives the verdicts that it settled: none for a record read before,
// a bad one or one that is held back behind a gap, several when a snapshot closes a gap.
func (f *Fold) Apply(r recorder.Record) []Verdict {
	if r.Offset <= f.read {
		return nil
	}
	f.read = r.Offset
	record, err := decode(r.Data)
	if err != nil {
		// A bad record must not stop the entries: all of them read it, and all would stop for good.
		f.bad++
		f.advance()
		return nil
	}
	if record.Snapshot != nil {
		return f.takePart(r, record.Snapshot)
	}
	f.snaps.sawRecord(r.AtMillis)
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

// advance moves the offset in force to the last record read, unless a gap holds it.
func (f *Fold) advance() {
	if !f.gap.open {
		f.offset = f.read
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
	case !wellFormed(record.Snapshot):
		return nil, errBadPart
	}
	return &record, nil
}

// The limits on who changes what; they bound what is remembered of each verdict.
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

// CheckChange gives every fault that a change would be refused for, references to other objects included.
// It is asked before the append; the fold asks it again by log order.
func (f *Fold) CheckChange(c Change) []Fault {
	_, faults := f.state.check(&c)
	return faults
}

// Offset gives the offset of the last record in force.
func (f *Fold) Offset() int64 { return f.offset }

// Next gives the offset to read from.
func (f *Fold) Next() int64 { return f.read + 1 }

// BadRecords counts records that could not be read and were passed over.
func (f *Fold) BadRecords() int { return f.bad }

// Complete tells that no gap holds changes back.
func (f *Fold) Complete() bool { return !f.gap.open }

// Verdict gives the verdict on an operation, if it is among the remembered ones.
func (f *Fold) Verdict(operationID string) (Verdict, bool) {
	return f.state.history.find(operationID)
}

// History gives up to n verdicts, newest first.
func (f *Fold) History(n int) []Verdict { return f.state.history.newest(n) }
