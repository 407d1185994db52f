package crowder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
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
)

// Guards against endpoints that send without end, and take the memory that other clients' requests need with it.
func TestForwardOutlivesEndlessResponses(t *testing.T) {
	for _, response := range imitator.EndlessCases() {
		t.Run(response.Name, func(t *testing.T) {
			p := startForward(t)
			p.requireAnswer("first", "a question")
			p.playEndless(response, true)
		})
	}
}

// Guards against the same when a peer passes the responses on. It passes on none without a head.
func TestForwardOutlivesEndlessRelayedResponses(t *testing.T) {
	for _, response := range imitator.EndlessCases() {
		if !response.Responds() {
			continue
		}
		t.Run(response.Name, func(t *testing.T) {
			p := startRelayed(t)
			p.requireAnswer("first", "a question")
			p.playEndless(response, false)
		})
	}
}

// playEndless makes all endpoints send a response without end to requests of all kinds, and requires that the process outlives
// it. With peers, some of the requests come from a peer.
func (p *process) playEndless(response imitator.EndlessCase, peers bool) {
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
		if response.Refused {
			break
		}
		require.LessOrEqual(p.t, runs[fmt.Sprintf("endless%s%d", imitator.OncePath, i)], 1, "a request that may run once")
	}
	p.requireAnswer("ordinary", "a question")
	p.requireBounds()
}

// sendEndless sends a request and reads what comes back. It must not be a complete successful response, unless one was sent.
func (p *process) sendEndless(response imitator.EndlessCase, path, id string) {
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
	if !response.Complete && resp.StatusCode == http.StatusOK && err == nil {
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
