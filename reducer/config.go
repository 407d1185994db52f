package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-faster/jx"

	"geraniumline/claimer"
	"geraniumline/limiter"
	"geraniumline/operatorserver"
	"geraniumline/publisher"
	"geraniumline/recorder"
)

const (
	// maxConfigRecords bounds the configuration records that are kept to send to peers.
	maxConfigRecords = 1024
	// changeTimeout bounds an operator's wait for the verdict on a change.
	changeTimeout = 5 * time.Second
)

// recordRing keeps the newest configuration records to send to peers.
type recordRing struct {
	limit int
	// floor is the offset after which every record is kept.
	floor   int64
	records []recorder.Record
}

func newRecordRing(limit int) *recordRing {
	return &recordRing{limit: limit}
}

// add appends a record and drops the oldest above the limit. Records that are not newer than the last are ignored.
func (r *recordRing) add(record recorder.Record) {
	if n := len(r.records); n > 0 && record.Offset <= r.records[n-1].Offset {
		return
	}
	r.records = append(r.records, record)
	if len(r.records) > r.limit {
		r.floor = r.records[0].Offset
		r.records = r.records[1:]
	}
}

// reset drops all records. From then on, every record after floor is expected to be added.
func (r *recordRing) reset(floor int64) {
	r.floor = floor
	r.records = nil
}

// after returns the records after an offset, or false if some of them are no longer kept.
func (r *recordRing) after(offset int64) ([]recorder.Record, bool) {
	if offset < r.floor {
		return nil, false
	}
	index, _ := slices.BinarySearchFunc(r.records, offset+1, func(record recorder.Record, from int64) int {
		return cmp.Compare(record.Offset, from)
	})
	return r.records[index:], true
}

// pendingChange is an operator's change whose verdict has not been read back from the log.
type pendingChange struct {
	waiters []uint64
	change  publisher.Change
	batchID uint64
}

func contractLimits(contract *publisher.Contract) limiter.Limits {
	return limiter.Limits{
		RatePerSecond: contract.RatePerSecond,
		Burst:         contract.Burst,
		Concurrency:   contract.Concurrency,
		CostPerSecond: contract.CostPerSecond,
	}
}

// handleChangeRequested checks an operator's change and appends it. Its verdict follows from the order in the log.
func (c *Core) handleChangeRequested(e ChangeRequested, now time.Time) {
	if verdict, decided := c.fold.Verdict(e.Change.OperationID); decided {
		c.emit(SendVerdict{ID: e.ID, Verdict: verdictToAPI(verdict)})
		return
	}
	if pending, waiting := c.pendingChanges[e.Change.OperationID]; waiting {
		pending.waiters = append(pending.waiters, e.ID)
		return
	}
	if faults := c.fold.CheckChange(e.Change); len(faults) > 0 {
		c.emit(SendRefusal{ID: e.ID, Code: "invalidConfiguration", Message: "nothing was published", Faults: faultTexts(faults)})
		return
	}
	e.Change.AtMillis = now.UnixMilli()
	data, err := publisher.EncodeChange(e.Change)
	if err != nil {
		c.emit(SendRefusal{ID: e.ID, Code: "invalidConfiguration", Message: err.Error()})
		return
	}
	c.lastBatchID++
	c.pendingChanges[e.Change.OperationID] = &pendingChange{waiters: []uint64{e.ID}, change: e.Change, batchID: c.lastBatchID}
	c.emit(Append{Stream: StreamConfig, BatchID: c.lastBatchID, Data: data})
	c.schedule(timer{at: now.Add(changeTimeout), kind: timerChange, name: e.Change.OperationID})
}

// answerVerdict answers the operators that wait for the verdict.
func (c *Core) answerVerdict(verdict publisher.Verdict) {
	pending, waiting := c.pendingChanges[verdict.OperationID]
	if !waiting {
		return
	}
	delete(c.pendingChanges, verdict.OperationID)
	for _, id := range pending.waiters {
		c.emit(SendVerdict{ID: id, Verdict: verdictToAPI(verdict)})
	}
}

// handleConfigAppended refuses a change whose append the log refused. A change that may be in the log keeps waiting.
func (c *Core) handleConfigAppended(e Appended, _ time.Time) {
	if _, refused := e.Result.(claimer.AppendRefused); !refused {
		return
	}
	for operation, pending := range c.pendingChanges {
		if pending.batchID != e.BatchID {
			continue
		}
		delete(c.pendingChanges, operation)
		for _, id := range pending.waiters {
			c.emit(SendRefusal{ID: id, Code: string(CodeLogUnavailable), Message: "the log refused the change; nothing was published"})
		}
	}
}

// handleChangeTimeout answers the operators that the verdict is still pending.
func (c *Core) handleChangeTimeout(operation string, _ time.Time) {
	pending, waiting := c.pendingChanges[operation]
	if !waiting {
		return
	}
	delete(c.pendingChanges, operation)
	for _, id := range pending.waiters {
		c.emit(SendVerdict{ID: id, Verdict: operatorserver.ConfigVerdict{
			OperationId: operation,
			Verdict:     operatorserver.ConfigVerdictVerdictPending,
			Kind:        pending.change.Kind,
			Name:        pending.change.Name,
			Message:     operatorserver.NewOptString("the log has not confirmed the change; ask again by its operation id"),
		}})
	}
}

// handleOperationRequested sends the verdict on an earlier change, or refuses an operation id that was not read.
func (c *Core) handleOperationRequested(e OperationRequested) {
	verdict, decided := c.fold.Verdict(e.OperationID)
	if !decided {
		c.emit(SendRefusal{ID: e.ID, Code: "unknownOperation", Message: "no change with this operation id has been read from the log"})
		return
	}
	c.emit(SendVerdict{ID: e.ID, Verdict: verdictToAPI(verdict)})
}

// handleConfigRequested sends the configuration objects in force that match.
func (c *Core) handleConfigRequested(e ConfigRequested) {
	view := operatorserver.ConfigView{Offset: c.fold.Offset(), Objects: []operatorserver.ConfigObject{}}
	for _, object := range c.fold.Objects(e.ObjectKind, e.Name) {
		view.Objects = append(view.Objects, operatorserver.ConfigObject{
			Kind:    object.Kind,
			Name:    object.Name,
			Version: object.Version,
			Body:    operatorserver.Body(jx.Raw(object.Body)),
		})
	}
	c.emit(SendConfig{ID: e.ID, View: view})
}

// handleHistoryRequested sends the verdicts on recent changes.
func (c *Core) handleHistoryRequested(e HistoryRequested) {
	history := operatorserver.ConfigHistory{Changes: []operatorserver.ConfigVerdict{}}
	for _, verdict := range c.fold.History(e.Limit) {
		history.Changes = append(history.Changes, verdictToAPI(verdict))
	}
	c.emit(SendHistory{ID: e.ID, History: history})
}

func verdictToAPI(verdict publisher.Verdict) operatorserver.ConfigVerdict {
	answer := operatorserver.ConfigVerdict{
		OperationId: verdict.OperationID,
		Verdict:     verdictStateToAPI(verdict.State),
		Kind:        verdict.Kind,
		Name:        verdict.Name,
		Version:     verdict.Version,
		Operator:    operatorserver.NewOptString(verdict.Operator),
		AtMillis:    operatorserver.NewOptInt64(verdict.AtMillis),
	}
	if verdict.Message != "" {
		answer.Message = operatorserver.NewOptString(verdict.Message)
	}
	return answer
}

func verdictStateToAPI(state publisher.VerdictState) operatorserver.ConfigVerdictVerdict {
	switch state {
	case publisher.Accepted:
		return operatorserver.ConfigVerdictVerdictAccepted
	case publisher.Conflict:
		return operatorserver.ConfigVerdictVerdictConflict
	default:
		return operatorserver.ConfigVerdictVerdictInvalid
	}
}

func faultTexts(faults []publisher.Fault) []string {
	texts := make([]string, 0, len(faults))
	for _, fault := range faults {
		texts = append(texts, fault.Path+": "+fault.Message)
	}
	return texts
}
