package explainer

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"
)

// Outcomes is the report of a Tally.
type Outcomes struct {
	By Grouping `json:"by"`
	// From and To are the times of the first and the last end of a request.
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Entries int       `json:"entries"`
	// Requests is the number of requests whose end was read, and Unended of those with other lines only.
	Requests int `json:"requests"`
	Unended  int `json:"unended"`
	// Answered is the number of answered requests by the entries' own count, nil if a line lacks it, and AnsweredSeen
	// of those whose end was read. Lines of other ends are never left out.
	Answered        *int64  `json:"answered"`
	AnsweredSeen    int64   `json:"answeredSeen"`
	Lines           int     `json:"lines"`
	UnreadableLines int     `json:"unreadableLines"`
	DroppedLines    int64   `json:"droppedLines"`
	Total           Counts  `json:"total"`
	Groups          []Group `json:"groups"`
}

// Counts are the numbers of requests by outcome.
type Counts struct {
	Requests int `json:"requests"`
	OnTime   int `json:"onTime"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Lost     int `json:"lost"`
	GaveUp   int `json:"gaveUp"`
	Invalid  int `json:"invalid"`
	Unjudged int `json:"unjudged"`
}

// Group is a group of requests.
type Group struct {
	Name string `json:"name"`
	Counts
	Decisions []Decision `json:"decisions"`
}

// Decision counts the requests of a group that were not on time for the same cause.
type Decision struct {
	Outcome Outcome `json:"outcome"`
	Step    Step    `json:"step"`
	Reason  string  `json:"reason,omitempty"`
	// After is how the attempt before a denied or impossible retry ended.
	After    Step   `json:"after,omitempty"`
	Where    string `json:"where,omitempty"`
	Requests int    `json:"requests"`
	// MeanSeconds is the mean duration of the step for late requests, and of the request for others.
	MeanSeconds          float64  `json:"meanSeconds"`
	KnownWaitMeanSeconds *float64 `json:"knownWaitMeanSeconds,omitempty"`
	ListAgeMeanSeconds   *float64 `json:"listAgeMeanSeconds,omitempty"`
	ListAgeMaxSeconds    *float64 `json:"listAgeMaxSeconds,omitempty"`
}

// outcomeOrder is the order of the outcomes in the table.
var outcomeOrder = [...]Outcome{OnTime, Late, Refused, Lost, GaveUp, Invalid, Unjudged}

const outcomeCount = len(outcomeOrder)

func outcomeIndex(o Outcome) int { return slices.Index(outcomeOrder[:], o) }

func newCounts(n [outcomeCount]int) Counts {
	c := Counts{OnTime: n[0], Late: n[1], Refused: n[2], Lost: n[3], GaveUp: n[4], Invalid: n[5], Unjudged: n[6]}
	for _, count := range n {
		c.Requests += count
	}
	return c
}

// Write prints the report to w: what the logs cover, the table of outcomes, the table of decisions, and the meaning of
// the steps in it. Each table has at most the given number of rows, or all if it is 0.
func (o *Outcomes) Write(w io.Writer, rows int) error {
	var b strings.Builder
	o.writeCoverage(&b)
	if o.Requests > 0 {
		o.writeGroups(&b, rows)
		o.writeDecisions(&b, rows)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (o *Outcomes) writeCoverage(b *strings.Builder) {
	fmt.Fprintf(b, "%d lines read, %d unreadable, %d left out by the entries' rate limits\n",
		o.Lines, o.UnreadableLines, o.DroppedLines)
	if o.Requests == 0 {
		b.WriteString("no request has ended in these logs\n")
		return
	}
	fmt.Fprintf(b, "%d requests ended at %d entries from %s to %s; %d others have lines but no end\n",
		o.Requests, o.Entries, o.From.UTC().Format(time.RFC3339), o.To.UTC().Format(time.RFC3339), o.Unended)
	switch {
	case o.Answered == nil:
		fmt.Fprintf(b, "answered requests seen: %d of an unknown number, as lines lack the entry's count\n", o.AnsweredSeen)
	case *o.Answered > o.AnsweredSeen:
		fmt.Fprintf(b, "answered requests seen: %d of %d (%.1f%%); onTime and late count only these, failures are complete\n",
			o.AnsweredSeen, *o.Answered, 100*float64(o.AnsweredSeen)/float64(*o.Answered))
	default:
		fmt.Fprintf(b, "answered requests seen: all %d\n", o.AnsweredSeen)
	}
}

func (o *Outcomes) writeGroups(b *strings.Builder, rows int) {
	var table strings.Builder
	fmt.Fprintf(&table, "%s\t%8s\t%8s\t%8s\t%8s\t%8s\t%8s\t%8s\t%8s\n",
		o.By, "requests", "onTime", "late", "refused", "lost", "gaveUp", "invalid", "unjudged")
	shown, more := firstOf(o.Groups, rows)
	for _, g := range shown {
		writeCounts(&table, g.Name, g.Counts)
	}
	writeCounts(&table, "total", o.Total)
	writeAligned(b, table.String())
	writeMore(b, more, "groups")
}

func writeCounts(table *strings.Builder, name string, c Counts) {
	fmt.Fprintf(table, "%s\t%8d\t%8d\t%8d\t%8d\t%8d\t%8d\t%8d\t%8d\n",
		printable(name), c.Requests, c.OnTime, c.Late, c.Refused, c.Lost, c.GaveUp, c.Invalid, c.Unjudged)
}

// groupDecision is a row of the table of decisions.
type groupDecision struct {
	group string
	Decision
}

func (o *Outcomes) writeDecisions(b *strings.Builder, rows int) {
	all := o.decisions()
	if len(all) == 0 {
		return
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%s\toutcome\tstep\treason\tafter\twhere\t%8s\t%7s\t%9s\t%7s\t%7s\n",
		o.By, "requests", "mean s", "knownWait", "listAge", "max")
	shown, more := firstOf(all, rows)
	for _, d := range shown {
		fmt.Fprintf(&table, "%s\t%s\t%s\t%s\t%s\t%s\t%8d\t%7.2f\t%9s\t%7s\t%7s\n",
			printable(d.group), d.Outcome, d.Step, printable(orNone(d.Reason)), orNone(string(d.After)), printable(orNone(d.Where)),
			d.Requests, d.MeanSeconds, optional(d.KnownWaitMeanSeconds), optional(d.ListAgeMeanSeconds), optional(d.ListAgeMaxSeconds))
	}
	writeAligned(b, table.String())
	writeMore(b, more, "decisions")
	writeMeanings(b, shown)
}

// decisions returns the decisions of all groups by their counts. Those on invalid requests come last: the callers have
// to change these.
func (o *Outcomes) decisions() []groupDecision {
	var all []groupDecision
	for _, g := range o.Groups {
		for _, d := range g.Decisions {
			all = append(all, groupDecision{g.Name, d})
		}
	}
	slices.SortStableFunc(all, func(a, b groupDecision) int {
		if (a.Outcome == Invalid) != (b.Outcome == Invalid) {
			if a.Outcome == Invalid {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.Requests, a.Requests)
	})
	return all
}

// writeMeanings prints the meaning of each step in the table.
func writeMeanings(b *strings.Builder, shown []groupDecision) {
	var table strings.Builder
	var seen []Step
	for _, d := range shown {
		if !slices.Contains(seen, d.Step) {
			seen = append(seen, d.Step)
			fmt.Fprintf(&table, "%s\t%s\n", d.Step, d.Step.Explain())
		}
	}
	writeAligned(b, table.String())
}

// writeAligned writes a blank line and a table whose cells end with tabs.
func writeAligned(b *strings.Builder, table string) {
	b.WriteByte('\n')
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = io.WriteString(w, table) // a strings.Builder returns no error
	_ = w.Flush()
}

func writeMore(b *strings.Builder, n int, what string) {
	if n > 0 {
		fmt.Fprintf(b, "%d more %s; --rows 0 shows all\n", n, what)
	}
}

func firstOf[T any](items []T, n int) (first []T, more int) {
	if n == 0 || len(items) <= n {
		return items, 0
	}
	return items[:n], len(items) - n
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func optional(value *float64) string {
	if value == nil {
		return "-"
	}
	return strconv.FormatFloat(*value, 'f', 2, 64)
}

// printable replaces characters that could control the terminal or break the table.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
