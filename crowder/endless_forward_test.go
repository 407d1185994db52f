package crowder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/assembler"
	"geraniumline/carrier"
	"geraniumline/platform"
	"geraniumline/platform/imitator"
)

const (
	// endlessTimeout is the timeout of requests whose endpoints send without end.
	endlessTimeout = 2 * time.Second
	// endlessPlain and endlessStreams are the requests of one route at a time, as many as the endpoints take.
	endlessPlain   = 24
	endlessStreams = 5
	// hugeLength is a declared length that no memory has room for.
	hugeLength = 1 << 40
)

// endlessResponse is a response without end.
type endlessResponse struct {
	name string
	imitator.Endless
	// complete is set if a whole response comes before what has no end, refused if the response says that nothing has run.
	complete, refused bool
}

// responds reports whether the response has a complete head.
func (r *endlessResponse) responds() bool { return strings.Contains(r.Beginning, "\r\n\r\n") }

// endlessResponses are the responses without end, whose attempts' IDs are echoed.
func endlessResponses() []endlessResponse {
	const (
		fields  = "Geraniumline-Attempt-Id: $attempt\r\nGeraniumline-Server-Stamp: stamp\r\n"
		ok      = "HTTP/1.1 200 OK\r\n" + fields
		failed  = "HTTP/1.1 500 Internal Server Error\r\n" + fields
		refused = "HTTP/1.1 503 Service Unavailable\r\nGeraniumline-Not-Executed: 1\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		other   = "HTTP/1.1 200 OK\r\nGeraniumline-Attempt-Id: other\r\n"
	)
	large := strings.Repeat("x", 0x4000)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", hugeLength)
	script := func(name, beginning, repeated string) endlessResponse {
		return endlessResponse{name: name, Endless: imitator.Endless{Beginning: beginning, Repeated: repeated}}
	}
	refusal := func(name, beginning, repeated string) endlessResponse {
		return endlessResponse{name: name, Endless: imitator.Endless{Beginning: refused + beginning, Repeated: repeated}, refused: true}
	}
	whole := func(name, repeated string) endlessResponse {
		beginning := ok + "Content-Length: 2\r\n\r\nok"
		return endlessResponse{name: name, Endless: imitator.Endless{Beginning: beginning, Repeated: repeated}, complete: true}
	}
	return []endlessResponse{
		script("no response", "", "x"),
		script("head", ok, "X-More: 1\r\n"),
		script("informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
		script("body of a huge length", ok+length, large),
		script("body without a length", ok+"\r\n", large),
		script("chunked body", ok+chunked, "4000\r\n"+large+"\r\n"),
		script("small chunks", ok+chunked, "1\r\nx\r\n"),
		script("size line of a chunk", ok+chunked, "0"),
		script("extension of a chunk", ok+chunked+"1;", "x"),
		script("trailer", ok+chunked+"0\r\nX-More: ", "x"),
		script("trailers", ok+chunked+"0\r\n", "X-More: 1\r\n"),
		script("one event", ok+"Content-Type: text/event-stream\r\n\r\ndata: ", "x"),
		script("events", ok+"Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"),
		script("blank events", ok+"Content-Type: text/event-stream\r\n\r\n", "\n\n"),
		script("body of a failure", failed+"\r\n", large),
		refusal("body of a refusal", "\r\n", large),
		refusal("chunked body of a refusal", chunked, "4000\r\n"+large+"\r\n"),
		script("body of another response", other+"\r\n", large),
		script("other responses", "", other+"Content-Length: 0\r\n\r\n"),
		whole("bytes after a response", "x"),
		whole("responses after a response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
	}
}

// Guards against endpoints that send without end, and take the memory that other clients' requests need with it.
func TestForwardOutlivesEndlessResponses(t *testing.T) {
	for _, response := range endlessResponses() {
		t.Run(response.name, func(t *testing.T) {
			p := startForward(t)
			p.requireAnswer("first", "a question")
			p.playEndless(response, true)
		})
	}
}

// Guards against the same when a peer passes the responses on. It passes on none without a head.
func TestForwardOutlivesEndlessRelayedResponses(t *testing.T) {
	for _, response := range endlessResponses() {
		if !response.responds() {
			continue
		}
		t.Run(response.name, func(t *testing.T) {
			p := startRelayed(t)
			p.requireAnswer("first", "a question")
			p.playEndless(response, false)
		})
	}
}

// playEndless makes all endpoints send a response without end to requests of all kinds, and requires that the process outlives
// it. With peers, some of the requests come from a peer.
func (p *process) playEndless(response endlessResponse, peers bool) {
	for _, e := range p.site.Endpoints {
		e.SendEndlessly(response.Endless, -1)
	}
	var calls sync.WaitGroup
	for path, n := range map[string]int{
		imitator.OncePath: endlessPlain, imitator.PlainPath: endlessPlain,
		imitator.StreamPath: endlessStreams, imitator.ResumePath: endlessStreams, imitator.StagesPath: endlessStreams,
	} {
		for i := range n {
			calls.Go(func() { p.sendEndless(response, path, fmt.Sprintf("endless%s%d", path, i)) })
		}
	}
	if peers {
		m := newPeer(p.t)
		for range endlessPlain {
			calls.Go(func() {
				s, err := m.OpenStream(p.t.Context(), p.listen.Peers)
				if err != nil {
					return
				}
				defer func() { _ = s.Close() }()
				err = s.Send(&carrier.RelayCall{
					Address: p.site.Endpoints[0].Address(), Method: http.MethodPost, Target: imitator.PlainPath, Host: imitator.Host,
					TimeoutMillis: endlessTimeout.Milliseconds(),
				})
				for err == nil {
					_, err = s.Receive()
				}
			})
		}
	}
	calls.Wait()
	sent, runs := int64(0), make(map[string]int)
	for _, e := range p.site.Endpoints {
		e.InjectFault(imitator.Healthy, 0)
		sent += e.EndlessBytes()
		for _, run := range e.Runs() {
			runs[run.Attempt]++
		}
	}
	require.Positive(p.t, sent, "bytes without end")
	for i := range endlessPlain {
		if response.refused {
			break
		}
		require.LessOrEqual(p.t, runs[fmt.Sprintf("endless%s%d", imitator.OncePath, i)], 1, "a request that may run once")
	}
	p.requireAnswer("ordinary", "a question")
	p.requireBounds()
}

// sendEndless sends a request and reads what comes back. It must not be a complete successful response, unless one was sent.
func (p *process) sendEndless(response endlessResponse, path, id string) {
	request := imitator.Request{Address: p.listen.Callers, Path: path, ID: id, Key: imitator.Key, Timeout: endlessTimeout, Body: "a question"}
	if path == imitator.StagesPath {
		request.Pieces = "64,64"
	}
	ctx, cancel := context.WithTimeout(p.t.Context(), callTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", p.listen.Callers)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if request.Send(ctx, conn) != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if !response.complete && resp.StatusCode == http.StatusOK && err == nil {
		p.t.Errorf("%s: a response without end is complete", id)
	}
	if ctx.Err() != nil {
		p.t.Errorf("%s: not answered", id)
	}
}

// startRelayed is like startForward, but only a peer, which runs in the test's process, can connect to the endpoints.
func startRelayed(t *testing.T) *process {
	t.Helper()
	site := imitator.NewSite()
	site.Addresses = make(map[string]string)
	reachable := make(map[string]string)
	for _, e := range site.Endpoints {
		address := imitator.FreeAddress(t)
		site.Addresses[e.ID], reachable[address] = address, e.Address()
	}
	site.RewriteAll()
	listen, err := imitator.FreeListenAddresses()
	require.NoError(t, err)
	p := startForwardAt(t, site, startConfig{seeds: []string{listen.Peers}})
	file, err := site.WriteSettings(t.TempDir(), imitator.EntrySettings{Name: "peer", Seeds: []string{p.listen.Peers}, Listen: listen})
	require.NoError(t, err)
	settings, err := platform.LoadSettings(file)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- assembler.RunForwarding(ctx, assembler.ForwardConfig{
			Settings: settings, Log: zap.NewNop(),
			DialEndpoint: func(ctx context.Context, network, address string) (net.Conn, error) {
				return new(net.Dialer).DialContext(ctx, network, reachable[address])
			},
		})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			require.NoError(t, err)
		}
	})
	return p
}
