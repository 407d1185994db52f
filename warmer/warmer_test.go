package warmer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	coldPerSecond = 5.9
	entries       = 65
)

// zone simulates an availability zone whose endpoints are all cold, and the entries that send to it.
type zone struct {
	warmers []*Warmer
	// clockOffsets are the errors of the entries' clocks.
	clockOffsets []time.Duration
	arrivals     map[string][]time.Time
	rnd          *rand.Rand
}

func newZone(n int, seed uint64) *zone {
	z := &zone{arrivals: make(map[string][]time.Time), rnd: rand.New(rand.NewPCG(seed, 1))}
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%03d", i)
	}
	for _, name := range names {
		w := New(Config{Self: name, Excess: 1.5, Slack: 5})
		w.SetEntries(names, n)
		z.warmers = append(z.warmers, w)
		z.clockOffsets = append(z.clockOffsets, 0)
	}
	return z
}

// run sends rate requests a second to random entries, each of which sends to any cold endpoint that it may, and returns
// the number of requests sent on.
func (z *zone) run(endpoints, rate int, length time.Duration) (served int) {
	at := time.Unix(1_000_000, 0)
	for end := at.Add(length); at.Before(end); at = at.Add(time.Duration(z.rnd.ExpFloat64() * float64(time.Second) / float64(rate))) {
		i := z.rnd.IntN(len(z.warmers))
		w, now := z.warmers[i], at.Add(z.clockOffsets[i])
		first := z.rnd.IntN(endpoints)
		for k := range endpoints {
			id := fmt.Sprintf("endpoint-%d", (first+k)%endpoints)
			if w.Allows(id, coldPerSecond, now) {
				w.RecordSend(id, coldPerSecond, now)
				z.arrivals[id] = append(z.arrivals[id], at)
				served++
				break
			}
		}
	}
	return served
}

// maxPerSecond returns the largest number of arrivals at any endpoint within one second.
func (z *zone) maxPerSecond() int {
	most := 0
	for _, list := range z.arrivals {
		first := 0
		for i := range list {
			for list[i].Sub(list[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// allowedPerSecond returns the number of calls that a cold endpoint may get in one second.
func (z *zone) allowedPerSecond() int {
	cfg := z.warmers[0].cfg
	return int(coldPerSecond*cfg.Excess + cfg.Slack)
}

// An availability zone returns with twenty cold endpoints during a burst. Every entry sees idle endpoints and would
// send all its queued calls at once, so that the endpoints would crash, restart cold and crash again. Together, the
// entries must stay within the rate that each endpoint accepts, whatever they assume about each other.
func TestAColdZoneIsNotOverrun(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints int
		disturb   func(z *zone)
	}{
		{"no disturbance", 20, func(*zone) {}},
		{"one endpoint", 1, func(*zone) {}},
		{"a third is partitioned off", 20, func(z *zone) { z.partition(0, 22); z.partition(22, entries) }},
		{"a third of the clocks are ahead", 20, func(z *zone) {
			for i := range 22 {
				z.clockOffsets[i] = 2400 * time.Millisecond
			}
		}},
		{"a third are each isolated, one endpoint", 1, func(z *zone) {
			for i := range 22 {
				z.partition(i, i+1)
			}
			z.partition(22, entries)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(20) {
				z := newZone(entries, seed)
				tc.disturb(z)
				served := z.run(tc.endpoints, 300, 10*time.Second)
				require.LessOrEqual(t, z.maxPerSecond(), z.allowedPerSecond())
				if seed == 0 {
					t.Logf("at most %d in one second, %.1f a second at each endpoint", z.maxPerSecond(), float64(served)/10/float64(tc.endpoints))
				}
			}
		})
	}
}

// partition makes a range of entries see only each other.
func (z *zone) partition(from, to int) {
	var names []string
	for _, w := range z.warmers[from:to] {
		names = append(names, w.cfg.Self)
	}
	for _, w := range z.warmers[from:to] {
		w.SetEntries(names, entries)
	}
}

// The endpoints of a service report that they are cold, but the operator has configured no limit: they are only slow.
// If they were skipped, a service whose endpoints are all replaced would refuse everything for seconds.
func TestColdEndpointsWithoutLimitAreNotThrottled(t *testing.T) {
	w := New(Config{Self: "entry", Excess: 1.5, Slack: 5})
	w.SetEntries([]string{"entry"}, 9)
	now := time.Unix(1000, 0)
	for range 20 {
		require.True(t, w.Allows("endpoint", 0, now))
		w.RecordSend("endpoint", 0, now)
	}
	require.False(t, w.Allows("endpoint", coldPerSecond, now))
}

// All endpoints of a small system are cold at once. The rate that they accept must be used, or callers are refused
// needlessly.
func TestColdEndpointsAreUsed(t *testing.T) {
	z := newZone(7, 1)
	served := z.run(9, 100, 10*time.Second)
	t.Logf("%.1f a second at each endpoint, at most %d in one", float64(served)/10/9, z.maxPerSecond())
	require.Greater(t, float64(served)/10/9, coldPerSecond/2)
}
