package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumline/switcher"
)

// KindResult counts the outcomes of a kind's requests.
type KindResult struct {
	Name     string `json:"name"`
	Requests int    `json:"asked"`
	OnTime   int    `json:"onTime"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	// Failed is the number of requests that found no model engine or were lost when their entry failed.
	Failed int `json:"failed"`
	// P50Millis and P99Millis are percentiles of the time to the first event.
	P50Millis int64 `json:"p50Millis"`
	P99Millis int64 `json:"p99Millis"`

	firstEventTimes *hdrhistogram.Histogram
}

// The histogram covers a millisecond to ten minutes with three significant figures.
const (
	minTimeMillis      = 1
	maxTimeMillis      = 600_000
	significantFigures = 3
)

func (k *KindResult) record(elapsed time.Duration) {
	// RecordValue fails only for times above the bound, and callers leave before that.
	_ = k.firstEventTimes.RecordValue(max(minTimeMillis, elapsed.Milliseconds()))
}

// PoolResult counts the work of a pool of endpoints.
type PoolResult struct {
	Name          string  `json:"name"`
	Calls         int     `json:"calls"`
	Pieces        int     `json:"pieces"`
	CallsRefused  int     `json:"callsRefused"`
	NoSpace       int     `json:"noRoom"`
	InputsMissing int     `json:"inputsGone"`
	BusySeconds   float64 `json:"busySeconds"`
}

// Result is the outcome of one run.
type Result struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Disabled []string      `json:"without"`
	Kinds    []*KindResult `json:"kinds"`
	Pools    []*PoolResult `json:"pools"`
	// Earned is the worth of all answers as a share of the worth if every request were answered on time.
	Earned float64 `json:"earned"`
	// ZoneBytes is the size of results that were transferred between availability zones, SharedTokensRead the number of tokens
	// of shared prompt parts that engines read, and ResultsUnused the number of results whose request had already ended.
	ZoneBytes        int64 `json:"zoneBytes"`
	SharedTokensRead int64 `json:"sharedTokensRead"`
	ResultsUnused    int   `json:"resultsUnused"`
}

func newResult(s *Scenario, seed uint64, disabled switcher.Disabled) *Result {
	r := &Result{Scenario: s.Name, Seed: seed, Disabled: disabled.Names()}
	for _, k := range s.Kinds {
		r.Kinds = append(r.Kinds, &KindResult{Name: k.Name, firstEventTimes: hdrhistogram.New(minTimeMillis, maxTimeMillis, significantFigures)})
	}
	for _, p := range s.Pools {
		r.Pools = append(r.Pools, &PoolResult{Name: p.Name})
	}
	return r
}

func (r *Result) finish(s *Scenario) {
	earned, possible := 0.0, 0.0
	for i, k := range r.Kinds {
		k.P50Millis = k.firstEventTimes.ValueAtQuantile(50)
		k.P99Millis = k.firstEventTimes.ValueAtQuantile(99)
		k.Failed += k.Requests - k.OnTime - k.Late - k.Refused - k.Failed
		earned += float64(int64(k.OnTime)*s.Kinds[i].Worth + int64(k.Late)*s.Kinds[i].LateWorth)
		possible += float64(int64(k.Requests) * s.Kinds[i].Worth)
	}
	if possible > 0 {
		r.Earned = earned / possible
	}
}
