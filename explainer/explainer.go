// Package explainer reads the log lines of several entries and tells what happened to one request, in order, and why it
// failed.
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

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Line is one log line that concerns the request.
type Line struct {
	At      time.Time
	Entry   string
	Message string
	// Fields are all others.
	Fields map[string]any
}

// Report is what the logs tell of one request.
type Report struct {
	Request string
	Lines   []Line
	// Cause is the reason in the line of the request's end, empty where there is none or it was answered.
	Cause string
	// Unreadable counts the lines that could not be read.
	Unreadable int
}

// The fields of a line that name its parts.
const (
	fieldTime     = "time"
	fieldEntry    = "entry"
	fieldMessage  = "msg"
	fieldLevel    = "level"
	fieldRequest  = "request"
	fieldRequests = "requests"
	fieldReason   = "reason"
)

const messageFailed = "request failed"

// knowledge are the messages on what an entry knows. A request was handled by that, and its own lines don't repeat it.
var knowledge = map[string]bool{
	"configuration in force":   true,
	"endpoint asks for rest":   true,
	"endpoint leaves":          true,
	"endpoint's limit changed": true,
	"evacuated zones changed":  true,
	"store answers again":      true,
	"store does not answer":    true,
	"store has returned from an older copy; what was written since may be lost": true,
}

// knowledgeSpan is how long before a request's first line a change of knowledge is told of.
const knowledgeSpan = 5 * time.Second

// Read reads logs and keeps what concerns the request. Text before a line's JSON is passed over: collectors of logs put
// a host's name and a time there.
func Read(r io.Reader, request string) (Report, error) {
	report := Report{Request: request}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	name := []byte(request)
	var known []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		named := bytes.Contains(text, name)
		if !named && !tellsKnowledge(text) {
			continue
		}
		line, err := parse(text)
		switch {
		case err != nil && named:
			report.Unreadable++
		case err != nil:
		case line.concerns(request):
			report.Lines = append(report.Lines, line)
		case knowledge[line.Message]:
			known = append(known, line)
		}
	}
	report.addKnowledge(known)
	slices.SortStableFunc(report.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, line := range report.Lines {
		if reason, ok := line.Fields[fieldReason].(string); ok && line.Message == messageFailed {
			report.Cause = reason
		}
	}
	return report, scanner.Err()
}

// tellsKnowledge tells whether a log line may be one on what an entry knows, without reading all of it.
func tellsKnowledge(text []byte) bool {
	for message := range knowledge {
		if bytes.Contains(text, []byte(message)) {
			return true
		}
	}
	return false
}

// addKnowledge adds what the entries of the request's lines came to know shortly before it and in its course.
func (r *Report) addKnowledge(known []Line) {
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
	for _, line := range known {
		if entries[line.Entry] && !line.At.Before(first.Add(-knowledgeSpan)) && !line.At.After(last) {
			r.Lines = append(r.Lines, line)
		}
	}
}

// NoObjectError tells of a line without JSON.
type NoObjectError struct{}

func (*NoObjectError) Error() string { return "the line holds no JSON object" }

func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, &NoObjectError{}
	}
	line := Line{Fields: make(map[string]any)}
	if err := json.Unmarshal(text[start:], &line.Fields); err != nil {
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

// Write prints the report: a line for each step with the time since the first, then the cause and what to do.
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

// details lists the other fields by name.
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
