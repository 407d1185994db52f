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
	// recordsKept bounds the configuration records that are passed on to peers one by one.
	maxConfigRecords = 1024
	// changeTimeout is how long an operator waits for the verdict on a change.
	changeTimeout = 5 * time.Second
)

// recordRing keeps the newest configuration records, to pass on to peers.
type recordRing struct {
	limit int
	// floor is the offset past which every record is kept.
	floor   int64
	records []recorder.Record
}

func newRecordRing(limit int) *recordRing {
	return &recordRing{limit: limit}
}

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

// restart forgets all records: those past the floor that are added from now on are whole again.
func (r *recordRing) reset(floor int64) {
	r.floor = floor
	r.records = nil
}

// after gives the records past an offset, or false if some of them are no longer kept.
func (r *recordRing) after(offset int64) ([]recorder.Record, bool) {
	if offset < r.floor {
		return nil, false
	}
	at, _ := slices.BinarySearchFunc(r.records, offset+1, func(record recorder.Record, from int64) int {
		return cmp.Compare(record.Offset, from)
	})
	return r.records[at:], true
}

// pendingChange is an operator's change whose verdict has not been read back.
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

// takeChange checks an operator's change and appends it. The log's order decides about it.
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

// takeVerdict answers the operators that wait for the verdict.
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

// takeConfigAppended refuses a change that surely is not in the log. One that may be in it waits on.
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

// passChangeTimeout tells the operator that the verdict is not known yet.
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

func (c *Core) handleOperationRequested(e OperationRequested) {
	verdict, decided := c.fold.Verdict(e.OperationID)
	if !decided {
		c.emit(SendRefusal{ID: e.ID, Code: "unknownOperation", Message: "no change with this operation id has been read from the log"})
		return
	}
	c.emit(SendVerdict{ID: e.ID, Verdict: verdictToAPI(verdict)})
}

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
