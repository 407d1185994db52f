package tracer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var start = time.Unix(1000, 0)

func newTracer(t *testing.T, cfg Config) *Tracer {
	t.Helper()
	tr, err := New(cfg)
	require.NoError(t, err)
	return tr
}

func TestSpansContinueTheCallersTrace(t *testing.T) {
	const (
		traceID = "4bf92f3577b34da6a3ce929d0e0e4736"
		parent  = "00f067aa0ba902b7"
	)
	tr := newTracer(t, Config{MaxTraces: 4})
	root := tr.Start("00-"+traceID+"-"+parent+"-00", "request", "r-1", start)
	child := root.Child("stage", start.Add(time.Millisecond))
	child.Set("attempt", "1")
	child.End(start.Add(3 * time.Millisecond))
	root.End(start.Add(4 * time.Millisecond))

	require.Equal(t, traceID, root.TraceID())
	require.Contains(t, child.Traceparent(), "00-"+traceID+"-")
	for _, id := range []string{traceID, "r-1"} {
		found, ok := tr.Find(id)
		require.True(t, ok)
		require.Len(t, found.Spans, 2)
		require.Equal(t, "request", found.Spans[0].Name)
		require.Equal(t, parent, found.Spans[0].ParentID)
		require.Equal(t, found.Spans[0].SpanID, found.Spans[1].ParentID)
		require.Equal(t, 2*time.Millisecond, found.Spans[1].Duration)
		require.Equal(t, "1", found.Spans[1].Attributes["attempt"])
	}
}

func TestMalformedTraceparentStartsNewTrace(t *testing.T) {
	tr := newTracer(t, Config{MaxTraces: 4})
	for i, header := range []string{"", "junk", "00-00000000000000000000000000000000-0000000000000000-01"} {
		id := fmt.Sprintf("r-%d", i)
		span := tr.Start(header, "request", id, start)
		span.End(start)
		found, ok := tr.Find(id)
		require.True(t, ok)
		require.Empty(t, found.Spans[0].ParentID)
	}
}

func TestNilTracerDoesNothing(t *testing.T) {
	var tr *Tracer
	span := tr.Start("", "request", "r-1", start).Child("stage", start)
	span.Set("a", "b")
	span.End(start)
	require.Empty(t, span.Traceparent())
	require.Empty(t, span.TraceID())
	_, ok := tr.Find("r-1")
	require.False(t, ok)
	require.NoError(t, tr.Close(context.Background()))
}

// One caller sends every request under the same traceparent, and others start more traces than are kept. Memory must
// stay bounded: excess spans are counted, and the oldest trace is evicted together with its request ids.
func TestKeptTracesAreBounded(t *testing.T) {
	const header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	tr := newTracer(t, Config{MaxTraces: 3})
	for i := range 1000 {
		tr.Start(header, "request", fmt.Sprintf("same-%d", i), start).End(start)
	}
	found, ok := tr.Find("same-0")
	require.True(t, ok)
	require.Len(t, found.Spans, maxSpans)
	require.Equal(t, 1000-maxSpans, found.Dropped)

	for i := range 10 {
		tr.Start("", "request", fmt.Sprintf("r-%d", i), start).End(start)
	}
	_, ok = tr.Find("same-0")
	require.False(t, ok)
	_, ok = tr.Find("r-9")
	require.True(t, ok)
	require.Len(t, tr.store.traces, 3)
	require.Len(t, tr.store.traceIDs, 3)
}

// blockingExporter blocks every export until release returns an error or nil, then fails or accepts it.
type blockingExporter struct {
	release  chan error
	mu       sync.Mutex
	accepted int
}

func (e *blockingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	select {
	case err := <-e.release:
		if err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted += len(spans)
	return nil
}

func (e *blockingExporter) Shutdown(context.Context) error { return nil }

// The trace collector stops responding while requests continue. Requests must not block: the queue fills, then each
// further span is dropped and counted. When the collector responds again, the queued spans are exported, and every
// span must be counted as either exported or dropped.
func TestUnresponsiveCollectorDropsAndCounts(t *testing.T) {
	exporter := &blockingExporter{release: make(chan error)}
	var mu sync.Mutex
	var dropped, exported int
	tr := newTracer(t, Config{
		Exporter:   exporter,
		QueueSize:  8,
		OnDropped:  func(n int) { mu.Lock(); dropped += n; mu.Unlock() },
		OnExported: func(n int) { mu.Lock(); exported += n; mu.Unlock() },
	})
	const spans = 1000
	for range spans {
		tr.Start("", "request", "r", start).End(start) // hangs here if OnEnd blocks
	}
	mu.Lock()
	require.GreaterOrEqual(t, dropped, spans-8-batchSize)
	mu.Unlock()
	close(exporter.release)
	require.NoError(t, tr.Close(context.Background()))
	require.Equal(t, spans, dropped+exported)
	require.Equal(t, exported, exporter.accepted)
	require.Positive(t, exported)
}

func TestSpansAreExportedByOTLP(t *testing.T) {
	bodies := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil && r.URL.Path == "/v1/traces" {
			bodies <- string(body)
		}
		w.Header().Set("Content-Type", "application/x-protobuf")
	}))
	defer collector.Close()
	exported := 0
	tr := newTracer(t, Config{
		Entry: "entry-1", Zone: "zone-a", Region: "region-1", OTLPURL: collector.URL + "/v1/traces", QueueSize: 8,
		OnExported: func(n int) { exported += n },
	})
	tr.Start("", "request", "r-1", start).End(start)
	require.NoError(t, tr.Close(context.Background()))
	require.Equal(t, 1, exported)
	body := <-bodies
	for _, text := range []string{"entry-1", "zone-a", "cloud.region", "region-1", "request", "r-1"} {
		require.Contains(t, body, text)
	}
}

func BenchmarkRequestOfFiveSpans(b *testing.B) {
	tr, err := New(Config{MaxTraces: 256})
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		root := tr.Start("", "request", "r", start)
		for range 4 {
			root.Child("stage", start).End(start)
		}
		root.End(start)
	}
}
