package assembler

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// newReadingFleet starts an entry before models that are silent for a while before each stream. Callers wait four times
// the objective of one second for a first event.
func newReadingFleet(t *testing.T, silence time.Duration) *fleet {
	site := imitator.NewSite()
	site.SetTimeouts(10 * time.Second)
	site.SetObjectives(time.Second)
	site.Configure()
	for _, id := range []string{"i-model-0", "i-model-1"} {
		site.Endpoint(id).FirstEventDelay = silence
	}
	return newFleetAt(t, site, 1)
}

func longPromptRequest(f *fleet, id string) imitator.Request {
	request := f.newRequest(0, imitator.ResumePath, id)
	request.Prompt = "a1:40000,b2:20000"
	return request
}

// Guards against canceling a stream whose endpoint is still reading a long prompt: another one would read all of it
// again.
func TestStreamIsNotLeftWhileItsPromptIsRead(t *testing.T) {
	f := newReadingFleet(t, 1600*time.Millisecond)
	reply := f.call(longPromptRequest(f, "long"))
	require.Equal(t, http.StatusOK, reply.Status)
	require.Equal(t, eventStream("long", 5), reply.Body)
	require.Len(t, f.runs("long"), 1)
}

// Guards against waiting at a hung endpoint until the caller of a long prompt gives up.
func TestHungEndpointIsLeftWithALongPrompt(t *testing.T) {
	f := newReadingFleet(t, 0)
	f.site.Endpoint("i-model-0").InjectFault(imitator.Hanging, -1)
	for _, id := range []string{"one", "two", "three", "four"} {
		reply := f.call(longPromptRequest(f, id))
		require.Equal(t, http.StatusOK, reply.Status)
		require.Equal(t, eventStream(id, 5), reply.Body)
		if len(f.runs(id)) == 2 {
			return
		}
	}
	require.Fail(t, "no request met the hung endpoint")
}
