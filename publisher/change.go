package publisher

import (
	"fmt"

	"geraniumline/recorder"
)

// Change is one operator's change of one object, by compare and set: it is accepted only
// if BaseVersion is the version of the object in force, or 0 for an object that is not there.
type Change = recorder.Change

// VerdictState tells what became of a change.
type VerdictState uint8

// What becomes of a change.
const (
	// Accepted changes are in force from their offset on.
	Accepted VerdictState = iota + 1
	// Conflict is for a change whose base version was no longer in force.
	Conflict
	// Invalid is for a change that must not be in force whatever its base.
	Invalid
)

func (s VerdictState) String() string {
	switch s {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Invalid:
		return "invalid"
	default:
		return fmt.Sprintf("verdict %d", uint8(s))
	}
}

// Verdict is the fold's decision on one change; it is the same at every entry.
type Verdict struct {
	OperationID string
	Operator    string
	Kind        string
	Name        string
	State       VerdictState
	// Version is the object's version in force after the change, 0 for none.
	Version int64
	Message string
	// AtMillis is the log's time of the change, in Unix milliseconds.
	AtMillis int64
}

// EncodeError tells of a change that readers would pass over: a field is too long, or the
// operation id is missing.
type EncodeError struct {
	OperationID string
	Cause       error
}

func (e *EncodeError) Error() string {
	return fmt.Sprintf("change %q cannot be recorded: %v", e.OperationID, e.Cause)
}

// Unwrap gives the reason.
func (e *EncodeError) Unwrap() error { return e.Cause }

// EncodeChange gives the record to append for a change, or an *EncodeError. The record is read back here:
// one that every entry would pass over as bad would leave its operator without a verdict.
func EncodeChange(c Change) ([]byte, error) {
	record := recorder.ConfigRecord{Change: &c}
	data, err := record.MarshalMsg(nil)
	if err != nil {
		return nil, &EncodeError{OperationID: c.OperationID, Cause: err}
	}
	if _, err := decode(data); err != nil {
		return nil, &EncodeError{OperationID: c.OperationID, Cause: err}
	}
	return data, nil
}

func toWire(v Verdict) recorder.Verdict {
	return recorder.Verdict{
		OperationID: v.OperationID,
		Operator:    v.Operator,
		Kind:        v.Kind,
		Name:        v.Name,
		State:       uint8(v.State),
		Version:     v.Version,
		Message:     v.Message,
		AtMillis:    v.AtMillis,
	}
}

func fromWire(v recorder.Verdict) Verdict {
	return Verdict{
		OperationID: v.OperationID,
		Operator:    v.Operator,
		Kind:        v.Kind,
		Name:        v.Name,
		State:       VerdictState(v.State),
		Version:     v.Version,
		Message:     v.Message,
		AtMillis:    v.AtMillis,
	}
}
