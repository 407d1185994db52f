package receiver

import (
	"encoding/json"
	"io"
	"net/http"

	"geraniumline/callerserver"
	"geraniumline/reducer"
)

// traceHeader is the response header with the trace id of the request.
const traceHeader = "Trace-Id"

// writer writes the response to one request, as one JSON object or as server-sent events.
type writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	stream     bool
	headersSet bool
	traceID    string
}

func newWriter(w http.ResponseWriter, stream bool, traceID string) *writer {
	return &writer{w: w, controller: http.NewResponseController(w), stream: stream, traceID: traceID}
}

// part is the payload of a "part" event.
type part struct {
	Text string `json:"text"`
}

// write writes one effect and reports whether it was the last one of the request.
func (o *writer) write(effect reducer.Effect) (done bool, err error) {
	switch e := effect.(type) {
	case reducer.SendPart:
		return false, o.writeEvent("part", part{Text: e.Text})
	case reducer.SendAnswer:
		answer := callerserver.Answer{RequestId: e.Request, Key: e.Key, Answer: e.Answer, TotalParts: e.Parts}
		if o.stream {
			return true, o.writeEvent("answer", &answer)
		}
		o.setHeaders("application/json; charset=utf-8")
		return true, json.NewEncoder(o.w).Encode(&answer)
	case reducer.SendFailure:
		return true, o.writeFailure(e.Failure)
	default:
		return false, nil
	}
}

// writeFailure ends the response with a failure. After parts have been sent the HTTP status can't change, so the
// failure is sent as an event.
func (o *writer) writeFailure(failure reducer.Failure) error {
	if o.headersSet {
		return o.writeEvent("failure", &failureOf(failure).Response)
	}
	o.w.Header().Set(traceHeader, o.traceID)
	writeResponse(o.w, failureOf(failure))
	return nil
}

func (o *writer) setHeaders(contentType string) {
	if o.headersSet {
		return
	}
	o.headersSet = true
	o.w.Header().Set("Content-Type", contentType)
	o.w.Header().Set(traceHeader, o.traceID)
}

// writeEvent writes one server-sent event and flushes it, so that the first token is not delayed by buffering.
func (o *writer) writeEvent(name string, data any) error {
	o.setHeaders("text/event-stream")
	body, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(o.w, "event: "+name+"\ndata: "+string(body)+"\n\n"); err != nil {
		return err
	}
	return o.controller.Flush()
}
