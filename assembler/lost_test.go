package assembler

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// Guards against refusing callers because a process that made a result has ended: the result can be made again.
func TestLostResultsAreMadeAgain(t *testing.T) {
	f := newFleet(t, 2)
	f.site.Endpoint("i-model-0").InjectFault(imitator.InputsLost, -1)
	for i := range 10 {
		request := f.newRequest(i%2, imitator.StagesPath, fmt.Sprint("lost-", i))
		request.Pieces = "3,5"
		require.Equal(t, http.StatusOK, f.call(request).Status)
	}
	require.NotEmpty(t, f.site.Endpoint("i-model-0").Arrivals())
}

// endedTime is how long an endpoint that is found to have ended gets nothing if it is still listed.
const endedTime = 5 * time.Second

// Guards against requests and pieces that are sent again and again to an endpoint whose process has ended, because the
// store still lists it while another process rejects them at its address.
func TestAnEndpointWhoseProcessHasEndedIsLeftAlone(t *testing.T) {
	f := newFleet(t, 3)
	kinds := map[string]imitator.Kind{"plain": imitator.Plain, "model": imitator.Model, "encode": imitator.Stage, "rank": imitator.Stage}
	successors := make(map[string]*imitator.Endpoint)
	for _, service := range services {
		successors[service] = imitator.NewEndpoint("successor-"+service, kinds[service])
		t.Cleanup(successors[service].Close)
		f.site.RegisterEnded("ended-"+service, service, successors[service])
	}
	// endedAt returns how often an entry has found the endpoint of a service to have ended.
	endedAt := func(entry int, service string) int {
		// The counter is missing until it has counted.
		n, _ := strconv.Atoi(f.metric(entry, fmt.Sprintf("geraniumline_endpoints_ended{service=%q}", service)))
		return n
	}
	began := time.Now()
	round := 0
	serve := func() {
		for entry := range f.nodes {
			f.serveAll(entry, fmt.Sprintf("%d-%d", round, entry))
		}
		round++
	}
	for _, service := range services {
		require.Eventually(t, func() bool {
			serve()
			return endedAt(0, service)+endedAt(1, service)+endedAt(2, service) > 0
		}, waitTimeout, 10*time.Millisecond, service)
	}
	for range 3 {
		serve()
	}
	for _, service := range services {
		require.Empty(t, successors[service].Arrivals(), service)
		for entry := range f.nodes {
			require.LessOrEqual(t, endedAt(entry, service), 1+int(time.Since(began)/endedTime), service)
		}
	}
}
