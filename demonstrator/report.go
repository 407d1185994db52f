package demonstrator

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumline/caller"
	"geraniumline/faker"
	"geraniumline/publisher"
)

// Report counts what became of the requests. Lost, Doubled and Crossed must be 0.
type Report struct {
	Sent, Answered, InTime, NotRun, Unknown int
	// Lost counts requests that were answered but that no ledger shows whole, and requests without any
	// truthful end.
	Lost int
	// Doubled counts calls that may not be repeated and that ran more than once.
	Doubled int
	// Crossed counts answers that are not their request's own, and requests told notRun that did run.
	Crossed int

	rows map[string]*row
	// strange is the last end of a request that was not an answer.
	strange error
}

// row is one account's part of the report.
type row struct {
	sent, answered, inTime int
	millis                 *hdrhistogram.Histogram
	cost                   map[string]float64
}

const (
	maxMicros      = 60_000_000
	significant    = 3
	microsInMillis = 1000
)

func newReport(accounts []Account, results []result, executions []faker.Execution) Report {
	report := Report{rows: map[string]*row{}}
	for _, account := range accounts {
		report.rows[account.Name] = &row{millis: hdrhistogram.New(1, maxMicros, significant), cost: map[string]float64{}}
	}
	ran := map[string]bool{}
	for _, execution := range executions {
		ran[execution.IdempotencyKey] = true
		if r, known := report.rows[execution.Account]; known {
			r.cost[execution.Stage] += execution.Cost
		}
	}
	for _, result := range results {
		report.count(result, ran)
	}
	report.Doubled = len(faker.RepeatedSideEffects(executions))
	return report
}

func (r *Report) count(result result, ran map[string]bool) {
	row := r.rows[result.account]
	r.Sent++
	row.sent++
	if result.err == nil {
		r.countAnswer(result, row, ran)
		return
	}
	var failed *caller.FailedError
	switch {
	case !errors.As(result.err, &failed):
		r.Lost++
		r.strange = result.err
	case failed.Outcome == "unknown":
		r.Unknown++
	default:
		r.NotRun++
		r.strange = result.err
		if ran[result.key] {
			r.Crossed++
		}
	}
}

func (r *Report) countAnswer(result result, row *row, ran map[string]bool) {
	r.Answered++
	row.answered++
	_ = row.millis.RecordValue(result.took.Microseconds())
	if result.took <= deadline {
		r.InTime++
		row.inTime++
	}
	if !ran[result.key] {
		r.Lost++
	}
	if !IsOwnAnswer(result.pipeline, result.input, result.answer.Text) {
		r.Crossed++
	}
}

// IsOwnAnswer tells whether an answer is whole and that of the input: the stand-ins' text depends on both.
func IsOwnAnswer(pipeline, input, text string) bool {
	config := Summary()
	if pipeline == pipelineTicket {
		config = Ticket()
	}
	return text == faker.ExpectedPipelineOutput(requestOf(text), input, expected(config))
}

// requestOf reads the request's name out of "stage:requestId:...".
func requestOf(text string) string {
	fields := strings.SplitN(text, ":", 3)
	if len(fields) < 3 {
		return ""
	}
	return fields[1]
}

func expected(pipeline publisher.Pipeline) []faker.ExpectedStage {
	var stages []faker.ExpectedStage
	for _, stage := range pipeline.Stages {
		stages = append(stages, faker.ExpectedStage{Name: stage.Name, Tokens: max(stage.MaxTokens, 1)})
	}
	return stages
}

func (r *Report) print(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "account\tsent\tin time\tp50 ms\tp95 ms\tp99 ms\tcost by stage (ms)\t")
	names := make([]string, 0, len(r.rows))
	for name := range r.rows {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		row := r.rows[name]
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\t\n", name, row.sent, row.inTime,
			row.quantile(50), row.quantile(95), row.quantile(99), costs(row.cost))
	}
	_ = table.Flush()
	if r.strange != nil {
		_, _ = fmt.Fprintf(w, "demo: one request ended with: %v\n", r.strange)
	}
	_, _ = fmt.Fprintf(w, "demo: sent=%d answered=%d inTime=%d notRun=%d unknown=%d lost=%d doubled=%d crossed=%d\n",
		r.Sent, r.Answered, r.InTime, r.NotRun, r.Unknown, r.Lost, r.Doubled, r.Crossed)
}

func (r *row) quantile(percent float64) float64 {
	return float64(r.millis.ValueAtQuantile(percent)) / microsInMillis
}

func costs(cost map[string]float64) string {
	stages := make([]string, 0, len(cost))
	for stage := range cost {
		stages = append(stages, stage)
	}
	slices.Sort(stages)
	var parts []string
	for _, stage := range stages {
		parts = append(parts, fmt.Sprintf("%s=%.0f", stage, cost[stage]))
	}
	return strings.Join(parts, " ")
}
