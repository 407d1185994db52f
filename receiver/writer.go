package receiver

import (
	"encoding/json"
	"io"
	"net/http"

	"geraniumline/callerserver"
	"geraniumline/reducer"
)

// traceHeader names the trace of a request in its reply.
const traceHeader = "Trace-Id"

// writer writes the answers to one request: one JSON object, or server-sent events.
type writer struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	stream  bool
	started bool
	traceID string
}

func newWriter(w http.ResponseWriter, stream bool, traceID string) *writer {
	return &writer{w: w, flusher: http.NewResponseController(w), stream: stream, traceID: traceID}
}

// part is the data of a "part" event.
type part struct {
	Text string `json:"text"`
}

// write writes one answer and tells whether it was the last.
func (o *writer) write(effect reducer.Effect) (done bool, err error) {
	switch e := effect.(type) {
	case reducer.SendPart:
		return false, o.event("part", part{Text: e.Text})
	case reducer.SendAnswer:
		answer := callerserver.Answer{RequestId: e.Request, Key: e.Key, Answer: e.Answer, TotalParts: e.Parts}
		if o.stream {
			return true, o.event("answer", &answer)
		}
		o.start("application/json; charset=utf-8")
		return true, json.NewEncoder(o.w).Encode(&answer)
	case reducer.SendFailure:
		return true, o.failure(e.Failure)
	default:
		return false, nil
	}
}

// failure ends the reply. Once parts have been sent the status can't change, so an event tells it.
func (o *writer) failure(failure reducer.Failure) error {
	if o.started {
		return o.event("failure", &failureOf(failure).Response)
	}
	o.w.Header().Set(traceHeader, o.traceID)
	write(o.w, failureOf(failure))
	return nil
}

func (o *writer) start(contentType string) {
	if o.started {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", contentType)
	o.w.Header().Set(traceHeader, o.traceID)
}

// event writes one server-sent event and flushes it, so that the first token is not held in a buffer.
func (o *writer) event(name string, data any) error {
	o.start("text/event-stream")
	body, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(o.w, "event: "+name+"\ndata: "+string(body)+"\n\n"); err != nil {
		return err
	}
	return o.flusher.Flush()
}
