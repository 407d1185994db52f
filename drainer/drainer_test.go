package drainer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlannedStop(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	type step struct {
		at                       time.Duration
		begin                    bool
		inFlight, pendingResults int
		want                     Phase
		accepts                  bool
		left                     time.Duration
	}
	scenarios := []struct {
		testName string
		steps    []step
	}{
		{"no stop requested", []step{
			{at: time.Hour, want: Serving, accepts: true},
		}},
		// A caller received the address just before the stop and uses it up to 32 s later; its stream lasts another
		// minute.
		{"caller with an old answer is served completely", []step{
			{at: 0, begin: true, inFlight: 0, want: Withdrawing, accepts: true, left: 32 * time.Second},
			{at: 31 * time.Second, inFlight: 1, want: Withdrawing, accepts: true, left: time.Second},
			{at: 32 * time.Second, inFlight: 1, want: Draining},
			{at: 90 * time.Second, inFlight: 1, pendingResults: 1, want: Draining},
			{at: 91 * time.Second, pendingResults: 1, want: HandingOver},
			{at: 92 * time.Second, want: Done},
		}},
		// The operator signals a second time. If that shortened the stop, callers with an older answer would be
		// interrupted.
		{"second signal changes nothing", []step{
			{at: 0, begin: true, want: Withdrawing, accepts: true, left: 32 * time.Second},
			{at: 10 * time.Second, begin: true, want: Withdrawing, accepts: true, left: 22 * time.Second},
			{at: 32 * time.Second, begin: true, want: Done},
			{at: 33 * time.Second, begin: true, want: Done},
		}},
		// A poll for an outcome arrives during the handover: the entry answers it before it exits.
		{"request while handing over", []step{
			{at: 0, begin: true, want: Withdrawing, accepts: true, left: 32 * time.Second},
			{at: 32 * time.Second, pendingResults: 2, want: HandingOver},
			{at: 33 * time.Second, inFlight: 1, want: HandingOver},
			{at: 34 * time.Second, want: Done},
		}},
		// No peer accepts the results, for example because all are dead. The entry waits for HandoverTimeout and then
		// exits.
		{"no peer accepts the results", []step{
			{at: 0, begin: true, want: Withdrawing, accepts: true, left: 32 * time.Second},
			{at: 40 * time.Second, pendingResults: 2, want: HandingOver},
			{at: 49 * time.Second, pendingResults: 2, want: HandingOver},
			{at: 50 * time.Second, pendingResults: 2, want: Done},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := New(Config{AddressTTL: 30 * time.Second, Grace: 2 * time.Second, HandoverTimeout: 10 * time.Second})
			for _, x := range s.steps {
				now := start.Add(x.at)
				if x.begin {
					d.Begin(now)
				}
				require.Equal(t, x.want, d.Step(x.inFlight, x.pendingResults, now), "at %v", x.at)
				require.Equal(t, x.want, d.Phase())
				require.Equal(t, x.accepts, d.AcceptsWork(now), "at %v", x.at)
				require.Equal(t, x.left, d.AcceptTimeLeft(now), "at %v", x.at)
			}
		})
	}
}
