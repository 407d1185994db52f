package ejector_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/ejector"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recordAll records the same outcome for each endpoint in turn, the given number of times.
func recordAll(p *ejector.Pool, records []*ejector.Record, outcome ejector.Outcome, times int, now time.Time) {
	for range times {
		for _, r := range records {
			p.RecordOutcome(r, outcome, false, now)
		}
	}
}

func newPool(n int) (*ejector.Pool, []*ejector.Record) {
	p := ejector.NewPool(ejector.Config{})
	records := make([]*ejector.Record, n)
	for i := range records {
		records[i] = &ejector.Record{}
		p.Add()
	}
	recordAll(&p, records, ejector.Good, 20, start)
	return &p, records
}

// Endpoints are ejected by comparison with each other. If all become bad, the cause is not a single endpoint, and at
// most a third may be ejected. An endpoint that refuses connections is always ejected, since it answers nothing.
func TestEjection(t *testing.T) {
	tests := []struct {
		testName string
		bad      int
		outcome  ejector.Outcome
		times    int
		out      int
	}{
		{"one bad outcome", 1, ejector.Bad, 1, 0},
		{"one endpoint bad", 1, ejector.Bad, 3, 1},
		{"four turn bad, more than may be ejected", 4, ejector.Bad, 50, 3},
		{"all bad", 10, ejector.Bad, 50, 1},
		{"one down", 1, ejector.Down, 1, 1},
		{"all down", 10, ejector.Down, 1, 10},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			p, records := newPool(10)
			recordAll(p, records[:tt.bad], tt.outcome, tt.times, start)
			require.Equal(t, tt.out, p.OutCount())
		})
	}
}

// An ejected endpoint is probed with one call when its ejection ends. Each failed probe doubles the duration, and a
// successful one returns the endpoint to use.
func TestProbes(t *testing.T) {
	p, records := newPool(10)
	r := records[0]
	recordAll(p, records[:1], ejector.Bad, 3, start)
	now := start
	for _, seconds := range []int{1, 2, 4, 8, 16, 16} {
		require.Equal(t, ejector.Ejected, r.State())
		require.Equal(t, time.Duration(seconds)*time.Second, r.Until().Sub(now))
		require.False(t, p.StartDueProbe(r, r.Until().Add(-1)))
		now = r.Until()
		require.True(t, p.StartDueProbe(r, now))
		p.RecordOutcome(r, ejector.Bad, false, now)
	}
	now = r.Until()
	p.StartDueProbe(r, now)
	p.RecordOutcome(r, ejector.Good, false, now)
	require.Equal(t, ejector.InUse, r.State())
	require.Zero(t, p.OutCount())
}

// An endpoint that refused a connection stays out for longer than one that served badly.
func TestDownEjection(t *testing.T) {
	p := ejector.NewPool(ejector.Config{DownEjection: 3 * time.Second})
	records := []*ejector.Record{{}, {}}
	p.Add()
	p.Add()
	recordAll(&p, records[:1], ejector.Down, 1, start)
	require.Equal(t, start.Add(3*time.Second), records[0].Until())
	recordAll(&p, records[1:], ejector.Good, 10, start)
	recordAll(&p, records[1:], ejector.Bad, 3, start)
	require.Equal(t, ejector.InUse, records[1].State(), "it is the last one in use")
}

// The calls of a slow endpoint count as bad compared with the pool's own median, whatever the expected duration of the
// stage.
func TestRecordDurationComparesWithPoolMedian(t *testing.T) {
	p, records := newPool(10)
	const expected = 10 * time.Millisecond
	for range 20 {
		for _, r := range records {
			require.Equal(t, ejector.Good, p.RecordDuration(r, 80*time.Millisecond, expected))
		}
	}
	require.Equal(t, ejector.Good, p.RecordDuration(records[0], 200*time.Millisecond, expected))
	require.Equal(t, ejector.Bad, p.RecordDuration(records[0], 800*time.Millisecond, expected))
	require.Greater(t, records[0].Slowness(), 1.5)
}
