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

// Report counts requests by outcome. Lost, Doubled and Crossed must be 0.
type Report struct {
	Sent, Answered, InTime, NotRun, Unknown int
	// Lost counts requests that were answered but appear in no ledger, and requests that ended with neither an answer
	// nor a valid outcome.
	Lost int
	// Doubled counts calls that must not be repeated but ran more than once.
	Doubled int
	// Crossed counts answers that belong to another request, and requests answered with notRun that did run.
	Crossed int

	rows map[string]*row
	// lastFailure is the error of the last request that was lost or not run.
	lastFailure error
}

// row holds the report on one account.
type row struct {
	sent, answered, inTime int
	latencyMicros          *hdrhistogram.Histogram
	cost                   map[string]float64
}

const (
	maxMicros         = 60_000_000
	significantDigits = 3
	microsPerMilli    = 1000
)

func newReport(accounts []Account, results []result, executions []faker.Execution) Report {
	report := Report{rows: map[string]*row{}}
	for _, account := range accounts {
		report.rows[account.Name] = &row{latencyMicros: hdrhistogram.New(1, maxMicros, significantDigits), cost: map[string]float64{}}
	}
	executed := map[string]bool{}
	for _, execution := range executions {
		executed[execution.IdempotencyKey] = true
		if r, known := report.rows[execution.Account]; known {
			r.cost[execution.Stage] += execution.Cost
		}
	}
	for _, result := range results {
		report.count(result, executed)
	}
	report.Doubled = len(faker.RepeatedSideEffects(executions))
	return report
}

func (r *Report) count(result result, executed map[string]bool) {
	row := r.rows[result.account]
	r.Sent++
	row.sent++
	if result.err == nil {
		r.countAnswer(result, row, executed)
		return
	}
	var failed *caller.RequestError
	switch {
	case !errors.As(result.err, &failed):
		r.Lost++
		r.lastFailure = result.err
	case failed.Outcome == "unknown":
		r.Unknown++
	default:
		r.NotRun++
		r.lastFailure = result.err
		if executed[result.key] {
			r.Crossed++
		}
	}
}

func (r *Report) countAnswer(result result, row *row, executed map[string]bool) {
	r.Answered++
	row.answered++
	_ = row.latencyMicros.RecordValue(result.duration.Microseconds())
	if result.duration <= deadline {
		r.InTime++
		row.inTime++
	}
	if !executed[result.key] {
		r.Lost++
	}
	if !IsExpectedAnswer(result.pipeline, result.input, result.answer.Text) {
		r.Crossed++
	}
}

// IsExpectedAnswer reports whether text is the complete answer of the pipeline to the input. The text that the stand-ins
// produce depends on both.
func IsExpectedAnswer(pipeline, input, text string) bool {
	config := SummaryPipeline()
	if pipeline == pipelineTicket {
		config = TicketPipeline()
	}
	return text == faker.ExpectedPipelineOutput(requestID(text), input, expectedStages(config))
}

// requestID returns the request ID in an answer of the form "stage:requestId:...", or an empty string.
func requestID(text string) string {
	fields := strings.SplitN(text, ":", 3)
	if len(fields) < 3 {
		return ""
	}
	return fields[1]
}

func expectedStages(pipeline publisher.Pipeline) []faker.ExpectedStage {
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
			row.quantileMillis(50), row.quantileMillis(95), row.quantileMillis(99), formatCosts(row.cost))
	}
	_ = table.Flush()
	if r.lastFailure != nil {
		_, _ = fmt.Fprintf(w, "demo: one request ended with: %v\n", r.lastFailure)
	}
	_, _ = fmt.Fprintf(w, "demo: sent=%d answered=%d inTime=%d notRun=%d unknown=%d lost=%d doubled=%d crossed=%d\n",
		r.Sent, r.Answered, r.InTime, r.NotRun, r.Unknown, r.Lost, r.Doubled, r.Crossed)
}

func (r *row) quantileMillis(percent float64) float64 {
	return float64(r.latencyMicros.ValueAtQuantile(percent)) / microsPerMilli
}

func formatCosts(cost map[string]float64) string {
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
