package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/admitter"
	"geraniumline/measurer"
)

// stageCounts are the numbers of known stages: a pipeline of four, and 34 models in 30 stages.
var stageCounts = []int{4, 1020}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pipelineLength = 4

// benchAdmitter is an admitter that has observed many stages.
type benchAdmitter struct {
	a      *admitter.Admitter
	stages []admitter.PendingStage
	now    time.Time
	n      int
}

func newBenchAdmitter(stages int) *benchAdmitter {
	h := &benchAdmitter{a: admitter.New(admitter.Config{}), now: start}
	for i := range stages {
		name := fmt.Sprintf("pipeline/stage%d", i)
		h.stages = append(h.stages, admitter.PendingStage{Stage: name, Pool: name, Expected: time.Second, WorkAhead: 100, WorstWorkAhead: 200, Capacity: 40})
		for k := range 100 {
			h.a.Observe(name, time.Duration(50+k)*time.Millisecond, 60, h.now)
		}
	}
	return h
}

// step makes the decisions for one request: at admission, before a stage, and after it.
func (h *benchAdmitter) step() {
	h.now = h.now.Add(50 * time.Microsecond)
	h.n = (h.n + pipelineLength) % len(h.stages)
	stages := h.stages[h.n : h.n+pipelineLength]
	h.a.Admit(stages, h.now.Add(time.Duration(h.n%7)*time.Second), h.now)
	h.a.CannotFinish(stages, h.now.Add(time.Second), h.now)
	h.a.Budget(stages, h.now.Add(time.Second), h.now)
}

// TestAdmitDoesNotAllocate covers admissions and refusals.
func TestAdmitDoesNotAllocate(t *testing.T) {
	h := newBenchAdmitter(8 * pipelineLength)
	require.Zero(t, testing.AllocsPerRun(1000, h.step))
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		h.a.Observe(h.stages[0].Stage, 70*time.Millisecond, 60, h.now)
	}))
}

func BenchmarkDecisions(b *testing.B) {
	for _, n := range stageCounts {
		b.Run(fmt.Sprintf("stages=%d", n), func(b *testing.B) {
			h := newBenchAdmitter(n)
			b.ReportAllocs()
			for b.Loop() {
				h.step()
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range stageCounts {
		b.Run(fmt.Sprintf("stages=%d", n), func(b *testing.B) {
			h := newBenchAdmitter(n)
			b.ReportAllocs()
			for b.Loop() {
				h.now = h.now.Add(100 * time.Microsecond)
				h.n = (h.n + 1) % n
				h.a.Observe(h.stages[h.n].Stage, 70*time.Millisecond, 60, h.now)
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{30, 300, 1020} {
		b.Run(fmt.Sprintf("stages=%d", n), func(b *testing.B) {
			for b.Loop() {
				bytes := measurer.HeapBytes(func() any { return newBenchAdmitter(n).a })
				b.ReportMetric(float64(bytes)/float64(n), "B/stage")
			}
		})
	}
}
