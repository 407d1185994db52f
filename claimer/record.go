package claimer

import (
	"fmt"

	"geraniumline/recorder"
)

// ClaimRecord is one of the records that a batch holds: Claim, Release, Outcome, Closed or Mark.
type ClaimRecord interface {
	claimRecord()
}

// Claim says that the batch's incarnation wants to be the only one that dispatches the key's request.
type Claim struct {
	Key Key
	// Digest is the SHA-256 of the request's body.
	Digest [32]byte
	// ClaimID is unique within the incarnation.
	ClaimID uint64
}

// Release says that the batch's incarnation dispatched nothing under its claim and never will.
// It may be made only for a claim that was read back as Won.
type Release struct {
	Key     Key
	ClaimID uint64
}

// OutcomeState tells how a request ended.
type OutcomeState uint8

// How a request ends.
const (
	// StateAnswered is for a request whose whole answer is known.
	StateAnswered OutcomeState = iota + 1
	// StateUnknown is for a request that may have run.
	StateUnknown
	// StateAnswerNotKept is for a request that was answered, but whose answer is not held here: a reader who took
	// the empty text for the answer would hand its caller something other than the whole answer.
	StateAnswerNotKept
)

// Outcome says how the request of the batch's incarnation's claim ended.
type Outcome struct {
	Key     Key
	ClaimID uint64
	State   OutcomeState
	Answer  string
	Parts   int
	Code    string
	Message string
}

// Closed says that claims of an entry's incarnation which come later in the log are void.
type Closed struct {
	Entry       string
	Incarnation uint64
}

// EraMark says that its writer knew of an era of the log when it appended the batch. Whatever the log lost when the era began was
// appended before.
type EraMark struct {
	Era int64
}

func (EraMark) claimRecord() {}
func (Claim) claimRecord()   {}
func (Release) claimRecord() {}
func (Outcome) claimRecord() {}
func (Closed) claimRecord()  {}

// Batch is one append to the claims stream, by one incarnation of an entry. Readers take its releases first,
// then the outcomes, the closed incarnations and the claims, so the order within Records is without meaning.
// A batch without records shows that the log takes appends again.
type Batch struct {
	Entry       string
	Incarnation uint64
	BatchID     uint64
	Records     []ClaimRecord
}

// Limits on one record, in bytes. The answer's leaves room for the rest of the record in the log's largest append.
const (
	maxAnswerBytes  = 1_000_000
	maxMessageBytes = 1024
	maxCodeBytes    = 64
	maxNameBytes    = 128
)

// RecordLimitError tells of a record that is too large to be kept.
type RecordLimitError struct {
	Field string
	Bytes int
	Limit int
}

func (e *RecordLimitError) Error() string {
	return fmt.Sprintf("%s has %d bytes, more than %d", e.Field, e.Bytes, e.Limit)
}

// DecodeError tells of a log record that is not a batch.
type DecodeError struct {
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("not a batch of claims: %v", e.Cause) }

// Unwrap gives the codec's error.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode gives the data of one append, or a *RecordLimitError.
func Encode(batch Batch) ([]byte, error) {
	wire := recorder.ClaimBatch{Entry: batch.Entry, Incarnation: batch.Incarnation, BatchID: batch.BatchID}
	for _, record := range batch.Records {
		if err := checkLimits(record); err != nil {
			return nil, err
		}
		addRecord(&wire, record)
	}
	return wire.MarshalMsg(nil)
}

func addRecord(wire *recorder.ClaimBatch, record ClaimRecord) {
	switch r := record.(type) {
	case Claim:
		wire.Claims = append(wire.Claims, recorder.Claim{
			Account: r.Key.Account,
			Key:     r.Key.Key,
			Digest:  r.Digest,
			ClaimID: r.ClaimID,
		})
	case Release:
		wire.Releases = append(wire.Releases, recorder.Release{
			Account: r.Key.Account,
			Key:     r.Key.Key,
			ClaimID: r.ClaimID,
		})
	case Outcome:
		wire.Outcomes = append(wire.Outcomes, recorder.Outcome{
			Account: r.Key.Account,
			Key:     r.Key.Key,
			ClaimID: r.ClaimID,
			State:   uint8(r.State),
			Answer:  r.Answer,
			Parts:   int32(r.Parts),
			Code:    r.Code,
			Message: r.Message,
		})
	case Closed:
		wire.Closed = append(wire.Closed, recorder.Closed{Entry: r.Entry, Incarnation: r.Incarnation})
	case EraMark:
		wire.EraMark = max(wire.EraMark, r.Era)
	}
}

// checkLimits refuses what the log would refuse for its size, again and again, and the batch's other records with it.
func checkLimits(record ClaimRecord) error {
	switch r := record.(type) {
	case Claim:
		return checkKey(r.Key)
	case Release:
		return checkKey(r.Key)
	case Closed:
		return checkField("entry", r.Entry, maxNameBytes)
	case Outcome:
		return firstError(
			checkKey(r.Key),
			checkField("answer", r.Answer, maxAnswerBytes),
			checkField("code", r.Code, maxCodeBytes),
			checkField("message", r.Message, maxMessageBytes),
		)
	}
	return nil
}

func checkKey(k Key) error {
	return firstError(checkField("account", k.Account, maxNameBytes), checkField("key", k.Key, maxNameBytes))
}

func checkField(field, value string, limit int) error {
	if len(value) > limit {
		return &RecordLimitError{Field: field, Bytes: len(value), Limit: limit}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Decode takes the data of one append apart, or gives a *DecodeError.
func Decode(data []byte) (Batch, error) {
	var wire recorder.ClaimBatch
	rest, err := wire.UnmarshalMsg(data)
	if err != nil {
		return Batch{}, &DecodeError{Cause: err}
	}
	if len(rest) > 0 {
		return Batch{}, &DecodeError{Cause: fmt.Errorf("%d bytes follow it", len(rest))}
	}
	return fromWire(&wire), nil
}

func fromWire(wire *recorder.ClaimBatch) Batch {
	batch := Batch{Entry: wire.Entry, Incarnation: wire.Incarnation, BatchID: wire.BatchID}
	n := len(wire.Releases) + len(wire.Outcomes) + len(wire.Closed) + len(wire.Claims)
	batch.Records = make([]ClaimRecord, 0, n)
	for _, r := range wire.Releases {
		batch.Records = append(batch.Records, Release{Key: Key{r.Account, r.Key}, ClaimID: r.ClaimID})
	}
	for _, r := range wire.Outcomes {
		batch.Records = append(batch.Records, Outcome{
			Key:     Key{r.Account, r.Key},
			ClaimID: r.ClaimID,
			State:   OutcomeState(r.State),
			Answer:  r.Answer,
			Parts:   int(r.Parts),
			Code:    r.Code,
			Message: r.Message,
		})
	}
	for _, r := range wire.Closed {
		batch.Records = append(batch.Records, Closed{Entry: r.Entry, Incarnation: r.Incarnation})
	}
	for _, r := range wire.Claims {
		batch.Records = append(batch.Records, Claim{Key: Key{r.Account, r.Key}, Digest: r.Digest, ClaimID: r.ClaimID})
	}
	if wire.EraMark > 0 {
		batch.Records = append(batch.Records, EraMark{Era: wire.EraMark})
	}
	return batch
}
