package assembler

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// truncationFleets start a fleet and name the entry that calls endpoints directly or through a peer.
var truncationFleets = map[string]func(*testing.T) (*fleet, int){
	"direct":  func(t *testing.T) (*fleet, int) { return newFleet(t, 1), 0 },
	"relayed": newPartitionedFleet,
}

// Guards against streams that reach their callers as complete although the endpoint broke off inside an event, in a
// response that ends with its connection.
func TestAStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	for name, start := range truncationFleets {
		t.Run(name, func(t *testing.T) {
			f, entry := start(t)
			f.injectFault("model", imitator.Unframed, -1)
			whole := f.call(f.newRequest(entry, imitator.StreamPath, "whole"))
			require.False(t, whole.Truncated)
			require.Equal(t, eventStream("whole", 5), whole.Body)

			f.injectFault("model", imitator.Healthy, 0)
			f.site.Endpoint("i-model-0").InjectFault(imitator.UnframedTruncated, -1)
			for i := range 4 {
				id := fmt.Sprintf("resumed-%d", i)
				require.Equal(t, eventStream(id, 5), f.call(f.newRequest(entry, imitator.ResumePath, id)).Body)
			}

			f.injectFault("model", imitator.UnframedTruncated, -1)
			// Two endpoints send two events each of a stream that may be resumed.
			received := map[string]int{imitator.StreamPath: 2, imitator.StagesPath: 2, imitator.ResumePath: 4}
			for i, path := range []string{imitator.StreamPath, imitator.StagesPath, imitator.ResumePath} {
				request := f.newRequest(entry, path, fmt.Sprintf("cut-%d", i))
				if path == imitator.StagesPath {
					request.Pieces = "3,5"
				}
				broken := f.call(request)
				require.True(t, broken.Truncated, path)
				require.Equal(t, eventStream(request.ID, received[path]), broken.Body)
				require.LessOrEqual(t, len(f.runs(request.ID)), 2)
			}
		})
	}
}

// Guards against streams without a length that reach their callers as complete although the endpoint crashed before their
// first event.
func TestAStreamWithoutAnyEventIsBrokenOff(t *testing.T) {
	for name, start := range truncationFleets {
		t.Run(name, func(t *testing.T) {
			f, entry := start(t)
			f.site.Endpoint("i-model-0").InjectFault(imitator.UnframedEmpty, -1)
			for i := range 4 {
				id := fmt.Sprintf("resumed-%d", i)
				require.Equal(t, eventStream(id, 5), f.call(f.newRequest(entry, imitator.ResumePath, id)).Body)
			}
			f.injectFault("model", imitator.UnframedEmpty, -1)
			for i := range 2 {
				request := f.newRequest(entry, imitator.StreamPath, fmt.Sprintf("empty-%d", i))
				require.Equal(t, http.StatusBadGateway, f.call(request).Status)
				require.Len(t, f.runs(request.ID), 1)
			}
		})
	}
}

// Guards against requests that count as run, and fail, although an endpoint refused them: the body of its refusal broke off.
func TestARefusalWithABrokenBodyIsARefusal(t *testing.T) {
	for name, start := range truncationFleets {
		t.Run(name, func(t *testing.T) {
			f, entry := start(t)
			for _, id := range []string{"i-plain-0", "i-model-0", "i-encode-0"} {
				f.site.Endpoint(id).InjectFault(imitator.FullReset, -1)
			}
			for i := range 6 {
				for _, path := range []string{imitator.OncePath, imitator.StagesPath} {
					request := f.newRequest(entry, path, fmt.Sprintf("once-%d%s", i, path))
					if path == imitator.StagesPath {
						request.Pieces = "3,5"
					}
					require.Equal(t, http.StatusOK, f.call(request).Status, path)
					require.Len(t, f.runs(request.ID), 1)
				}
			}
		})
	}
}

// Guards against broken streams that callers of HTTP/1.0 take for complete, as their responses have no chunks and end with
// the connection.
func TestABrokenStreamOverHTTP10IsReset(t *testing.T) {
	f := newFleet(t, 1)
	read := func(id string) (string, error) {
		conn, err := net.Dial("tcp", f.nodes[0].callers)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, f.newRequest(0, imitator.StreamPath, id).SendHTTP10(conn))
		text, err := io.ReadAll(conn)
		return string(text), err
	}
	text, err := read("whole")
	require.NoError(t, err)
	require.Contains(t, text, eventStream("whole", 5))
	f.injectFault("model", imitator.Truncated, -1)
	text, err = read("cut")
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.NotContains(t, text, "id: 3")
}

// Guards against events that a caller gets twice, from an endpoint that does not go on after the event at which the caller
// resumes a stream.
func TestAResumedStreamRepeatsNoEvent(t *testing.T) {
	f := newFleet(t, 1)
	require.Equal(t, http.StatusOK, f.call(f.newRequest(0, imitator.ResumePath, "first")).Status)
	f.injectFault("model", imitator.FromStart, -1)
	request := f.newRequest(0, imitator.ResumePath, "again")
	request.Header = imitator.Resumption("first", "2")
	require.Equal(t, strings.TrimPrefix(eventStream("again", 5), eventStream("again", 2)), f.call(request).Body)
}
