package faker

import (
	"net/http"
	"sync"
	"time"

	"geraniumline/endpointserver"
)

// maxLedgerEntries limits the memory of a ledger. The oldest entries are dropped first and counted.
const maxLedgerEntries = 200_000

// Outcome is the state or result of an execution in the ledger.
type Outcome string

// The outcomes of an execution.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeDone      Outcome = "done"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Execution is one run of a stage call, from the start of processing to its end. Refused calls and stored
// results that are sent again create no execution. Times are Unix milliseconds; Cost is in milliseconds.
type Execution struct {
	RequestID      string  `json:"requestId"`
	Account        string  `json:"account"`
	Stage          string  `json:"stage"`
	Attempt        int     `json:"attempt"`
	IdempotencyKey string  `json:"idempotencyKey"`
	Fence          int64   `json:"fence"`
	Repeatable     bool    `json:"repeatable"`
	StartMillis    int64   `json:"startMillis"`
	EndMillis      int64   `json:"endMillis"`
	Cost           float64 `json:"cost"`
	Outcome        Outcome `json:"outcome"`
}

// LedgerPage contains the whole ledger of an endpoint.
type LedgerPage struct {
	Executions []Execution `json:"executions"`
	// Started counts all executions since the ledger was last cleared, including dropped ones.
	Started int64 `json:"started"`
	Dropped int64 `json:"dropped"`
}

type ledger struct {
	mu         sync.Mutex
	executions []*Execution
	started    int64
	dropped    int64
}

func (l *ledger) begin(call *endpointserver.StageCall, now time.Time) *Execution {
	execution := &Execution{
		RequestID:      call.RequestId,
		Account:        call.Account,
		Stage:          call.Stage,
		Attempt:        call.Attempt,
		IdempotencyKey: call.IdempotencyKey.Or(""),
		Fence:          call.Fence.Or(0),
		Repeatable:     call.Repeatable.Or(true),
		StartMillis:    now.UnixMilli(),
		Outcome:        OutcomeRunning,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.executions) >= maxLedgerEntries {
		l.executions = append(l.executions[:0:0], l.executions[maxLedgerEntries/2:]...)
		l.dropped += maxLedgerEntries / 2
	}
	l.executions = append(l.executions, execution)
	l.started++
	return execution
}

func (l *ledger) end(execution *Execution, outcome Outcome, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	execution.Outcome = outcome
	execution.Cost = cost
	execution.EndMillis = now.UnixMilli()
}

func (l *ledger) page() LedgerPage {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := LedgerPage{Executions: make([]Execution, 0, len(l.executions)), Started: l.started, Dropped: l.dropped}
	for _, execution := range l.executions {
		page.Executions = append(page.Executions, *execution)
	}
	return page
}

func (l *ledger) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = nil
	l.started = 0
	l.dropped = 0
}

func (l *ledger) handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+ledgerPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, l.page())
	})
	mux.HandleFunc("DELETE "+ledgerPath, func(w http.ResponseWriter, _ *http.Request) {
		l.clear()
		w.WriteHeader(http.StatusNoContent)
	})
}

// SideEffect identifies a stage execution that must happen at most once.
type SideEffect struct {
	Account        string
	IdempotencyKey string
	Stage          string
}

// RepeatedSideEffects returns the side effects that occur more than once in the executions of all
// endpoints, with their counts. It skips executions without a key and repeatable ones.
func RepeatedSideEffects(executions []Execution) map[SideEffect]int {
	counts := make(map[SideEffect]int)
	for _, execution := range executions {
		if execution.Repeatable || execution.IdempotencyKey == "" {
			continue
		}
		counts[SideEffect{execution.Account, execution.IdempotencyKey, execution.Stage}]++
	}
	for effect, n := range counts {
		if n < 2 {
			delete(counts, effect)
		}
	}
	return counts
}
