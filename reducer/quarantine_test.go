package reducer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
	"geraniumline/reducer"
)

func disableQuarantine(cfg *reducer.Config) {
	cfg.Quarantiner.SuspectFor = time.Nanosecond
	cfg.Quarantiner.QuarantineFor = time.Nanosecond
}

type crashResult struct {
	endpointsLost int
	// failed is how many of the other requests were not answered.
	failed  int
	code    reducer.Code
	latency time.Duration
}

// crashTrial sends an input that crashes every endpoint that runs it, repeatedly and under new keys, together with
// a load of harmless requests.
type crashTrial struct {
	perPool int
	seed    uint64
	// concurrent is how many entries receive the input at the start, all at the same moment.
	concurrent int
	configure  func(*reducer.Config)
}

func (trial crashTrial) measure(t *testing.T) crashResult {
	cfg := threePools(trial.seed)
	cfg.configure = trial.configure
	cfg.perPool = trial.perPool
	s := newSystem(t, cfg)
	background := s.load(quietRate*float64(trial.perPool-2)/10, 8*time.Second, 2*time.Second)
	s.runFor(2 * time.Second)
	var last *simRequest
	for i := range trial.concurrent {
		s.send(i, crashInput, 2*time.Second)
	}
	for i := range 10 {
		last = s.send(i%len(s.entries), crashInput, 2*time.Second)
		s.runFor(500 * time.Millisecond)
	}
	s.runFor(4 * time.Second)
	c := crashResult{endpointsLost: s.crashCount(), code: last.code, latency: last.ended.Sub(last.sent)}
	for _, a := range *background {
		if !a.answered() {
			c.failed++
		}
	}
	return c
}

// A request crashes each endpoint that runs it, and its caller sends it again with new keys to other entries. The
// first crash also fails the other requests on that endpoint; the retries run alone, and after the second crash
// all entries answer the request with a final refusal. Without quarantine each attempt costs up to three
// endpoints.
func TestPolicyCrashingRequest(t *testing.T) {
	t.Parallel()
	tests := []struct {
		testName      string
		trial         crashTrial
		endpointsLost float64
	}{
		{"tenEndpoints", crashTrial{perPool: 10, seed: 4}, 2},
		{"threeEndpoints", crashTrial{perPool: 3, seed: 4}, 2},
		// An input sent to four entries before any of them has seen a crash may cost four endpoints, and no more.
		{"fourAtOnce", crashTrial{perPool: 10, seed: 6, concurrent: 3}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			t.Parallel()
			ours := tt.trial.measure(t)
			tt.trial.configure = disableQuarantine
			none := tt.trial.measure(t)
			goal, zero := atMost(2), atMost(0)
			check(t, measurer.Row{
				Case: "crashingRequest." + tt.testName, Measure: "endpointsLost", Ours: float64(ours.endpointsLost),
				Baselines: []measurer.Baseline{{Name: "noQuarantine", Value: float64(none.endpointsLost)}}, Bound: atMost(tt.endpointsLost), Goal: &goal,
			})
			check(t, measurer.Row{
				Case: "crashingRequest." + tt.testName, Measure: "innocentsNotAnswered", Ours: float64(ours.failed),
				Baselines: []measurer.Baseline{{Name: "noQuarantine", Value: float64(none.failed)}}, Bound: atMost(0), Goal: &zero,
			})
			require.Equal(t, reducer.CodeQuarantined, ours.code)
			require.Zero(t, ours.latency)
		})
	}
}
