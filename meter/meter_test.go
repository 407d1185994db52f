package meter

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"geraniumline/messenger"
)

func TestJSONAndPrometheusFormats(t *testing.T) {
	m := New()
	m.Counter(RequestsReceived, "wall\"care\n").Inc(3)
	m.Counter(RequestsReceived, "kilima").Inc(1)
	m.Gauge(ConnectionsOpen, "caller").Update(7)
	for i := range 1000 {
		m.Histogram(RequestMicros).Update(int64(i + 1))
	}
	golden := goldie.New(t)
	golden.Assert(t, "prometheus", []byte(m.Prometheus()))
	w := httptest.NewRecorder()
	m.JSONHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/metrics", nil))
	golden.Assert(t, "json", w.Body.Bytes())
}

func TestEveryDefinitionCanBeCounted(t *testing.T) {
	m := New()
	seen := map[Name]bool{}
	for _, d := range Definitions() {
		require.False(t, seen[d.Name], "%s is defined twice", d.Name)
		seen[d.Name] = true
		require.True(t, strings.HasSuffix(d.Help, "."), d.Name)
		switch d.Kind {
		case KindCounter:
			m.Counter(d.Name, "x").Inc(1)
		case KindGauge:
			m.Gauge(d.Name, "x").Update(1)
		case KindHistogram:
			m.Histogram(d.Name, "x").Update(1)
		}
	}
	require.Panics(t, func() { m.Counter(RequestMicros) })
	require.Panics(t, func() { m.Counter("made_up") })
}

// The messenger updates metrics by their name in the registry. A name that the meter does not define would be
// counted but never served.
func TestMessengerMetricsAreServed(t *testing.T) {
	m := New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peers := messenger.New(messenger.Config{Listen: listener, Registry: m.Registry(), Key: make([]byte, 32)})
	require.NoError(t, peers.Close())
	registered := 0
	m.Registry().Each(func(string, any) { registered++ })
	require.Len(t, m.series, registered)
}

// Tens of thousands of client accounts would each create a series. Above the limit they share one, no count is
// lost, and labels_dropped counts it.
func TestLabelsAreLimited(t *testing.T) {
	m := New()
	var wg sync.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 1000 {
				m.Counter(RequestsReceived, fmt.Sprintf("account-%d", i*4+worker)).Inc(1)
			}
		})
	}
	wg.Wait()
	total := int64(0)
	for key, metric := range m.series {
		if key.name == RequestsReceived {
			total += metric.(interface{ Count() int64 }).Count()
		}
	}
	require.Equal(t, int64(4000), total)
	require.LessOrEqual(t, m.labels[RequestsReceived], MaxLabels+1)
	require.Equal(t, int64(4000-MaxLabels), m.Counter(LabelsDropped).Count())
}

func TestHistogramKeepsTheTail(t *testing.T) {
	h := newHistogram()
	require.Zero(t, h.Min())
	require.Zero(t, h.Mean())
	for range 990 {
		h.Update(100)
	}
	for range 10 {
		h.Update(1_000_000)
	}
	h.Update(-5)
	h.Update(2 * maxValue)
	require.InEpsilon(t, 100, h.Percentile(0.98), 0.01)
	require.InEpsilon(t, 1_000_000, h.Percentile(0.995), 0.01)
	require.Equal(t, int64(1002), h.Count())
	snapshot := h.Snapshot()
	h.Clear()
	require.Equal(t, int64(1002), snapshot.Count())
	require.Zero(t, h.Count())
}

func BenchmarkCounter(b *testing.B) {
	m := New()
	for b.Loop() {
		m.Counter(RequestsReceived, "kilima").Inc(1)
	}
}

func BenchmarkHistogram(b *testing.B) {
	m := New()
	for b.Loop() {
		m.Histogram(RequestMicros).Update(1234)
	}
}
