package forwarder

import (
	"mime"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/guarder"
	"geraniumline/splitter"
)

// noEventError reports a response without a length or chunks that ended before its first event.
type noEventError struct{}

func (*noEventError) Error() string { return "stream without a length ends before its first event" }

// checkEnd returns an error if a response that has ended is not a complete stream. A response without a length or chunks
// ends in the same way whether the endpoint has finished or crashed, so only its events can tell.
func checkEnd(resp *connector.Response, split *splitter.Splitter, empty bool) error {
	if !isEventStream(resp) {
		return nil
	}
	if err := split.End(); err != nil {
		return err
	}
	if empty && resp.UntilClose() {
		return &noEventError{}
	}
	return nil
}

// isEventStream reports whether a response holds server-sent events: it does unless it declares another media type.
func isEventStream(resp *connector.Response) bool {
	contentType := resp.Header().Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(contentType)
	return contentType == "" || err != nil || mediaType == "text/event-stream"
}

// setResetOnClose sets whether the caller's connection is reset when it is closed, if the response has no chunks to mark
// its end.
func (x *exchange) setResetOnClose(reset bool) {
	if x.in.ProtoAtLeast(1, 1) {
		return
	}
	if err := guarder.SetResetOnClose(x.in.Context(), reset); err != nil {
		x.f.log.Debug("caller's connection not set", zap.String("request", x.req.ID), zap.Error(err))
	}
}
