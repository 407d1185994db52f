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

// measureCrashes sends content that ends each endpoint which runs it, again and again under new keys to
// one entry after the other, beside innocent load.
func measureCrashes(t *testing.T, seed uint64, change func(*reducer.Config)) crashes {
	cfg := threePools(seed)
	cfg.change = change
	s := newSystem(t, cfg)
	innocents := s.load(quietRate, 8*time.Second, 2*time.Second)
	s.runFor(2 * time.Second)
	var last *ask
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
	ours := measureCrashes(t, 4, nil)
	none := measureCrashes(t, 4, withoutQuarantine)
	goal := atMost(2)
	check(t, measurer.Row{
		Case: "crashingRequest", Measure: "endpointsLost", Ours: float64(ours.losses),
		Baselines: []measurer.Baseline{{Name: "noQuarantine", Value: float64(none.losses)}}, Bound: atMost(2), Goal: &goal,
	})
	goalInnocents := atMost(0)
	check(t, measurer.Row{
		Case: "crashingRequest", Measure: "innocentsNotAnswered", Ours: float64(ours.failed),
		Baselines: []measurer.Baseline{{Name: "noQuarantine", Value: float64(none.failed)}}, Bound: atMost(0), Goal: &goalInnocents,
	})
	require.Equal(t, reducer.CodeQuarantined, ours.code)
	require.Less(t, ours.took, time.Millisecond)
}
