package presenter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"geraniumline/operatorserver"
)

var at = time.Unix(1_800_000_000, 0)

// surgeStatus returns the status of a system under a load surge while one availability zone has failures.
func surgeStatus() operatorserver.Status {
	status := operatorserver.Status{
		Entry: "entry-1", Zone: "zone-a", Phase: "serving", Ready: true,
		ConfigOffset: 412, ClaimsOffset: 90210,
		Alarms: []string{"the log has not answered for 4.2 s", `peer "<script>alert(1)</script>" refused`},
	}
	states := []string{"live", "live", "suspect", "live", "live", "dead", "stopping"}
	for i, state := range states {
		status.Entries = append(status.Entries, operatorserver.EntryStatus{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: fmt.Sprintf("zone-%c", 'a'+i%3), State: state,
			CallerAddress: fmt.Sprintf("10.0.0.%d:8001", i+1), ConfigOffset: int64(412 - i/5*3),
			InFlight: 7 * i, SilentMillis: int64(i * i * 150),
		})
	}
	for i := range 12 {
		state := operatorserver.EndpointStatusStateLive
		switch i {
		case 3:
			state = operatorserver.EndpointStatusStateEjected
		case 8:
			state = operatorserver.EndpointStatusStateLeaving
		}
		status.Endpoints = append(status.Endpoints, operatorserver.EndpointStatus{
			Address: fmt.Sprintf("10.1.0.%d:9000", i+1), Pool: []string{"engine", "encoder", "reranker"}[i%3],
			Zone: fmt.Sprintf("zone-%c", 'a'+i%3), State: state, InFlight: i, Queued: i / 2,
		})
	}
	status.Endpoints[0].Assignment.SetTo("writer@3")
	status.Endpoints[3].Assignment.SetTo("<b>chat</b>@1 loading")
	status.Orderers = []operatorserver.OrdererStatus{{Pool: "engine", Entry: "entry-2"}}
	status.Accounts = []operatorserver.AccountStatus{
		{Account: "ward-offices", Share: 0.5, RatePerSecond: 120, InFlight: 40, Sent: 10000, Answered: 9990, InTime: 9950, NotRun: 9, Unknown: 1, Attainment: 0.995,
			Stages: []operatorserver.StageCost{{Stage: "encode", Cost: 1200.4}, {Stage: "generate", Cost: 88000, Wasted: 310.25}}},
		{Account: "school-heads", Share: 0.05, RatePerSecond: 8.5, InFlight: 1, Sent: 100, Answered: 95, InTime: 93, NotRun: 5, Attainment: 0.93},
		{Account: "\x1b[31mclub", Share: 0.45, RatePerSecond: 60, Sent: 10, Answered: 5, InTime: 5, NotRun: 5, Attainment: 0.5},
	}
	return status
}

// childSpan returns a span of the test's trace.
func childSpan(name, id, parent string, start, duration int64, attributes map[string]string) operatorserver.Span {
	s := operatorserver.Span{Name: name, SpanId: id, StartMicros: start, DurationMicros: duration}
	s.ParentId.SetTo(parent)
	s.Attributes.SetTo(attributes)
	return s
}

func TestViews(t *testing.T) {
	page, err := Page(surgeStatus(), at)
	require.NoError(t, err)
	emptyPage, err := Page(operatorserver.Status{Entry: "entry-9", Zone: "zone-c", Phase: "serving"}, at)
	require.NoError(t, err)
	history := operatorserver.ConfigHistory{Changes: []operatorserver.ConfigVerdict{
		{Verdict: operatorserver.ConfigVerdictVerdictAccepted, Kind: "contract", Name: "kilima", Version: 3,
			AtMillis: operatorserver.NewOptInt64(at.UnixMilli()), Operator: operatorserver.NewOptString("asha")},
		{Verdict: operatorserver.ConfigVerdictVerdictConflict, Kind: "contract", Name: "kilima", Version: 3,
			Message: operatorserver.NewOptString("version 3 is in force, not 2")},
	}}
	trace := operatorserver.Trace{TraceId: "4bf92f", Spans: []operatorserver.Span{
		childSpan("stage encode", "b", "a", 1200, 3000, map[string]string{"endpoint": "10.1.0.2:9000", "geraniumline.request.id": "k"}),
		childSpan("request digest", "a", "caller", 1000, 40000, nil),
		childSpan("attempt 1", "c", "b", 1300, 2500, map[string]string{"outcome": "answered"}),
		childSpan("round", "x", "y", 1300, 1, nil),
		childSpan("about", "y", "x", 1300, 1, nil),
	}}
	scenarios := []struct {
		testName string
		text     string
		excluded string // appears only if a hostile name is not escaped
	}{
		{"page", string(page), "<script"},
		{"page-empty", string(emptyPage), "<script"},
		{"status", StatusText(surgeStatus(), false), "\x1b"},
		{"status-coloured", StatusText(surgeStatus(), true), "\x1b[31mclub"},
		{"status-empty", StatusText(operatorserver.Status{Entry: "entry-9"}, true), "\x1b[31mclub"},
		{"history", HistoryText(history, false), "\x1b"},
		{"trace", TraceText(trace), "\x1b"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			goldie.New(t).Assert(t, s.testName, []byte(s.text))
			require.NotContains(t, s.text, s.excluded)
		})
	}
}

// The design size is 10,000 endpoints and 43,000 client accounts. The page lists those with problems and counts the
// rest, so that a phone can still show it.
func TestLargeSystemsAreTruncated(t *testing.T) {
	status := operatorserver.Status{Entry: "entry-1"}
	for i := range 10_000 {
		status.Endpoints = append(status.Endpoints, operatorserver.EndpointStatus{Address: fmt.Sprint(i), Pool: "engine", State: operatorserver.EndpointStatusStateLive})
	}
	status.Endpoints[7777].State = operatorserver.EndpointStatusStateEjected
	for i := range 43_000 {
		status.Accounts = append(status.Accounts, operatorserver.AccountStatus{Account: fmt.Sprint(i), Attainment: 1})
	}
	status.Accounts[40_000].Attainment = 0.2
	page, err := Page(status, at)
	require.NoError(t, err)
	require.Less(t, len(page), 256<<10)
	require.Contains(t, string(page), "And 42800 more")
	require.Contains(t, string(page), "And 9800 more")
	require.Contains(t, string(page), "<td>7777</td>")
	require.Contains(t, string(page), "<td>40000</td>")
}

func TestHandler(t *testing.T) {
	var failure error
	handler := Handler(func(context.Context) (operatorserver.Status, error) { return surgeStatus(), failure }, func() time.Time { return at })
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, 200, w.Code)
	require.Contains(t, w.Header().Get("Content-Security-Policy"), "default-src 'none'")

	failure = errors.New("the reducer is overloaded")
	w = httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, 503, w.Code)
	require.NotContains(t, w.Body.String(), "reducer")
}
