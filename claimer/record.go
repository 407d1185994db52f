package claimer

import (
	"fmt"

	"geraniumline/recorder"
)

// ClaimRecord is a record in a batch: Claim, Release, Outcome, Closed or EraMark.
type ClaimRecord interface {
	claimRecord()
}

// Claim requests that the batch's incarnation be the only one to dispatch the key's request.
type Claim struct {
	Key Key
	// Digest is the SHA-256 of the request's body.
	Digest [32]byte
	// ClaimID is unique within the incarnation.
	ClaimID uint64
}

// Release declares that the batch's incarnation dispatched nothing under its claim and never will. Only a claim
// that was read back as Won may be released.
type Release struct {
	Key     Key
	ClaimID uint64
}

// OutcomeState is the way a request ended.
type OutcomeState uint8

// Outcome states.
const (
	// StateAnswered means that the complete answer is known.
	StateAnswered OutcomeState = iota + 1
	// StateUnknown means that the request may have run.
	StateUnknown
	// StateAnswerNotKept means that the request was answered, but that the answer is not stored here. It keeps
	// readers from returning the empty text as the complete answer.
	StateAnswerNotKept
)

// Outcome records how the request under a claim of the batch's incarnation ended.
type Outcome struct {
	Key     Key
	ClaimID uint64
	State   OutcomeState
	Answer  string
	Parts   int
	Code    string
	Message string
}

// Closed voids every claim of an entry's incarnation that follows it in the log.
type Closed struct {
	Entry       string
	Incarnation uint64
}

// EraMark declares that its writer had observed an era of the log when it appended the batch. Everything that
// the log lost at the start of the era had been appended before the mark.
type EraMark struct {
	Era int64
}

func (EraMark) claimRecord() {}
func (Claim) claimRecord()   {}
func (Release) claimRecord() {}
func (Outcome) claimRecord() {}
func (Closed) claimRecord()  {}

// Batch is one append to the claims stream by one incarnation of an entry. Readers apply its releases first,
// then the outcomes, the closed incarnations and the claims, so the order of Records has no meaning. A batch
// without records shows that the log accepts appends again.
type Batch struct {
	Entry       string
	Incarnation uint64
	BatchID     uint64
	Records     []ClaimRecord
}

// Limits on one record, in bytes. The limit on the answer leaves room for the rest of the record in the log's
// largest append.
const (
	maxAnswerBytes  = 1_000_000
	maxMessageBytes = 1024
	maxCodeBytes    = 64
	maxNameBytes    = 128
)

// RecordLimitError reports a record with a field that exceeds its size limit.
type RecordLimitError struct {
	Field string
	Bytes int
	Limit int
}

func (e *RecordLimitError) Error() string {
	return fmt.Sprintf("%s has %d bytes, more than %d", e.Field, e.Bytes, e.Limit)
}

// DecodeError reports a log record that is not a batch.
type DecodeError struct {
	Cause error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("not a batch of claims: %v", e.Cause) }

// Unwrap returns the cause of the decoding failure.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Encode returns the data of one append, or a *RecordLimitError.
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

// checkLimits rejects records that the log would refuse for their size on every retry, together with the
// batch's other records.
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

// Decode parses the data of one append. It returns a *DecodeError if the data is not a batch.
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
