package assembler

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"geraniumline/explainer"
	"geraniumline/platform/imitator"
)

// logBuffer collects the log lines of all entries.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// newLoggedFleet starts n entries that log to the same buffer.
func newLoggedFleet(t *testing.T, n int) (*fleet, *logBuffer) {
	t.Helper()
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logs := &logBuffer{}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.AddSync(logs), zap.InfoLevel)
	f := &fleet{t: t, site: imitator.NewSite(), log: zap.New(core)}
	t.Cleanup(f.close)
	for range n {
		f.start("")
	}
	f.awaitReady()
	return f, logs
}

// explain returns the report on a request once the logs name the cause of its outcome.
func explain(t *testing.T, logs *logBuffer, id string) explainer.Report {
	t.Helper()
	var report explainer.Report
	require.Eventually(t, func() bool {
		var err error
		report, err = explainer.Read(strings.NewReader(logs.text()), id)
		return err == nil && report.Cause != ""
	}, waitTimeout, 10*time.Millisecond)
	return report
}

// Three requests fail: one is refused under load, one loses the results of a stage, one has a call that may have run
// and is not repeated. The logs alone must name the cause of each, and must contain no credential and no body.
func TestTheLogsExplainThreeFailures(t *testing.T) {
	f, logs := newLoggedFleet(t, 2)
	f.injectFault("plain", imitator.Full, 6)
	refused := f.newRequest(0, imitator.OncePath, "refused-1")
	refused.Body = "body-that-is-private"
	require.Equal(t, http.StatusServiceUnavailable, f.call(refused).Status)
	require.Equal(t, "noEndpoint", explain(t, logs, "refused-1").Cause)

	f.injectFault("rank", imitator.Aborting, -1)
	lost := f.newRequest(1, imitator.StagesPath, "lost-1")
	lost.Pieces = "2,3"
	require.Equal(t, http.StatusServiceUnavailable, f.call(lost).Status)
	report := explain(t, logs, "lost-1")
	require.Equal(t, "stagefailed", report.Cause)
	steps := make(map[string]int)
	for _, line := range report.Lines {
		steps[line.Message]++
	}
	require.Equal(t, 2, steps["stage delegated"])
	require.Equal(t, 1, steps["stage completed"])
	require.Positive(t, steps["call for pieces failed"])

	f.injectFault("plain", imitator.Aborting, -1)
	require.Equal(t, http.StatusBadGateway, f.call(f.newRequest(0, imitator.OncePath, "maybe-1")).Status)
	require.Equal(t, "endpointBroke", explain(t, logs, "maybe-1").Cause)

	text := logs.text()
	require.NotContains(t, text, imitator.Key)
	require.NotContains(t, text, "body-that-is-private")
	for _, message := range []string{"started", "configuration in force", "peer state changed"} {
		require.Contains(t, text, fmt.Sprintf("%q", message))
	}
}
