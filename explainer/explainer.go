// Package explainer reads the logs of several entries. Read reports in order what happened to one request, and why it
// failed; a Tally counts the outcomes of all requests by the decision that made them so.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLine limits the length of a log line, in bytes.
const maxLine = 1 << 20

// Line is a log line that concerns the request.
type Line struct {
	At      time.Time
	Entry   string
	Message string
	// Fields holds the fields other than time, entry, message and level.
	Fields map[string]any
}

// Report holds the log lines of one request and the cause of its failure.
type Report struct {
	Request string
	Lines   []Line
	// Cause is the reason in the log line of the request's failure, empty if there is no such line.
	Cause string
	// Unreadable is the number of lines that contain the request's ID but could not be parsed.
	Unreadable int
}

// Names of log fields.
const (
	fieldTime     = "time"
	fieldEntry    = "entry"
	fieldMessage  = "msg"
	fieldLevel    = "level"
	fieldRequest  = "request"
	fieldRequests = "requests"
	fieldReason   = "reason"
)

const messageRequestFailed = "request failed"

// stateMessages lists the messages that report a change of an entry's state, such as its configuration. This state
// affects how a request is handled, and the request's own lines don't repeat it.
var stateMessages = map[string]bool{
	"configuration in force":                    true,
	"endpoint asks for rest":                    true,
	"endpoint avoided, peer could not reach it": true,
	"endpoint has ended":                        true,
	"endpoint is slow":                          true,
	"endpoint leaves":                           true,
	"endpoint serves at the usual speed again":  true,
	"endpoint's limit changed":                  true,
	"ended endpoint is still listed":            true,
	"evacuated zones changed":                   true,
	"store answers again":                       true,
	"store does not answer":                     true,
	"store has returned from an older copy; what was written since may be lost": true,
}

// stateChangeWindow is how long before a request's first line state changes are included in the report.
const stateChangeWindow = 5 * time.Second

// Read reads logs from r and returns a report on the request with the given ID. Text before the JSON object of a line
// is ignored, since log collectors put a host name and a time there. It returns the error of reading from r, if any;
// lines that can't be parsed are counted in the report.
func Read(r io.Reader, request string) (Report, error) {
	report := Report{Request: request}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	id := []byte(request)
	var stateChanges []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		hasID := bytes.Contains(text, id)
		if !hasID && !mayBeStateChange(text) {
			continue
		}
		line, err := parse(text)
		switch {
		case err != nil && hasID:
			report.Unreadable++
		case err != nil:
		case line.concerns(request):
			report.Lines = append(report.Lines, line)
		case stateMessages[line.Message]:
			stateChanges = append(stateChanges, line)
		}
	}
	report.addStateChanges(stateChanges)
	slices.SortStableFunc(report.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, line := range report.Lines {
		if reason, ok := line.Fields[fieldReason].(string); ok && line.Message == messageRequestFailed {
			report.Cause = reason
		}
	}
	return report, scanner.Err()
}

// mayBeStateChange reports whether a log line may be about a state change of an entry, without parsing it.
func mayBeStateChange(text []byte) bool {
	for message := range stateMessages {
		if bytes.Contains(text, []byte(message)) {
			return true
		}
	}
	return false
}

// addStateChanges adds the state changes of the entries in the request's lines that happened during the request or
// shortly before it.
func (r *Report) addStateChanges(stateChanges []Line) {
	if len(r.Lines) == 0 {
		return
	}
	entries := make(map[string]bool)
	first, last := r.Lines[0].At, r.Lines[0].At
	for _, line := range r.Lines {
		entries[line.Entry] = true
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	for _, line := range stateChanges {
		if entries[line.Entry] && !line.At.Before(first.Add(-stateChangeWindow)) && !line.At.After(last) {
			r.Lines = append(r.Lines, line)
		}
	}
}

// NoObjectError is returned for a line without a JSON object.
type NoObjectError struct{}

func (*NoObjectError) Error() string { return "the line contains no JSON object" }

func parse(text []byte) (Line, error) {
	object, err := jsonObject(text)
	if err != nil {
		return Line{}, err
	}
	line := Line{Fields: make(map[string]any)}
	if err := json.Unmarshal(object, &line.Fields); err != nil {
		return Line{}, err
	}
	at, _ := line.Fields[fieldTime].(string)
	when, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		return Line{}, err
	}
	line.At = when
	line.Entry, _ = line.Fields[fieldEntry].(string)
	line.Message, _ = line.Fields[fieldMessage].(string)
	for _, name := range []string{fieldTime, fieldEntry, fieldMessage, fieldLevel} {
		delete(line.Fields, name)
	}
	return line, nil
}

func (l *Line) concerns(request string) bool {
	if l.Fields[fieldRequest] == request {
		return true
	}
	list, _ := l.Fields[fieldRequests].([]any)
	return slices.Contains(list, any(request))
}

// Write prints the report to w: each line with the time since the first, then the cause and what to check next.
func (r *Report) Write(w io.Writer) error {
	var b strings.Builder
	for _, line := range r.Lines {
		since := line.At.Sub(r.Lines[0].At)
		fmt.Fprintf(&b, "%9.3f ms  %-22s %s%s\n", float64(since.Microseconds())/1000, line.Entry, line.Message, line.details())
	}
	if r.Unreadable > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", r.Unreadable)
	}
	switch {
	case len(r.Lines) == 0:
		fmt.Fprintf(&b, "no line names %s; lines on ordinary requests are left out over their rate\n", r.Request)
	case r.Cause == "":
		b.WriteString("no failure is on record\n")
	default:
		fmt.Fprintf(&b, "cause: %s: %s\n", r.Cause, Explain(r.Cause))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// details formats the remaining fields, sorted by name.
func (l *Line) details() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == fieldRequest || name == fieldRequests {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
