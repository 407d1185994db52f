package crowder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/platform/imitator"
	"geraniumline/platformserver"
	"geraniumline/starter"
)

// endlessCalls are the requests of callers whose endpoints send without end.
const endlessCalls = 32

// entryDeadline is the deadline of these requests.
const entryDeadline = time.Second

// pollInterval is the interval between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// spoiledServer passes requests on to a server, or answers them without end. $request, $stage, $attempt stand for those of a call of a
// stage, and $n for the number of repetitions before.
type spoiledServer struct {
	*httptest.Server
	proxy *httputil.ReverseProxy
	// response is what it answers instead; nil passes requests on.
	response atomic.Pointer[imitator.Endless]
	sent     atomic.Int64
}

// newSpoiledServer starts a server in front of the one at an address.
func newSpoiledServer(t *testing.T, address string) *spoiledServer {
	t.Helper()
	s := &spoiledServer{proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *spoiledServer) address() string { return strings.TrimPrefix(s.URL, "http://") }

// ServeHTTP implements http.Handler.
func (s *spoiledServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := s.response.Load()
	if response == nil {
		s.proxy.ServeHTTP(w, r)
		return
	}
	var call endpointserver.StageCall
	_ = json.NewDecoder(r.Body).Decode(&call) // other requests have no call
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, response.Beginning)
	repeated := strings.NewReplacer("$request", call.RequestId, "$stage", call.Stage, "$attempt", strconv.Itoa(call.Attempt)).Replace(response.Repeated)
	block := strings.Repeat(repeated, 1+writeSize/len(repeated))
	if strings.Contains(repeated, "$n") {
		block = repeated
	}
	for n := 0; err == nil && s.response.Load() != nil; n++ {
		var sent int
		sent, err = io.WriteString(conn, strings.ReplaceAll(block, "$n", strconv.Itoa(n)))
		s.sent.Add(int64(sent))
	}
}

// Guards against endpoints, a log and a list of VMs that send without end, and take an entry's memory with it.
func TestEntryOutlivesEndlessResponses(t *testing.T) {
	const (
		ok      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		refused = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	large := strings.Repeat("x", 0x4000)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(imitator.HugeLength))
	part := func(size int) string {
		return fmt.Sprintf("{\"requestId\":\"$request\",\"stage\":\"$stage\",\"attempt\":$attempt,\"streamId\":\"s\",\"seq\":$n,\"text\":\"%s\",\"final\":false}\n",
			strings.Repeat("x", size))
	}
	for _, tc := range []struct {
		name string
		imitator.Endless
	}{
		{"no response", imitator.Endless{Repeated: "x"}},
		{"head", imitator.Endless{Beginning: ok, Repeated: "X-More: 1\r\n"}},
		{"informational responses", imitator.Endless{Repeated: "HTTP/1.1 102 Processing\r\n\r\n"}},
		{"body of a huge length", imitator.Endless{Beginning: ok + length, Repeated: large}},
		{"body without a length", imitator.Endless{Beginning: ok + "\r\n", Repeated: large}},
		{"chunked body", imitator.Endless{Beginning: ok + chunked, Repeated: "4000\r\n" + large + "\r\n"}},
		{"small chunks", imitator.Endless{Beginning: ok + chunked, Repeated: "1\r\nx\r\n"}},
		{"size line of a chunk", imitator.Endless{Beginning: ok + chunked, Repeated: "0"}},
		{"trailers", imitator.Endless{Beginning: ok + chunked + "0\r\n", Repeated: "X-More: 1\r\n"}},
		{"blank lines", imitator.Endless{Beginning: ok + "\r\n", Repeated: "\n"}},
		{"parts", imitator.Endless{Beginning: ok + "\r\n", Repeated: part(1 << 10)}},
		{"large parts", imitator.Endless{Beginning: ok + "\r\n", Repeated: part(1 << 20)}},
		{"body of a refusal", imitator.Endless{Beginning: refused + "\r\n", Repeated: large}},
		{"bytes after a response", imitator.Endless{Beginning: refused + "Content-Length: 2\r\n\r\n{}", Repeated: "x"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var servers []*spoiledServer
			entry, _ := startEntryAt(t, entrySettings(), func(f *starter.Fleet, e *starter.Entry) (map[string]any, error) {
				slow, quick := f.Endpoints("slow")[0], f.Endpoints("quick")[0]
				for _, address := range []string{quick.Address(), f.LogAddress(), f.VMsAddress()} {
					servers = append(servers, newSpoiledServer(t, address))
				}
				return map[string]any{"logUrl": servers[1].URL, "vmsUrl": servers[2].URL}, f.VMsDriver().SetVMs(t.Context(), []platformserver.VM{
					{Address: slow.Address(), Zone: slow.Zone, Pool: slow.Pool, State: platformserver.VMStateLive},
					{Address: servers[0].address(), Zone: quick.Zone, Pool: quick.Pool, State: platformserver.VMStateLive},
					{Address: e.PeerAddress, Zone: e.Zone, Pool: "entry", State: platformserver.VMStateLive},
				})
			})
			url := "http://" + entry.CallerAddress + fmt.Sprintf(runPath, "quick")
			requireEntryAnswer(t, url)
			watch := NewWatch(entry.PID())
			for _, s := range servers {
				s.response.Store(&tc.Endless)
				s.CloseClientConnections()
				sendEntryCalls(t, url)
				require.Eventually(t, func() bool { return s.sent.Load() > 0 }, callTimeout, pollInterval, "bytes without end")
				s.response.Store(nil)
				s.CloseClientConnections()
			}
			requireEntryAnswer(t, url)
			_, ended := entry.Wait(0)
			require.False(t, ended, "the process has ended")
			usage, err := watch.Stop()
			require.NoError(t, err)
			t.Logf("held %d MB at most", usage.MemoryBytes>>20)
			require.Less(t, usage.MemoryBytes, int64(memoryMb)<<20, "bytes of memory")
		})
	}
}

// sendEntryCalls sends requests at once and waits until all have ended.
func sendEntryCalls(t *testing.T, url string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var calls sync.WaitGroup
	for i := range endlessCalls {
		calls.Go(func() {
			body := fmt.Sprintf(`{"deadlineMillis":%d,"input":"a question"}`, entryDeadline.Milliseconds())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
			if err != nil {
				t.Error(err)
				return
			}
			r.SetBasicAuth(crowdAccount, crowdCredential)
			r.Header.Set("Idempotency-Key", fmt.Sprintf("endless-%d-%d", i, time.Now().UnixNano()))
			r.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
	calls.Wait()
	require.NoError(t, ctx.Err(), "requests were not answered")
}
