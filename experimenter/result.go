package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"geraniumline/switcher"
)

// KindResult is what became of a kind's requests.
type KindResult struct {
	Name     string `json:"name"`
	Requests int    `json:"asked"`
	OnTime   int    `json:"onTime"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	// Failed found no model engine, or were lost with their entry.
	Failed int `json:"failed"`
	// P50Millis and P99Millis are the times to the first event.
	P50Millis int64 `json:"p50Millis"`
	P99Millis int64 `json:"p99Millis"`

	times *hdrhistogram.Histogram
}

// The histogram's bounds: a millisecond to ten minutes, in three figures.
const (
	leastTime   = 1
	longestTime = 600_000
	figures     = 3
)

func (k *KindResult) record(took time.Duration) {
	// An error means a time beyond the bounds, which no patience reaches.
	_ = k.times.RecordValue(max(leastTime, took.Milliseconds()))
}

// PoolResult is what a pool of endpoints did.
type PoolResult struct {
	Name          string  `json:"name"`
	Calls         int     `json:"calls"`
	Pieces        int     `json:"pieces"`
	CallsRefused  int     `json:"callsRefused"`
	NoSpace       int     `json:"noRoom"`
	InputsMissing int     `json:"inputsGone"`
	BusySeconds   float64 `json:"busySeconds"`
}

// Result is what one run brought.
type Result struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Disabled []string      `json:"without"`
	Kinds    []*KindResult `json:"kinds"`
	Pools    []*PoolResult `json:"pools"`
	// Earned is the worth earned of what all requests on time would be worth.
	Earned float64 `json:"earned"`
	// ZoneBytes are results that crossed availability zones, SharedTokensRead the tokens of shared prompt parts that
	// engines read, ResultsUnused the results that came for nobody.
	ZoneBytes        int64 `json:"zoneBytes"`
	SharedTokensRead int64 `json:"sharedTokensRead"`
	ResultsUnused    int   `json:"resultsUnused"`
}

func newResult(s *Scenario, seed uint64, off switcher.Disabled) *Result {
	r := &Result{Scenario: s.Name, Seed: seed, Disabled: off.Names()}
	for _, k := range s.Kinds {
		r.Kinds = append(r.Kinds, &KindResult{Name: k.Name, times: hdrhistogram.New(leastTime, longestTime, figures)})
	}
	for _, p := range s.Pools {
		r.Pools = append(r.Pools, &PoolResult{Name: p.Name})
	}
	return r
}

func (r *Result) finish(s *Scenario) {
	earned, owed := 0.0, 0.0
	for i, k := range r.Kinds {
		k.P50Millis = k.times.ValueAtQuantile(50)
		k.P99Millis = k.times.ValueAtQuantile(99)
		k.Failed += k.Requests - k.OnTime - k.Late - k.Refused - k.Failed
		earned += float64(int64(k.OnTime)*s.Kinds[i].Worth + int64(k.Late)*s.Kinds[i].LateWorth)
		owed += float64(int64(k.Requests) * s.Kinds[i].Worth)
	}
	if owed > 0 {
		r.Earned = earned / owed
	}
}
