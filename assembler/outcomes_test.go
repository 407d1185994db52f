package assembler

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/explainer"
	"geraniumline/platform/imitator"
)

// outcomes returns the report on n requests once the logs have the ends of all.
func outcomes(t *testing.T, logs *logBuffer, n int) *explainer.Outcomes {
	t.Helper()
	var report *explainer.Outcomes
	require.Eventually(t, func() bool {
		tally := explainer.NewTally(explainer.TallyConfig{By: explainer.ByRoute})
		require.NoError(t, tally.Read(strings.NewReader(logs.text())))
		var err error
		report, err = tally.Report()
		require.NoError(t, err)
		return report.Requests >= n
	}, waitTimeout, 10*time.Millisecond)
	require.Equal(t, n, report.Requests)
	return report
}

// A field that is renamed in the forwarder's log would silently move requests to other outcomes.
func TestTheLogsTellOutcomes(t *testing.T) {
	f, logs := newLoggedFleet(t, 2)
	require.Equal(t, http.StatusOK, f.call(f.newRequest(0, imitator.OncePath, "plain-1")).Status)
	stream := f.newRequest(1, imitator.StagesPath, "stream-1")
	stream.Pieces = "2,3"
	require.Equal(t, http.StatusOK, f.call(stream).Status)
	f.injectFault("plain", imitator.Full, 6)
	require.Equal(t, http.StatusServiceUnavailable, f.call(f.newRequest(0, imitator.OncePath, "refused-1")).Status)
	f.injectFault("plain", imitator.Aborting, -1)
	require.Equal(t, http.StatusBadGateway, f.call(f.newRequest(1, imitator.OncePath, "lost-1")).Status)

	report := outcomes(t, logs, 4)
	require.Zero(t, report.UnreadableLines)
	require.Equal(t, 2, report.Total.OnTime+report.Total.Late, "on a busy machine they may be late")
	require.Equal(t, int64(2), report.AnsweredSeen)
	require.Equal(t, new(int64(2)), report.Answered)

	decisions := make(map[explainer.Outcome]explainer.Decision)
	for _, g := range report.Groups {
		for _, d := range g.Decisions {
			decisions[d.Outcome] = d
		}
	}
	require.Equal(t, explainer.StepLostEndpoint, decisions[explainer.Lost].Step)
	require.Equal(t, "plain", decisions[explainer.Lost].Where)
	require.Equal(t, explainer.StepNoEndpoint, decisions[explainer.Refused].Step)
	require.Equal(t, explainer.StepRejected, decisions[explainer.Refused].After)
	require.NotNil(t, decisions[explainer.Refused].ListAgeMeanSeconds)

	ended, err := explainer.Read(strings.NewReader(logs.text()), "stream-1")
	require.NoError(t, err)
	fields := ended.Lines[len(ended.Lines)-1].Fields
	for _, name := range []string{"objective", "eventGap", "priority", "firstSendAfter", "lastSendAfter", "firstEventAfter", "longestPause"} {
		require.Contains(t, fields, name)
	}
}

// An endpoint is silent, and the stream goes elsewhere after longer than its objective. The cause must not be taken for
// a slow or lost endpoint.
func TestTheLogsTellSilence(t *testing.T) {
	f, logs := newLoggedFleet(t, 1)
	f.site.Endpoint("i-model-0").InjectFault(imitator.Hanging, 1)
	const n = 20
	for i := range n {
		require.Equal(t, http.StatusOK, f.call(f.newRequest(0, imitator.ResumePath, fmt.Sprintf("silent-%d", i))).Status)
	}
	var silent []explainer.Decision
	for _, g := range outcomes(t, logs, n).Groups {
		for _, d := range g.Decisions {
			if d.Step == explainer.StepSilence {
				silent = append(silent, d)
			}
		}
	}
	require.Len(t, silent, 1)
	require.Equal(t, explainer.Late, silent[0].Outcome)
	require.Equal(t, 1, silent[0].Requests)
}
