package soaker

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// Streams of the test of pauses: as many of them as exhaust the retry budget, each with events for three seconds.
const (
	pausedStreams = 24
	pausedEvents  = 30
	eventInterval = 100 * time.Millisecond
	// longestPause is how long a healthy endpoint may be silent before it goes on.
	longestPause = 1500 * time.Millisecond
)

// Guards against streams that a process breaks off because their endpoints are silent for a moment while the configuration
// changes, and the stages' endpoints, on which going on elsewhere depends, are full.
func TestAProcessBreaksNoStreamInAPause(t *testing.T) {
	f, err := newFleet(&Config{Bin: buildForward(t), Dir: t.TempDir(), Entries: 1})
	require.NoError(t, err)
	defer f.close()
	runner := &planRunner{fleet: f}
	f.site.SetTimeouts(30 * time.Second)
	runner.writeConfiguration()
	require.NoError(t, runner.awaitReady(t.Context()))
	models := runner.modelsOf(imitator.FirstVersion)
	for _, i := range models {
		f.site.Endpoints[i].Events, f.site.Endpoints[i].EventInterval = pausedEvents, eventInterval
	}
	replies := make(chan imitator.Response, pausedStreams)
	for i := range pausedStreams {
		request := imitator.Request{
			Address: f.entries[0].listening.Callers, Path: imitator.ResumeStagesPath, ID: fmt.Sprintf("stream-%d", i),
			Key: imitator.Key, Pieces: "1,1",
		}
		go func() {
			// A reply without a status is a request that has failed.
			reply, _ := request.Call(t.Context())
			replies <- reply
		}()
	}
	require.Eventually(t, func() bool {
		runs := 0
		for _, i := range models {
			runs += len(f.site.Endpoints[i].Runs())
		}
		return runs == pausedStreams
	}, startTimeout, time.Millisecond)
	for _, e := range f.site.Endpoints {
		switch serviceOf(e) {
		case "model":
			e.Pause()
		case "encode":
			e.InjectFault(imitator.Full, -1)
		}
	}
	runner.writeConfiguration()
	time.Sleep(longestPause)
	for _, i := range models {
		f.site.Endpoints[i].Resume()
	}
	whole := 0
	for range pausedStreams {
		reply := <-replies
		if reply.Status == http.StatusOK && !reply.Truncated && strings.Count(reply.Body, "data: event ") == pausedEvents {
			whole++
		}
	}
	require.Equal(t, pausedStreams, whole, "streams that reach their callers whole")
}
