package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"container/list"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"time"
)

// maxOpen bounds the requests without an end that are kept. An entry that is at its limits has some thousands.
const maxOpen = 200_000

// Grouping is the property by which requests are grouped.
type Grouping string

// The groupings.
const (
	ByRoute    Grouping = "route"
	ByAccount  Grouping = "account"
	ByPriority Grouping = "priority"
	ByZone     Grouping = "zone"
	ByEndpoint Grouping = "endpoint"
	ByTime     Grouping = "time"
)

// Groupings returns all groupings.
func Groupings() []Grouping {
	return []Grouping{ByRoute, ByAccount, ByPriority, ByZone, ByEndpoint, ByTime}
}

// noGroup is the name of the group of requests that don't have the property.
const noGroup = "-"

// TallyConfig configures a Tally.
type TallyConfig struct {
	By Grouping
	// Interval is the length of a group by time.
	Interval time.Duration
}

// Tally counts the outcomes of requests from the logs of several entries. Its memory is bounded by the requests under
// way and by the number of groups, not by the length of the logs.
type Tally struct {
	cfg    TallyConfig
	open   map[requestKey]*list.Element
	oldest *list.List
	groups map[string]*group
	// answers counts the answered requests of each entry.
	answers    map[string]*answerCount
	total      [outcomeCount]int
	from, to   time.Time
	requests   int
	unended    int
	lines      int
	unreadable int
	dropped    int64
}

// requestKey identifies a request at an entry. A caller may send a refused request again, to the same or another entry.
type requestKey struct{ entry, request string }

// openElement is an element of Tally.oldest.
type openElement struct {
	key     requestKey
	request openRequest
}

type group struct {
	counts    [outcomeCount]int
	decisions map[decisionKey]*decisionSum
}

type decisionKey struct {
	outcome Outcome
	step    Step
	reason  string
	after   Step
	where   string
}

type decisionSum struct {
	requests           int
	took               float64
	listAge, knownWait measured
}

// measured sums up a value that only some lines have.
type measured struct {
	n        int
	sum, max float64
}

func (m *measured) add(value *float64) {
	if value != nil {
		m.n++
		m.sum += *value
		m.max = max(m.max, *value)
	}
}

func (m *measured) mean() *float64 {
	if m.n == 0 {
		return nil
	}
	return new(roundMillis(m.sum / float64(m.n)))
}

func (m *measured) highest() *float64 {
	if m.n == 0 {
		return nil
	}
	return new(roundMillis(m.max))
}

func roundMillis(seconds float64) float64 { return math.Round(seconds*1000) / 1000 }

// answerCount compares the lines of answered requests with the entry's own count of them.
type answerCount struct {
	// seen are the lines, and counted the requests in the finished runs of the entry's process.
	seen, counted int64
	// before and last are the entry's count before the first line, and at the newest one. known is set once a line of
	// the present run had the count, and uncounted if a line of any run lacked it.
	before, last     int64
	known, uncounted bool
	// started is set if the present run's log begins with its start.
	started bool
}

// add takes in the line of a request's end.
func (a *answerCount) add(r *record) {
	answered := r.Message == messageRequestAnswered
	if answered {
		a.seen++
	}
	if r.Answered == nil {
		a.uncounted = a.uncounted || answered
		return
	}
	before := *r.Answered
	if answered {
		before--
	}
	if a.started {
		before = 0
	}
	if !a.known {
		a.known, a.before, a.last = true, before, *r.Answered
		return
	}
	a.before = min(a.before, before)
	a.last = max(a.last, *r.Answered)
}

// restart begins a new run of the entry's process.
func (a *answerCount) restart() {
	a.counted += a.last - a.before
	a.before, a.last = 0, 0
	a.known, a.started = false, true
}

func (a *answerCount) total() int64 { return max(a.counted+a.last-a.before, a.seen) }

// NewTally returns an empty tally.
func NewTally(cfg TallyConfig) *Tally {
	return &Tally{
		cfg:     cfg,
		open:    make(map[requestKey]*list.Element),
		oldest:  list.New(),
		groups:  make(map[string]*group),
		answers: make(map[string]*answerCount),
	}
}

// LogReadError reports that reading a log failed.
type LogReadError struct {
	// Lines is the number of lines that were read before.
	Lines int
	Err   error
}

func (e *LogReadError) Error() string {
	return fmt.Sprintf("reading the log failed after %d lines: %v", e.Lines, e.Err)
}

// Unwrap returns the cause.
func (e *LogReadError) Unwrap() error { return e.Err }

// NotALogError reports input without a single line that could be read.
type NotALogError struct {
	Lines int
}

func (e *NotALogError) Error() string {
	return fmt.Sprintf("none of the %d lines is a log line of an entry", e.Lines)
}

// Read adds logs to the tally. The lines of one entry must be in order. Lines that can't be parsed are counted. The
// error is a *LogReadError.
func (t *Tally) Read(r io.Reader) error {
	reader := bufio.NewReaderSize(r, maxLine)
	for {
		text, err := reader.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if text = bytes.TrimSpace(text); tooLong || len(text) > 0 {
			t.addLine(text, tooLong)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &LogReadError{Lines: t.lines, Err: err}
		}
	}
}

func (t *Tally) addLine(text []byte, tooLong bool) {
	t.lines++
	if tooLong {
		t.unreadable++
		return
	}
	r, counted, err := parseRecord(text)
	switch {
	case err != nil:
		t.unreadable++
	case counted:
		t.addRecord(&r)
	}
}

func (t *Tally) addRecord(r *record) {
	switch r.Message {
	case messageEntryStarted:
		t.answersOf(r.Entry).restart()
	case messageLinesDropped:
		t.dropped += r.Lines
	case messageRequestAnswered, messageRequestFailed:
		t.end(r)
	default:
		t.openRequest(requestKey{r.Entry, r.Request}).add(r)
	}
}

func (t *Tally) answersOf(entry string) *answerCount {
	a, known := t.answers[entry]
	if !known {
		a = &answerCount{}
		t.answers[entry] = a
	}
	return a
}

// openRequest returns the state of a request under way. If there are too many, the oldest is dropped: its end was left
// out of the log.
func (t *Tally) openRequest(key requestKey) *openRequest {
	if e, known := t.open[key]; known {
		return &e.Value.(*openElement).request
	}
	if len(t.open) >= maxOpen {
		e := t.oldest.Front()
		delete(t.open, e.Value.(*openElement).key)
		t.oldest.Remove(e)
		t.unended++
	}
	element := &openElement{key: key}
	t.open[key] = t.oldest.PushBack(element)
	return &element.request
}

// end counts a request that has ended, and drops its state.
func (t *Tally) end(r *record) {
	o := &openRequest{}
	key := requestKey{r.Entry, r.Request}
	if e, known := t.open[key]; known {
		o = &e.Value.(*openElement).request
		delete(t.open, key)
		t.oldest.Remove(e)
	}
	t.answersOf(r.Entry).add(r)
	if t.from.IsZero() || r.Time.Before(t.from) {
		t.from = r.Time
	}
	if r.Time.After(t.to) {
		t.to = r.Time
	}
	t.requests++
	v := o.judge(r)
	t.total[outcomeIndex(v.outcome)]++
	t.group(t.groupName(r)).add(v)
}

func (t *Tally) group(name string) *group {
	g, known := t.groups[name]
	if !known {
		g = &group{decisions: make(map[decisionKey]*decisionSum)}
		t.groups[name] = g
	}
	return g
}

func (g *group) add(v verdict) {
	g.counts[outcomeIndex(v.outcome)]++
	if v.step == "" {
		return
	}
	key := decisionKey{v.outcome, v.step, v.reason, v.after, v.where}
	d, known := g.decisions[key]
	if !known {
		d = &decisionSum{}
		g.decisions[key] = d
	}
	d.requests++
	d.took += v.took
	d.listAge.add(v.listAge)
	d.knownWait.add(v.knownWait)
}

func (t *Tally) groupName(r *record) string {
	name := ""
	switch t.cfg.By {
	case ByRoute:
		name = r.Route
	case ByAccount:
		name = r.Account
	case ByPriority:
		if r.Priority != nil {
			name = strconv.Itoa(*r.Priority)
		}
	case ByZone:
		name = r.Zone
	case ByEndpoint:
		if n := len(r.Endpoints); n > 0 {
			name = r.Endpoints[n-1]
		}
	case ByTime:
		name = r.Time.UTC().Truncate(t.cfg.Interval).Format(time.RFC3339)
	}
	return cmp.Or(name, noGroup)
}

// Report returns the counts so far. It returns a *NotALogError if lines were read and none of them was a log line.
func (t *Tally) Report() (*Outcomes, error) {
	if t.lines > 0 && t.unreadable == t.lines {
		return nil, &NotALogError{Lines: t.lines}
	}
	report := &Outcomes{
		By:              t.cfg.By,
		From:            t.from,
		To:              t.to,
		Entries:         len(t.answers),
		Requests:        t.requests,
		Unended:         t.unended + len(t.open),
		Lines:           t.lines,
		UnreadableLines: t.unreadable,
		DroppedLines:    t.dropped,
		Total:           newCounts(t.total),
		Groups:          make([]Group, 0, len(t.groups)),
	}
	report.AnsweredSeen, report.Answered = t.answered()
	for name, g := range t.groups {
		report.Groups = append(report.Groups, g.report(name))
	}
	slices.SortFunc(report.Groups, func(a, b Group) int {
		if t.cfg.By == ByTime {
			return cmp.Compare(a.Name, b.Name)
		}
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return report, nil
}

// answered returns the number of answered requests that have a line, and of all, which is nil if an entry doesn't
// say it.
func (t *Tally) answered() (seen int64, all *int64) {
	all = new(int64)
	for _, a := range t.answers {
		seen += a.seen
		if a.uncounted {
			all = nil
		}
		if all != nil {
			*all += a.total()
		}
	}
	return seen, all
}

func (g *group) report(name string) Group {
	report := Group{Name: name, Counts: newCounts(g.counts), Decisions: make([]Decision, 0, len(g.decisions))}
	for key, d := range g.decisions {
		report.Decisions = append(report.Decisions, Decision{
			Outcome:              key.outcome,
			Step:                 key.step,
			Reason:               key.reason,
			After:                key.after,
			Where:                key.where,
			Requests:             d.requests,
			MeanSeconds:          roundMillis(d.took / float64(d.requests)),
			KnownWaitMeanSeconds: d.knownWait.mean(),
			ListAgeMeanSeconds:   d.listAge.mean(),
			ListAgeMaxSeconds:    d.listAge.highest(),
		})
	}
	slices.SortFunc(report.Decisions, compareDecisions)
	return report
}

func compareDecisions(a, b Decision) int {
	return cmp.Or(
		cmp.Compare(b.Requests, a.Requests),
		cmp.Compare(a.Outcome, b.Outcome),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Reason, b.Reason),
		cmp.Compare(a.After, b.After),
		cmp.Compare(a.Where, b.Where),
	)
}
