package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/selector"
)

func TestFirstEventSilence(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name     string
		silence  firstEventSilence
		expected time.Duration
	}{
		{"a short prompt", firstEventSilence{min: 1000 * ms, predicted: 60 * ms, elsewhere: 60 * ms, left: 4800 * ms}, 1000 * ms},
		{"a long prompt", firstEventSilence{min: 1000 * ms, predicted: 800 * ms, elsewhere: 900 * ms, left: 4800 * ms}, 2400 * ms},
		{"uncertain predictions", firstEventSilence{min: 1000 * ms, predicted: 300 * ms, deviation: 200 * ms, elsewhere: 900 * ms, left: 4800 * ms}, 1700 * ms},
		{"time for another endpoint remains", firstEventSilence{min: 1000 * ms, predicted: 1200 * ms, elsewhere: 1500 * ms, left: 4000 * ms}, 2500 * ms},
		{"no time for another endpoint", firstEventSilence{min: 1000 * ms, predicted: 2000 * ms, elsewhere: 2000 * ms, left: 4000 * ms}, 3000 * ms},
		{"the caller is about to give up", firstEventSilence{min: 1000 * ms, predicted: 100 * ms, elsewhere: 100 * ms, left: 50 * ms}, 1000 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.expected, tc.silence.limit())
			require.GreaterOrEqual(t, tc.silence.limit(), tc.silence.min)
		})
	}
}

// Guards against losing a stream at a silent endpoint that may still answer, because the retry budget is used up or no
// other endpoint accepts it.
func TestSilentStreamIsLeftOnlyIfItMayGoOnElsewhere(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints []string
		exhausted bool
		left      bool
	}{
		{"another endpoint and budget", []string{"a", "b"}, false, true},
		{"no budget", []string{"a", "b"}, true, false},
		{"no other endpoint", []string{"a"}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t, 1)
				m.setEndpoints(tc.endpoints...)
				x := newExchange(m.nodes["entry-0"], 0)
				x.route = &cataloger.Route{Kind: cataloger.Streaming, Resumable: true, MaxAttempts: 2, Objective: time.Second}
				x.tried = []string{"a"}
				x.firstEventDeadline = time.Now().Add(4 * time.Second)
				if tc.exhausted {
					x.f.takeAll("plain", time.Now())
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				respondWith(x.f, "")
				x.in = httptest.NewRequest(http.MethodPost, "/", http.NoBody)
				s := &streamer{x: x, stages: newStageRunner(x)}
				watch := s.watchSilence(cancel, selector.Choice{}, time.Now())
				time.Sleep(2 * time.Second)
				synctest.Wait()
				require.Equal(t, tc.left, ctx.Err() != nil)
				x.dropAttempt(watch.stop())
			})
		})
	}
}
