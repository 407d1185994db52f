package forwarder

import (
	"time"

	"go.uber.org/zap"
)

// progress holds the times of the steps of one request, for the log line of its end.
type progress struct {
	// firstSend is when the first endpoint was chosen, and lastSend the endpoint of the first event, or the last one
	// if there was no event.
	firstSend time.Time
	lastSend  time.Time
	// firstEvent and lastEvent are when the caller was sent the first and the newest event of a stream.
	firstEvent   time.Time
	lastEvent    time.Time
	longestPause time.Duration
}

func (p *progress) recordSend(now time.Time) {
	if p.firstSend.IsZero() {
		p.firstSend = now
	}
	if p.firstEvent.IsZero() {
		p.lastSend = now
	}
}

func (p *progress) recordEvent(now time.Time) {
	if p.firstEvent.IsZero() {
		p.firstEvent = now
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.lastEvent))
	}
	p.lastEvent = now
}

// fields returns the log fields of the steps that were reached, as durations since the request's start.
func (p *progress) fields(start time.Time) []zap.Field {
	var fields []zap.Field
	if !p.firstSend.IsZero() {
		fields = append(fields,
			zap.Duration("firstSendAfter", p.firstSend.Sub(start)),
			zap.Duration("lastSendAfter", p.lastSend.Sub(start)))
	}
	if !p.firstEvent.IsZero() {
		fields = append(fields,
			zap.Duration("firstEventAfter", p.firstEvent.Sub(start)),
			zap.Duration("longestPause", p.longestPause))
	}
	return fields
}
