package assembler

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// longestPause is how long a healthy endpoint may be silent before it goes on.
const longestPause = 1500 * time.Millisecond

// pausedFleet is an entry before model endpoints that fall silent together while streams are under way.
type pausedFleet struct {
	*fleet
	replies chan imitator.Response
	streams int
}

// newPausedFleet starts n entries. Streams have 30 events in 3 seconds.
func newPausedFleet(t *testing.T, n int) *pausedFleet {
	site := imitator.NewSite()
	site.SetTimeouts(20 * time.Second)
	site.SetObjectives(2 * time.Second)
	site.Configure()
	for _, id := range []string{"i-model-0", "i-model-1"} {
		site.Endpoint(id).Events = 30
		site.Endpoint(id).EventInterval = 100 * time.Millisecond
	}
	return &pausedFleet{fleet: newFleetAt(t, site, n)}
}

// begin has an entry begin n streams, and waits until endpoints run all of them.
func (f *pausedFleet) begin(entry int, path string, n int) {
	f.t.Helper()
	f.replies, f.streams = make(chan imitator.Response, n), n
	for i := range n {
		request := f.newRequest(entry, path, fmt.Sprintf("stream-%d", i))
		if strings.Contains(path, "stages") {
			request.Pieces = "1,1"
		}
		go func() {
			reply, err := request.Call(f.t.Context())
			if err != nil {
				reply.Truncated = true
			}
			f.replies <- reply
		}()
	}
	require.Eventually(f.t, func() bool {
		for i := range n {
			if len(f.runs(fmt.Sprintf("stream-%d", i))) == 0 {
				return false
			}
		}
		return true
	}, waitTimeout, time.Millisecond)
}

// pause makes all model endpoints silent for a time, in which the configuration changes.
func (f *pausedFleet) pause(d time.Duration) {
	models := []*imitator.Endpoint{f.site.Endpoint("i-model-0"), f.site.Endpoint("i-model-1")}
	for _, e := range models {
		e.Pause()
	}
	f.site.Configure()
	time.Sleep(d)
	for _, e := range models {
		e.Resume()
	}
}

// requireWhole checks that the callers of all streams get every event.
func (f *pausedFleet) requireWhole() {
	f.t.Helper()
	whole := 0
	for range f.streams {
		reply := <-f.replies
		if reply.Status == http.StatusOK && !reply.Truncated && strings.Count(reply.Body, "data: event ") == 30 {
			whole++
		}
	}
	require.Equal(f.t, f.streams, whole, "streams that reach their callers whole")
}

// Guards against streams that are broken off because their endpoint was silent for a moment, as the retry budget doesn't last
// for all of them.
func TestAPauseOfAllEndpointsBreaksNoStream(t *testing.T) {
	for name, path := range map[string]string{"resumable": imitator.ResumePath, "once": imitator.StreamPath} {
		t.Run(name, func(t *testing.T) {
			f := newPausedFleet(t, 1)
			f.begin(0, path, 64)
			time.Sleep(300 * time.Millisecond)
			f.pause(longestPause)
			f.requireWhole()
		})
	}
}

// Guards against streams that are broken off because their endpoint was silent for a moment, as their inputs can't be made
// again.
func TestAPauseBreaksNoStreamWhoseInputsAreGone(t *testing.T) {
	f := newPausedFleet(t, 1)
	f.begin(0, imitator.ResumeStagesPath, 3)
	time.Sleep(300 * time.Millisecond)
	f.injectFault("encode", imitator.Full, -1)
	f.pause(longestPause)
	f.requireWhole()
}

// Guards against streams that are broken off because their endpoint was silent for a moment, as the others refuse them.
func TestAPauseBreaksNoStreamThatOthersRefuse(t *testing.T) {
	f := newPausedFleet(t, 1)
	f.site.Endpoint("i-model-1").InjectFault(imitator.Full, -1)
	f.begin(0, imitator.ResumePath, 3)
	time.Sleep(300 * time.Millisecond)
	f.pause(longestPause)
	f.requireWhole()
}

// Guards against requests that are given up at a silent endpoint before it is sure that another one gets them.
func TestAPauseFailsNoPlainRequest(t *testing.T) {
	f := newPausedFleet(t, 1)
	for _, id := range []string{"i-plain-0", "i-plain-1"} {
		f.site.Endpoint(id).Pause()
	}
	replies := make(chan imitator.Response, 16)
	for i := range cap(replies) {
		request := f.newRequest(0, imitator.PlainPath, fmt.Sprintf("plain-%d", i))
		go func() {
			reply, err := request.Call(t.Context())
			if err != nil {
				reply.Status = 0
			}
			replies <- reply
		}()
	}
	time.Sleep(longestPause)
	for _, id := range []string{"i-plain-0", "i-plain-1"} {
		f.site.Endpoint(id).Resume()
	}
	for range cap(replies) {
		require.Equal(t, http.StatusOK, (<-replies).Status)
	}
}

// Guards against relayed streams that are broken off because their endpoint was silent for a moment.
func TestAPauseBreaksNoRelayedStream(t *testing.T) {
	for name, path := range map[string]string{"resumable": imitator.ResumePath, "once": imitator.StreamPath} {
		t.Run(name, func(t *testing.T) {
			f := newPausedFleet(t, 1)
			p := newPartition()
			f.startWith(startOptions{partition: p})
			f.awaitReady()
			p.set(resetting)
			require.Eventually(t, func() bool {
				return f.served(1, "partitioned") && f.metric(1, "geraniumline_partitioned") == "1"
			}, waitTimeout, time.Millisecond)
			f.begin(1, path, 8)
			time.Sleep(300 * time.Millisecond)
			f.pause(longestPause)
			f.requireWhole()
		})
	}
}
