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
	"geraniumline/regulator"
)

// Guards against a request that is taken from a silent endpoint although no other one accepts it: its caller would be
// told that it may have run, and never get the answer.
func TestNoHedgeWithoutAnotherEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		rest   time.Duration
		hedged bool
	}{
		"another endpoint accepts calls": {0, true},
		"the other endpoint rests":       {time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t, 1)
				m.setEndpoints("a", "b")
				f := m.nodes["entry-0"]
				f.applyNotice(endpointChange("b").Endpoint, regulator.Notice{Rest: tc.rest}, time.Now())
				respondWith(f, "")
				x := &exchange{
					f: f, ctx: t.Context(), tried: []string{"a"}, service: &cataloger.Service{Name: "plain"},
					route: &cataloger.Route{Kind: cataloger.Idempotent, MaxAttempts: 2, Objective: 300 * time.Millisecond},
					in:    httptest.NewRequest(http.MethodPost, "/", http.NoBody),
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				watch := x.watchPlain(cancel)
				time.Sleep(time.Second)
				synctest.Wait()
				require.Equal(t, tc.hedged, ctx.Err() != nil)
				x.dropAttempt(watch.stop())
			})
		})
	}
}
