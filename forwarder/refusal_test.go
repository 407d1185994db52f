package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxRefusedShare is the share of requests that may be refused while another endpoint than the refusing one has
// capacity.
const maxRefusedShare = 20.0 / 560

// Guards against an endpoint that attracts requests because it refuses immediately, so that callers are refused
// although the other endpoint has capacity.
func TestAnEndpointThatRefusesDrawsNoWork(t *testing.T) {
	for _, tc := range []struct {
		entries int
		rest    time.Duration
	}{{7, 0}, {7, 3 * time.Second}, {65, 0}, {65, 3 * time.Second}} {
		t.Run(fmt.Sprint(tc.entries, tc.rest), func(t *testing.T) {
			p := newEndpointPool(t, tc.entries, "a", "b")
			each := 10.0
			p.run(time.Second, each*float64(tc.entries))
			p.served, p.refused = 0, 0
			p.refuses["a"] = tc.rest
			p.run(8*time.Second, each*float64(tc.entries))
			t.Logf("served %d, refused %d, arrivals at the endpoint that refuses %d", p.served, p.refused, len(p.arrivals["a"]))
			require.LessOrEqual(t, float64(p.refused), maxRefusedShare*float64(p.served+p.refused))
			delete(p.refuses, "a")
			p.run(tc.rest+time.Second, each*float64(tc.entries))
			p.run(4*time.Second, each*float64(tc.entries))
			require.Greater(t, p.usedShare("a", each*float64(tc.entries), 4*time.Second), 0.4, "the endpoint receives its share again")
		})
	}
}
