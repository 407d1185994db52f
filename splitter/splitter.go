// Package splitter splits a stream of server-sent events into complete events. Only complete events are forwarded, so
// that a stream that breaks off within an event can be continued by another endpoint without a partial event before it.
package splitter

import (
	"bytes"
	"fmt"
	"strconv"
)

// DefaultMaxEvent is the default limit on the size of an event, in bytes.
const DefaultMaxEvent = 1 << 20

// SizeError reports an event of more than Limit bytes.
type SizeError struct{ Limit int }

func (e *SizeError) Error() string { return fmt.Sprintf("event exceeds %d bytes", e.Limit) }

// IncompleteError reports a stream that ended inside an event, of which Bytes bytes were received.
type IncompleteError struct{ Bytes int }

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("stream ends inside an event after %d bytes of it", e.Bytes)
}

// Event is a complete event, including the blank line that ends it.
type Event struct {
	Data []byte
	// ID is the numeric id of the event. It is valid only if HasID is true.
	ID    int64
	HasID bool
}

// Splitter buffers the bytes of an incomplete event. It is not safe for concurrent use.
type Splitter struct {
	maxEvent int
	buf      []byte
	// lineStart is the start of the last line in buf, and searched the length of buf that has been searched for its end. They
	// keep the work in proportion to the bytes received, in whatever pieces these arrive.
	lineStart, searched int
}

// New returns a Splitter for events of at most maxEvent bytes; 0 means DefaultMaxEvent.
func New(maxEvent int) *Splitter {
	if maxEvent <= 0 {
		maxEvent = DefaultMaxEvent
	}
	return &Splitter{maxEvent: maxEvent}
}

// Feed appends data and returns the events that it completes. It returns a *SizeError, together with these events, if
// the incomplete event exceeds the limit.
func (s *Splitter) Feed(data []byte) ([]Event, error) {
	s.buf = append(s.buf, data...)
	var events []Event
	for {
		n := s.eventLength()
		if n == 0 {
			break
		}
		events = append(events, parse(bytes.Clone(s.buf[:n])))
		s.buf = s.buf[n:]
		s.lineStart, s.searched = 0, 0
	}
	if len(s.buf) > s.maxEvent {
		return events, &SizeError{Limit: s.maxEvent}
	}
	return events, nil
}

// Remainder returns the bytes received of an incomplete event.
func (s *Splitter) Remainder() []byte { return s.buf }

// End returns an *IncompleteError if the stream, which has ended, broke off inside an event.
func (s *Splitter) End() error {
	if len(s.buf) == 0 {
		return nil
	}
	return &IncompleteError{Bytes: len(s.buf)}
}

// eventLength returns the length of the first complete event, including its blank line, or 0 if there is none.
func (s *Splitter) eventLength() int {
	for {
		end := bytes.IndexByte(s.buf[s.searched:], '\n')
		if end < 0 {
			s.searched = len(s.buf)
			return 0
		}
		next := s.searched + end + 1
		line := bytes.TrimSuffix(s.buf[s.lineStart:next-1], []byte("\r"))
		s.lineStart, s.searched = next, next
		if len(line) == 0 {
			return next
		}
	}
}

var idPrefix = []byte("id:")

// parse returns the event with its id. An id that is not a number is ignored.
func parse(data []byte) Event {
	event := Event{Data: data}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		value, found := bytes.CutPrefix(line, idPrefix)
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			event.ID = id
			event.HasID = true
		}
	}
	return event
}
