package drainer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSchedule(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	cfg := ScheduleConfig{AddressTTL: time.Second, MaxAddressAge: 3 * time.Second, QuietTime: 400 * time.Millisecond, StopTime: 8 * time.Second}
	short := cfg
	short.StopTime = 2 * time.Second
	type step struct {
		at       time.Duration
		inFlight int
		// last is when the last request arrived.
		last time.Duration
		want Phase
	}
	for _, tc := range []struct {
		testName string
		cfg      ScheduleConfig
		steps    []step
	}{
		{"no callers", cfg, []step{
			{at: 0, last: -time.Second, want: Withdrawing},
			{at: 1399 * time.Millisecond, last: -time.Second, want: Withdrawing},
			{at: 1400 * time.Millisecond, last: -time.Second, want: Draining},
			{at: 1400 * time.Millisecond, last: -time.Second, want: Done},
		}},
		{"callers with cached addresses until the last of them expire", cfg, []step{
			{at: 0, want: Withdrawing},
			{at: 1500 * time.Millisecond, last: 1200 * time.Millisecond, want: Withdrawing},
			{at: 2999 * time.Millisecond, last: 2900 * time.Millisecond, want: Withdrawing},
			{at: 3 * time.Second, last: 2900 * time.Millisecond, want: Draining},
			{at: 3 * time.Second, last: 2900 * time.Millisecond, want: Done},
		}},
		{"request that arrives as new ones are refused", cfg, []step{
			{at: 0, want: Withdrawing},
			{at: 2 * time.Second, last: 0, want: Draining},
			{at: 2 * time.Second, inFlight: 1, last: 2 * time.Second, want: Draining},
			{at: 2100 * time.Millisecond, last: 2 * time.Second, want: Done},
		}},
		{"long requests are given up in time", cfg, []step{
			{at: 0, inFlight: 2, want: Withdrawing},
			{at: 3 * time.Second, inFlight: 2, want: Draining},
			{at: 7099 * time.Millisecond, inFlight: 2, want: Draining},
			{at: 7100 * time.Millisecond, inFlight: 2, want: Ending},
			{at: 7150 * time.Millisecond, inFlight: 1, want: Ending},
			{at: 7200 * time.Millisecond, want: Done},
		}},
		{"request that can't be given up", cfg, []step{
			{at: 0, inFlight: 1, want: Withdrawing},
			{at: 3 * time.Second, inFlight: 1, want: Draining},
			{at: 7100 * time.Millisecond, inFlight: 1, want: Ending},
			{at: 7549 * time.Millisecond, inFlight: 1, want: Ending},
			{at: 7550 * time.Millisecond, inFlight: 1, want: Done},
		}},
		{"short stop time leaves time to serve and to answer", short, []step{
			{at: 0, inFlight: 1, want: Withdrawing},
			{at: 749 * time.Millisecond, inFlight: 1, want: Withdrawing},
			{at: 750 * time.Millisecond, inFlight: 1, want: Draining},
			{at: 1500 * time.Millisecond, inFlight: 1, want: Ending},
			{at: 1750 * time.Millisecond, inFlight: 1, want: Done},
		}},
	} {
		t.Run(tc.testName, func(t *testing.T) {
			s := NewSchedule(tc.cfg, start)
			phase := Serving
			for _, x := range tc.steps {
				phase = s.Next(phase, Load{InFlight: x.inFlight, LastRequest: start.Add(x.last)}, start.Add(x.at))
				require.Equal(t, x.want, phase, "at %v", x.at)
			}
		})
	}
}
