package reducer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/measurer"
	"geraniumline/reducer"
)

func withoutQuarantine(cfg *reducer.Config) {
	cfg.Quarantiner.SuspectFor = time.Nanosecond
	cfg.Quarantiner.QuarantineFor = time.Nanosecond
}

type crashes struct {
	losses int
	// failed is how many innocents were not answered.
	failed int
	code   reducer.Code
	took   time.Duration
}

// crashTrial sends content that ends each endpoint which runs it, again and again under new keys, beside
// innocent load.
type crashTrial struct {
	perPool int
	seed    uint64
	// together is how many entries get the content at the same moment the first time.
	together int
	change   func(*reducer.Config)
}

func (trial crashTrial) measure(t *testing.T) crashes {
	cfg := threePools(trial.seed)
	cfg.change = trial.change
	cfg.perPool = trial.perPool
	s := newSystem(t, cfg)
	innocents := s.load(quietRate*float64(trial.perPool-2)/10, 8*time.Second, 2*time.Second)
	s.runFor(2 * time.Second)
	var last *ask
	for i := range trial.together {
		s.send(i, poison, 2*time.Second)
	}
	for i := range 10 {
		last = s.send(i%len(s.entries), poison, 2*time.Second)
		s.runFor(500 * time.Millisecond)
	}
	s.runFor(4 * time.Second)
	c := crashes{losses: s.losses(), code: last.code, took: last.ended.Sub(last.sent)}
	for _, a := range *innocents {
		if !a.answered() {
			c.failed++
		}
	}
	return c
}

// A request ends each endpoint that runs it; its caller sends it again with new keys to other entries.
// The first loss takes innocents along, the tries after it run alone, and after the second loss it is
// answered finally, by all entries. Without that each try costs up to three endpoints.
func TestPolicyCrashingRequest(t *testing.T) {
	t.Parallel()
	tests := []struct {
		testName string
		trial    crashTrial
		losses   float64
	}{
		{"tenEndpoints", crashTrial{perPool: 10, seed: 4}, 2},
		{"threeEndpoints", crashTrial{perPool: 3, seed: 4}, 2},
		// What is sent to four entries before any of them knows may cost four endpoints, and no more.
		{"fourAtOnce", crashTrial{perPool: 10, seed: 6, together: 3}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			t.Parallel()
			ours := tt.trial.measure(t)
			tt.trial.change = withoutQuarantine
			none := tt.trial.measure(t)
			goal, none0 := atMost(2), atMost(0)
			check(t, measurer.Row{
				Case: "crashingRequest." + tt.testName, Measure: "endpointsLost", Ours: float64(ours.losses),
				Baselines: []measurer.Baseline{{Name: "noQuarantine", Value: float64(none.losses)}}, Bound: atMost(tt.losses), Goal: &goal,
			})
			check(t, measurer.Row{
				Case: "crashingRequest." + tt.testName, Measure: "innocentsNotAnswered", Ours: float64(ours.failed),
				Baselines: []measurer.Baseline{{Name: "noQuarantine", Value: float64(none.failed)}}, Bound: atMost(0), Goal: &none0,
			})
			require.Equal(t, reducer.CodeQuarantined, ours.code)
			require.Zero(t, ours.took)
		})
	}
}
