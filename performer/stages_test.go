package performer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/meter"
	"geraniumline/reducer"
)

// A stream's connection is closed after its first part, and the core at once resumes the stream. The end of the broken
// call must not cancel the resumed one: the core would receive nothing more of the stream, and the caller would wait
// until the stage's timeout or the deadline for an answer that is available.
func TestResumeSurvivesEndOfBrokenCall(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stages", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, `{"requestId":"r","stage":"s","attempt":1,"streamId":"x","seq":0,"text":"a","final":false}`)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /v1/streams/x", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintln(w, `{"requestId":"r","stage":"s","attempt":1,"streamId":"x","seq":1,"text":"b","final":true,"total":2}`)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	address := server.Listener.Addr().String()
	final := make(chan struct{})
	id := reducer.CallID{Request: 1, Attempt: 1}
	var s *stageCaller
	post := func(event reducer.Event) {
		switch e := event.(type) {
		case reducer.StageFailed:
			s.resume(reducer.ResumeStage{Call: id, Address: address, StreamID: "x", From: 1})
		case *reducer.StagePartArrived:
			if e.Part.Final {
				close(final)
			}
		}
	}
	s = newStageCaller(Config{Endpoints: server.Client(), Meter: meter.New()}.withDefaults(), post, newReplyQueues())
	s.ctx = context.Background()
	s.call(&reducer.CallStage{Call: id, Address: address, Body: &endpointserver.StageCall{RequestId: "r", Stage: "s", Attempt: 1}})
	select {
	case <-final:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the rest of the stream was not read")
	}
}
