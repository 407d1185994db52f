package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sound is a record in which every promise holds.
func sound() *Record {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	return &Record{
		Attempts: []Attempt{
			{ID: "a", AtMostOnce: true, Sent: at(0), Ended: at(10), Status: http.StatusOK, Body: "x", ExpectedBody: "x", Stamp: "s"},
			{ID: "b", AtMostOnce: true, Sent: at(20), Ended: at(30), Status: http.StatusServiceUnavailable},
			{ID: "c", Sent: at(40), Ended: at(50), Status: http.StatusOK, Body: "y", ExpectedBody: "y", Stamp: "s"},
			{ID: "d", Sent: at(60), Ended: at(70)},
			{ID: "e", Sent: at(80), Ended: at(90), Status: http.StatusOK, Body: "z", ExpectedBody: "z", Stamp: "s", Phase: phaseSettled},
		},
		Executions: []Execution{
			{Attempt: "a", Version: 1}, {Attempt: "c", Version: 1}, {Attempt: "c", Version: 2}, {Attempt: "e", Version: 2},
		},
		NewestVersion: 2,
	}
}

// Each planted fault must be found, or the check guards nothing.
func TestPlantedFaultsAreFound(t *testing.T) {
	require.Empty(t, Check(sound()))
	for name, tc := range map[string]struct {
		plant func(r *Record)
		want  string
	}{
		"another's answer":    {func(r *Record) { r.Attempts[0].Body = "y" }, promiseWhole},
		"half an answer":      {func(r *Record) { r.Attempts[2].Body = "" }, promiseWhole},
		"an answer of no run": {func(r *Record) { r.Executions = r.Executions[1:] }, promiseWhole},
		"no stamp":            {func(r *Record) { r.Attempts[2].Stamp = "" }, promiseWhole},
		"run twice":           {func(r *Record) { r.Executions = append(r.Executions, Execution{Attempt: "a", Version: 2}) }, promiseOnce},
		"not run, but it ran": {func(r *Record) { r.Executions = append(r.Executions, Execution{Attempt: "b", Version: 2}) }, promiseTruth},
		"nobody's request":    {func(r *Record) { r.Executions = append(r.Executions, Execution{Attempt: "f"}) }, promiseOwn},
		"an older version":    {func(r *Record) { r.Executions[0].Version = 3 }, promiseForward},
		"late configuration":  {func(r *Record) { r.NewestVersion = 3 }, promiseCurrent},
		"late for its time": {func(r *Record) {
			r.NewestVersion, r.Attempts[4].Phase = 3, phaseConfigured
		}, promiseCurrent},
		"refused after faults": {func(r *Record) { r.Attempts[4].Status = http.StatusServiceUnavailable }, promiseRecovery},
		"an evacuated zone": {func(r *Record) {
			r.Evacuations = []Span{{From: time.Second, To: 2 * time.Second}}
			r.Executions[0].InEvacuatedZone, r.Executions[0].ReceivedAt = true, 1500*time.Millisecond
		}, promiseZone},
		"over its limit": {func(r *Record) {
			e := EndpointRecord{ID: "x", Limits: []Limit{{At: 0, PerSecond: 1}}}
			for i := range 12 {
				e.Arrivals = append(e.Arrivals, EndpointArrival{At: limitContact + time.Duration(i)*100*time.Millisecond, Attempt: "a", Limited: true})
			}
			e.Arrivals = append([]EndpointArrival{{At: 0, Attempt: "a", Limited: true}}, e.Arrivals...)
			r.Endpoints = []EndpointRecord{e}
		}, promiseLimit},
		"after its leave": {func(r *Record) {
			r.Attempts[2].Sent = 3 * time.Second
			r.Endpoints = []EndpointRecord{{Arrivals: []EndpointArrival{{Attempt: "a", Leaving: true}, {At: 3 * time.Second, Attempt: "c", Leaving: true}}}}
		}, promiseDrain},
		"in its rest": {func(r *Record) {
			e := EndpointRecord{Arrivals: []EndpointArrival{{Attempt: "a", RetryAfter: 3 * time.Second}}}
			for i := range 3 {
				e.Arrivals = append(e.Arrivals, EndpointArrival{At: time.Duration(i+1) * time.Second, Attempt: "c"})
			}
			r.Endpoints = []EndpointRecord{e}
		}, promiseRest},
		"a stop without end": {func(r *Record) { r.ProcessErrors = []string{"entry-0"} }, promiseStop},
	} {
		t.Run(name, func(t *testing.T) {
			r := sound()
			tc.plant(r)
			found := Check(r)
			require.NotEmpty(t, found)
			require.Equal(t, tc.want, found[0].Promise)
		})
	}
}

func TestAPlanFollowsFromItsSeed(t *testing.T) {
	cfg := PlanConfig{Seed: 7, Entries: 3, Endpoints: 8, Length: time.Minute}
	plan := NewPlan(cfg)
	require.Equal(t, plan, NewPlan(cfg))
	require.Greater(t, len(plan.Steps), 20)
	cfg.Seed = 8
	require.NotEqual(t, plan, NewPlan(cfg))
}
