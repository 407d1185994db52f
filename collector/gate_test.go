package collector

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/ejector"
)

// stubGate is a Gate that pauses endpoints until a given time or limits their calls per second.
type stubGate struct {
	until  map[string]time.Time
	limits map[string]float64
}

func (g *stubGate) SoleNextSendTime(endpoint string, _ time.Time) time.Time { return g.until[endpoint] }

func (g *stubGate) Limit(endpoint string) (float64, bool) {
	perSecond, limited := g.limits[endpoint]
	return perSecond, limited
}

func (g *stubGate) RecordSoleSend(endpoint string, now time.Time) {
	if perSecond, limited := g.limits[endpoint]; limited {
		g.until[endpoint] = now.Add(time.Duration(float64(time.Second) / perSecond))
	}
}

func newStubGate() *stubGate {
	return &stubGate{until: make(map[string]time.Time), limits: make(map[string]float64)}
}

// Guards against pieces that wait until their deadline for endpoints that have requested a longer pause.
func TestPiecesFailAtOnceIfThrottledBeyondTheirDeadline(t *testing.T) {
	w := newSimulation(defaultStage(), 2)
	gate := newStubGate()
	w.pool.cfg.Gate = gate
	for _, e := range w.pool.endpoints {
		gate.until[e.ID] = start.Add(3 * time.Second)
	}
	tooEarly := w.arrive(0, "hopeless", 2, func(g *Group) { g.Deadline = start.Add(2 * time.Second) })
	inTime := w.arrive(0, "patient", 2, func(g *Group) { g.Due, g.Deadline = start.Add(5*time.Second), start.Add(5*time.Second) })
	w.run(100 * time.Millisecond)
	require.Equal(t, []Reason{Throttled, Throttled}, w.reasons(tooEarly))
	require.Equal(t, 2900*time.Millisecond, w.pool.PredictedWait(w.now).Round(50*time.Millisecond))
	require.Empty(t, w.calls)
	w.run(4 * time.Second)
	require.Equal(t, 2, w.resultCount(inTime))
}

// Guards against failing pieces, and refusing callers, because one of several endpoints is paused.
func TestAPoolWithAFreeEndpointIsNotThrottled(t *testing.T) {
	for paused := range 3 {
		w := newSimulation(defaultStage(), 3)
		gate := newStubGate()
		w.pool.cfg.Gate = gate
		gate.until[w.pool.endpoints[paused].ID] = start.Add(time.Hour)
		id := w.arrive(0, "request", 2, func(g *Group) { g.Deadline = start.Add(2 * time.Second) })
		w.run(10 * time.Millisecond)
		require.LessOrEqual(t, w.pool.PredictedWait(w.now), time.Duration(0))
		w.run(time.Second)
		require.Equal(t, 2, w.resultCount(id))
	}
}

// Guards against refusing callers for the length of one endpoint's pause although another endpoint is used again within a
// second: it was ejected for calls that took long.
func TestAPoolIsNotThrottledBeyondAnEjection(t *testing.T) {
	w := newSimulation(defaultStage(), 2)
	gate := newStubGate()
	w.pool.cfg.Gate = gate
	paused, slow := w.pool.endpoints[0], w.pool.endpoints[1]
	gate.until[paused.ID] = start.Add(time.Minute)
	for slow.health.State() == ejector.InUse {
		w.pool.recordHealth(slow, ejector.Bad, Broken, w.now)
	}
	id := w.arrive(0, "request", 2, func(g *Group) { g.Due, g.Deadline = start.Add(4*time.Second), start.Add(4*time.Second) })
	w.run(10 * time.Millisecond)
	require.LessOrEqual(t, w.pool.PredictedWait(w.now), time.Second)
	w.run(3 * time.Second)
	require.Equal(t, 2, w.resultCount(id))
}

// Guards against exceeding an endpoint's rate limit, and against keeping pieces that the endpoint cannot process in time.
func TestEndpointRateLimitsAreRespected(t *testing.T) {
	w := newSimulation(defaultStage(), 1)
	gate := newStubGate()
	w.pool.cfg.Gate = gate
	gate.limits[w.pool.endpoints[0].ID] = 1
	var last GroupID
	for i := range 10 {
		last = w.arrive(0, fmt.Sprint(i), 8, func(g *Group) { g.Due, g.Deadline = start.Add(4*time.Second), start.Add(4*time.Second) })
	}
	w.run(100 * time.Millisecond)
	require.Equal(t, Overload, w.reasons(last)[0], "ten calls at one per second take ten seconds")
	w.run(4 * time.Second)
	require.LessOrEqual(t, len(w.calls), 4)
	require.GreaterOrEqual(t, len(w.calls), 3)
}
