package soaker

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// validRecord returns a record in which every promise holds.
func validRecord() *Record {
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

// TestPlantedFaultsAreFound guards against a check that never fails: each violation injected into a valid record must be
// reported.
func TestPlantedFaultsAreFound(t *testing.T) {
	require.Empty(t, Check(validRecord()))
	for name, tc := range map[string]struct {
		inject func(r *Record)
		want   string
	}{
		"answer of another request":   {func(r *Record) { r.Attempts[0].Body = "y" }, promiseWhole},
		"incomplete answer":           {func(r *Record) { r.Attempts[2].Body = "" }, promiseWhole},
		"answer without an execution": {func(r *Record) { r.Executions = r.Executions[1:] }, promiseWhole},
		"stream of two versions": {func(r *Record) {
			r.Attempts[3].Received = "id: 1\ndata: event 1 of a\n\nid: 2\ndata: event 2 of b.\n\n"
			r.Attempts[3].ExpectedBody = expectedStream(r.Attempts[3].Received, "a", "b")
		}, promiseWhole},
		"stream with events of another attempt": {func(r *Record) {
			r.Attempts[3].Received = "id: 1\ndata: event 1 of a.\n\nid: 2\ndata: event 2 of c.\n\n"
			r.Attempts[3].ExpectedBody = expectedStream(r.Attempts[3].Received, "a", "b")
		}, promiseWhole},
		"missing stamp":                       {func(r *Record) { r.Attempts[2].Stamp = "" }, promiseWhole},
		"executed twice":                      {func(r *Record) { r.Executions = append(r.Executions, Execution{Attempt: "a", Version: 2}) }, promiseOnce},
		"reported as not run but executed":    {func(r *Record) { r.Executions = append(r.Executions, Execution{Attempt: "b", Version: 2}) }, promiseTruth},
		"request of no caller":                {func(r *Record) { r.Executions = append(r.Executions, Execution{Attempt: "f"}) }, promiseOwn},
		"older configuration version":         {func(r *Record) { r.Executions[0].Version = 3 }, promiseForward},
		"outdated configuration when settled": {func(r *Record) { r.NewestVersion = 3 }, promiseCurrent},
		"outdated configuration after the last change": {func(r *Record) {
			r.NewestVersion, r.Attempts[4].Phase = 3, phaseConfigured
		}, promiseCurrent},
		"refused after the last fault": {func(r *Record) { r.Attempts[4].Status = http.StatusServiceUnavailable }, promiseRecovery},
		"request to an evacuated zone": {func(r *Record) {
			r.Evacuations = []Span{{From: time.Second, To: 2 * time.Second}}
			r.Executions[0].InEvacuatedZone, r.Executions[0].ReceivedAt = true, 1500*time.Millisecond
		}, promiseZone},
		"endpoint limit exceeded": {func(r *Record) {
			e := EndpointRecord{ID: "x", Limits: []Limit{{At: 0, PerSecond: 1}}}
			for i := range 12 {
				e.Arrivals = append(e.Arrivals, EndpointArrival{At: limitSettleTime + time.Duration(i)*100*time.Millisecond, Attempt: "a", Limited: true})
			}
			e.Arrivals = append([]EndpointArrival{{At: 0, Attempt: "a", Limited: true}}, e.Arrivals...)
			r.Endpoints = []EndpointRecord{e}
		}, promiseLimit},
		"request to a leaving endpoint": {func(r *Record) {
			r.Attempts[2].Sent = 3 * time.Second
			r.Endpoints = []EndpointRecord{{Arrivals: []EndpointArrival{{Attempt: "a", Leaving: true}, {At: 3 * time.Second, Attempt: "c", Leaving: true}}}}
		}, promiseDrain},
		"requests before the retry delay has passed": {func(r *Record) {
			e := EndpointRecord{Arrivals: []EndpointArrival{{Attempt: "a", RetryAfter: 3 * time.Second}}}
			for i := range 3 {
				e.Arrivals = append(e.Arrivals, EndpointArrival{At: time.Duration(i+1) * time.Second, Attempt: "c"})
			}
			r.Endpoints = []EndpointRecord{e}
		}, promiseRest},
		"planned stop timed out": {func(r *Record) { r.ProcessErrors = []string{"entry-0"} }, promiseStop},
	} {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			tc.inject(r)
			violations := Check(r)
			require.NotEmpty(t, violations)
			require.Equal(t, tc.want, violations[0].Promise)
		})
	}
}

// TestPlanIsReproducible checks that a seed always yields the same plan, and another seed another one.
func TestPlanIsReproducible(t *testing.T) {
	cfg := PlanConfig{Seed: 7, Entries: 3, Endpoints: 8, Length: time.Minute}
	plan := NewPlan(cfg)
	require.Equal(t, plan, NewPlan(cfg))
	require.Greater(t, len(plan.Steps), 20)
	cfg.Seed = 8
	require.NotEqual(t, plan, NewPlan(cfg))
}

func TestExpectedStreamAllowsTheCallersOwnAttempts(t *testing.T) {
	received := "id: 1\ndata: event 1 of a.\n\nid: 2\ndata: event 2 of b.\n\n"
	require.Equal(t, received+"id: 3\ndata: event 3 of b.\n\nid: 4\ndata: event 4 of b.\n\nid: 5\ndata: event 5 of b.\n\n",
		expectedStream(received, "a", "b"))
}
