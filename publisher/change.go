package publisher

import (
	"fmt"

	"geraniumline/recorder"
)

// Change is an operator's change of one object, with compare-and-set semantics: it is accepted only if
// BaseVersion is the version of the object in force, or 0 for an object that does not exist.
type Change = recorder.Change

// VerdictState is the result of a change.
type VerdictState uint8

// Results of a change.
const (
	// Accepted means that the change is in force from its offset on.
	Accepted VerdictState = iota + 1
	// Conflict means that the change's base version was no longer in force.
	Conflict
	// Invalid means that the change is not allowed, whatever its base version.
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

// Verdict is the decision on one change. Every entry reaches the same one.
type Verdict struct {
	OperationID string
	Operator    string
	Kind        string
	Name        string
	State       VerdictState
	// Version is the object's version in force after the change, 0 for none.
	Version int64
	Message string
	// AtMillis is the log time of the change, in Unix milliseconds.
	AtMillis int64
}

// EncodeError reports a change that readers would skip: a field is too long, or the operation ID is missing.
type EncodeError struct {
	OperationID string
	Cause       error
}

func (e *EncodeError) Error() string {
	return fmt.Sprintf("change %q cannot be recorded: %v", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// EncodeChange returns the record to append for a change, or an *EncodeError. The record is decoded again as a
// check, because an operator whose record is skipped by every entry would never get a verdict.
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
