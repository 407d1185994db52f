package faker

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// LogLedger contains the counters of the log service since its start or the last ClearLedger, and the
// state of each stream.
type LogLedger struct {
	Appends       int64         `json:"appends"`
	AppendedBytes int64         `json:"appendedBytes"`
	Reads         int64         `json:"reads"`
	RateLimited   int64         `json:"rateLimited"`
	Refused       int64         `json:"refused"`
	LostReplies   int64         `json:"lostReplies"`
	Streams       []StreamState `json:"streams"`
}

// StreamState is the offset range and size of a stream, and its appends since the service started.
type StreamState struct {
	Name          string `json:"name"`
	First         int64  `json:"first"`
	Next          int64  `json:"next"`
	Kept          int    `json:"kept"`
	KeptBytes     int64  `json:"keptBytes"`
	Appends       int64  `json:"appends"`
	AppendedBytes int64  `json:"appendedBytes"`
}

// TrimCall requests the deletion of a stream's records below an offset, as retention would do.
type TrimCall struct {
	Stream string `json:"stream"`
	Before int64  `json:"before"`
}

func (l *Log) updateLedger(change func(*LogLedger)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.ledger)
}

// Ledger returns the counters and the state of each stream, sorted by name.
func (l *Log) Ledger() LogLedger {
	l.mu.Lock()
	defer l.mu.Unlock()
	ledger := l.ledger
	ledger.Streams = make([]StreamState, 0, len(l.streams))
	for name, s := range l.streams {
		ledger.Streams = append(ledger.Streams, StreamState{
			Name:          name,
			First:         s.first,
			Next:          s.next,
			Kept:          len(s.records),
			KeptBytes:     s.bytes,
			Appends:       s.appendCount,
			AppendedBytes: s.appendedBytes,
		})
	}
	slices.SortFunc(ledger.Streams, func(a, b StreamState) int { return strings.Compare(a.Name, b.Name) })
	return ledger
}

// RestoreCall requests that the log be restored from a copy of the given age.
type RestoreCall struct {
	AgeMillis int64 `json:"ageMillis"`
}

// ClearLedger resets the counters to 0. It does not change the streams.
func (l *Log) ClearLedger() {
	l.updateLedger(func(ledger *LogLedger) { *ledger = LogLedger{} })
}

// Trim deletes a stream's records below an offset, as retention would do.
func (l *Log) Trim(call TrimCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.streams[call.Stream]; ok {
		s.trim(call.Before)
	}
}

func (l *Log) handleLedger(mux *http.ServeMux) {
	mux.HandleFunc("GET "+ledgerPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, l.Ledger())
	})
	mux.HandleFunc("DELETE "+ledgerPath, func(w http.ResponseWriter, _ *http.Request) {
		l.ClearLedger()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+trimPath, func(w http.ResponseWriter, r *http.Request) {
		var call TrimCall
		if !readJSON(w, r, &call) {
			return
		}
		l.Trim(call)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+returnPath, func(w http.ResponseWriter, r *http.Request) {
		var call RestoreCall
		if !readJSON(w, r, &call) {
			return
		}
		l.RestoreFromCopy(millis(call.AgeMillis), time.Now())
		w.WriteHeader(http.StatusNoContent)
	})
}
