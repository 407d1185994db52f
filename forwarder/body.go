package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"geraniumline/budgeter"
	"geraniumline/connector"
	"geraniumline/guarder"
)

const (
	// bodyTimeout bounds the time to read a request body.
	bodyTimeout = 10 * time.Second
	// pieceBytes is what a piece of a stage holds until the request ends: its place in a call, and its result's handle.
	pieceBytes = 256
)

// awaitBody bounds the time until the body has arrived. The deadline comes first, since an eviction replaces it.
func (x *exchange) awaitBody() {
	if x.in.ContentLength == 0 {
		x.hold.Enter(budgeter.Serving, x.startTime)
		return
	}
	x.setReadDeadline(x.startTime.Add(bodyTimeout))
	x.hold.Enter(budgeter.Reading, x.startTime)
}

// setReadDeadline bounds reads from the caller. The zero time removes the bound.
func (x *exchange) setReadDeadline(deadline time.Time) {
	// An error means that the connection does not support deadlines; the server's own limit applies then.
	_ = http.NewResponseController(x.w).SetReadDeadline(deadline)
}

// readBody reads the body as far as there is room for it.
func (x *exchange) readBody() *FailureError {
	if x.in.ContentLength == 0 {
		return nil
	}
	buffer := connector.NewBodyBuffer(x.in.ContentLength, x.growBody)
	keepReading := context.AfterFunc(x.f.endContext, func() { x.setReadDeadline(time.Now()) })
	_, err := buffer.ReadFrom(x.in.Body)
	keepReading()
	var tooLarge *http.MaxBytesError
	var noRoom *guarder.HoldError
	switch {
	case err == nil:
		x.setReadDeadline(time.Time{})
		x.bodyRead = true
		x.body = buffer.Body()
		return nil
	case errors.As(err, &tooLarge):
		x.w.Header().Set("Connection", "close")
		return &FailureError{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	case errors.As(err, &noRoom) || x.hold.Evicted():
		x.w.Header().Set("Connection", "close")
		return notRun("noMemory", shortRetryDelay())
	case x.f.ends():
		return x.refuseStopping()
	default:
		x.w.Header().Set("Connection", "close")
		return &FailureError{Status: http.StatusBadRequest, Reason: "bodyCut"}
	}
}

// growBody makes room for n more bytes of the body.
func (x *exchange) growBody(n int64) error {
	return x.hold.Grow(n, time.Now())
}

// holdService counts the request among those that its service serves.
func (x *exchange) holdService() *FailureError {
	switch {
	case x.hold.Serve(x.service.Name, time.Now()):
		return nil
	case x.hold.Evicted():
		return notRun("noMemory", shortRetryDelay())
	default:
		return notRun("serviceTooBusy", shortRetryDelay())
	}
}

// holdPieces counts what the pieces of the request's stages hold.
func (x *exchange) holdPieces() *FailureError {
	pieces := 0
	for _, n := range x.req.PieceCounts[:min(len(x.req.PieceCounts), len(x.route.Stages))] {
		pieces += n
	}
	if pieces > 0 && x.hold.Grow(int64(pieces)*pieceBytes, time.Now()) != nil {
		return notRun("noMemory", shortRetryDelay())
	}
	return nil
}

// endBody releases the body of a request that has failed, and bounds the time until what was not read of it has arrived.
func (x *exchange) endBody(now time.Time) {
	x.body = nil
	if x.w.Header().Get("Connection") == "close" {
		x.hold.Enter(budgeter.Ending, now)
	}
	if x.in.ContentLength != 0 && !x.bodyRead {
		x.setReadDeadline(now.Add(guarder.UnreadBodyTimeout))
	}
}

// writeResponse writes a complete endpoint response to the caller.
func (x *exchange) writeResponse(resp *connector.Response, body connector.Body) {
	length := body.Len()
	x.copyHeader(resp.Header())
	x.w.Header().Set("Content-Length", strconv.Itoa(length))
	x.headerSent = true
	x.status = resp.Status()
	x.holdAnswer(int64(length))
	x.w.WriteHeader(resp.Status())
	for _, block := range body {
		if _, err := x.w.Write(block); err != nil {
			// The caller has disconnected, or was evicted.
			return
		}
	}
}

// holdAnswer counts a complete response among what callers hold until they have read it. If there is no room, it stays counted
// among the responses of endpoints, and its caller has only the grace time to read it.
func (x *exchange) holdAnswer(n int64) {
	now := time.Now()
	if err := x.hold.Grow(n, now); err != nil {
		x.setWriteDeadline(now)
		return
	}
	x.hold.Enter(budgeter.Answering, now)
	x.releaseAnswer()
}

// releaseAnswer releases what the response holds of the memory for responses.
func (x *exchange) releaseAnswer() {
	if x.answerHold != nil {
		x.answerHold.Release()
	}
}
