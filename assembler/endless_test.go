package assembler

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// Guards against an entry that takes bytes without end for an answer, reads them until its caller leaves, or fails other
// requests meanwhile.
func TestEndpointsThatSendWithoutEndAreLeft(t *testing.T) {
	// maxSent allows each of an endpoint's few exchanges the largest plain response and what sockets hold, in bytes.
	const maxSent = 128 << 20
	for name, fault := range map[string]imitator.Fault{
		"head": imitator.EndlessHead, "body": imitator.EndlessBody, "informational answers": imitator.EndlessInterim,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1)
			f.site.SetTimeouts(waitTimeout)
			f.site.Configure()
			for _, tc := range []struct{ service, path string }{
				{"plain", imitator.OncePath}, {"plain", imitator.PlainPath}, {"model", imitator.StreamPath}, {"model", imitator.ResumePath},
			} {
				f.injectFault(tc.service, fault, 1)
				id := "endless" + tc.path
				reply := f.call(f.newRequest(0, tc.path, id))
				runs := f.runs(id)
				if reply.Status == http.StatusOK {
					require.True(t, len(runs) > 1 && !reply.Truncated, "%s: only another endpoint's answer is whole", tc.path)
				}
				if tc.path == imitator.OncePath || tc.path == imitator.StreamPath {
					require.Equal(t, http.StatusBadGateway, reply.Status, tc.path)
					require.Len(t, runs, 1)
				}
				f.injectFault(tc.service, imitator.Healthy, 0)
				require.Equal(t, http.StatusOK, f.call(f.newRequest(0, tc.path, "after"+tc.path)).Status)
			}
			f.injectFault("encode", fault, 1)
			request := f.newRequest(0, imitator.StagesPath, "endless-pieces")
			request.Pieces = "1,1"
			reply := f.call(request)
			require.Equal(t, http.StatusOK, reply.Status, "pieces are made elsewhere")
			require.Equal(t, eventStream("endless-pieces", 5), reply.Body)
			for _, e := range f.site.Endpoints {
				require.Less(t, e.EndlessBytes(), int64(maxSent), e.ID)
			}
		})
	}
}
