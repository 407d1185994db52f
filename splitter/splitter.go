// Package splitter cuts a stream of server-sent events into whole events. Only whole events are passed on, so that an
// endpoint which breaks off within one leaves nothing behind that another endpoint's continuation would follow.
package splitter

import (
	"bytes"
	"fmt"
	"strconv"
)

// DefaultMaxEvent bounds one event's bytes.
const DefaultMaxEvent = 1 << 20

// SizeError tells of an event over the limit.
type SizeError struct{ Limit int }

func (e *SizeError) Error() string { return fmt.Sprintf("event of over %d bytes", e.Limit) }

// Event is one whole event with the blank line that ends it.
type Event struct {
	Data []byte
	// ID is the event's number where HasID is set.
	ID    int64
	HasID bool
}

// Splitter holds what came of an event that is not whole yet.
type Splitter struct {
	max  int
	rest []byte
}

// New makes a splitter for events of at most maxEvent bytes; 0 takes DefaultMaxEvent.
func New(maxEvent int) *Splitter {
	if maxEvent <= 0 {
		maxEvent = DefaultMaxEvent
	}
	return &Splitter{max: maxEvent}
}

// Feed takes the next bytes and gives the events that they complete. It fails with a *SizeError.
func (s *Splitter) Feed(data []byte) ([]Event, error) {
	s.rest = append(s.rest, data...)
	var events []Event
	for {
		n := eventLength(s.rest)
		if n == 0 {
			break
		}
		events = append(events, parse(bytes.Clone(s.rest[:n])))
		s.rest = s.rest[n:]
	}
	if len(s.rest) > s.max {
		return events, &SizeError{Limit: s.max}
	}
	return events, nil
}

// Remainder is what has come of an event that is not whole.
func (s *Splitter) Remainder() []byte { return s.rest }

// eventLength gives the length of the first whole event, its blank line included, or 0.
func eventLength(data []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[at:at+end], []byte("\r"))
		at += end + 1
		if len(line) == 0 {
			return at
		}
	}
}

var idField = []byte("id:")

func parse(data []byte) Event {
	event := Event{Data: data}
	for line := range bytes.SplitSeq(data, []byte("\n")) {
		value, found := bytes.CutPrefix(line, idField)
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
