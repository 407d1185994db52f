package assembler

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// changesTime is for how long configurations come beside requests.
const changesTime = 2 * time.Second

// Guards against requests that end without an answer since a configuration takes away the route or a service that they use.
func TestChangesOfConfigurationCutNoRequest(t *testing.T) {
	f, logs := newLoggedFleet(t, 2)
	for _, id := range []string{"i-model-0", "i-model-1"} {
		f.site.Endpoint(id).EventInterval = 20 * time.Millisecond
	}
	paths := []string{
		imitator.PlainPath, imitator.OncePath, imitator.StreamPath, imitator.ResumePath, imitator.StagesPath, imitator.ResumeStagesPath,
	}
	end := time.Now().Add(changesTime)
	var cut []string
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, path := range paths {
		for entry := range f.nodes {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for n := 0; time.Now().Before(end); n++ {
					request := f.newRequest(entry, path, fmt.Sprintf("changes-%d-%d-%d", i, entry, n))
					request.Pieces = "1,1"
					reply, err := request.CallWith(t.Context(), client)
					if err != nil || reply.Truncated {
						mu.Lock()
						cut = append(cut, request.ID)
						mu.Unlock()
					}
				}
			})
		}
	}
	routes, services := f.site.Routes, f.site.Services
	for n := 0; time.Now().Before(end); n++ {
		f.site.Routes, f.site.Services = routes, services
		switch n % 4 {
		case 0:
			f.site.Services = services[:len(services)-1]
		case 1:
			f.site.Services = slices.Concat(services[:1], services[2:])
		case 2:
			f.site.Routes = routes[:1]
		}
		f.site.Configure()
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	require.Empty(t, cut)
	text := logs.text()
	require.Greater(t, strings.Count(text, "configuration in force"), 10)
	require.NotContains(t, text, "request handler panicked")
}
