package collector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/ejector"
)

// Guards against refusing all callers because the only endpoint that has not asked for a rest is ejected: it was slow, as
// any endpoint of the pool would have been, and is the only one that the pool can compare with its past.
func TestTheOnlyEndpointThatDoesNotRestIsUsedThoughEjected(t *testing.T) {
	w := newSimulation(defaultStage(), 2)
	gate := newStubGate()
	w.pool.cfg.Gate = gate
	resting, slow := w.pool.endpoints[0], w.pool.endpoints[1]
	gate.until[resting.ID] = start.Add(time.Minute)
	for range 2 {
		// A probe that is slow, too.
		for slow.health.State() == ejector.InUse {
			w.pool.recordHealth(slow, ejector.Bad, Broken, w.now)
		}
		w.now = slow.health.Until()
		w.pool.health.StartDueProbe(&slow.health, w.now)
		w.pool.recordHealth(slow, ejector.Bad, Broken, w.now)
	}
	require.Greater(t, slow.health.Until().Sub(w.now), time.Second)
	elapsed := w.now.Sub(start)
	id := w.arrive(elapsed, "request", 2, func(g *Group) { g.Due, g.Deadline = w.now.Add(time.Second), w.now.Add(time.Second) })
	w.run(elapsed + time.Second)
	require.Equal(t, 2, w.resultCount(id))
}

// Guards against early probes of an endpoint that no process serves, and of one beside an endpoint in use.
func TestNoEarlyProbe(t *testing.T) {
	for name, tc := range map[string]struct {
		outcome  ejector.Outcome
		resting  bool
		expected int
	}{
		"refuses connections":        {ejector.Down, true, 0},
		"another endpoint is in use": {ejector.Bad, false, 0},
		"serves badly":               {ejector.Bad, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(defaultStage(), 2)
			gate := newStubGate()
			w.pool.cfg.Gate = gate
			other, ejected := w.pool.endpoints[0], w.pool.endpoints[1]
			for ejected.health.State() == ejector.InUse {
				w.pool.recordHealth(ejected, tc.outcome, Broken, w.now)
			}
			if tc.resting {
				gate.until[other.ID] = start.Add(time.Minute)
			}
			require.Len(t, w.pool.probeEarly(w.now.Add(500*time.Millisecond)), tc.expected)
		})
	}
}
