package crowder

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform"
	"geraniumline/platform/imitator"
	"geraniumline/starter"
)

const (
	// memoryMb is the memory of the smallest VM.
	memoryMb = 144
	// maxFds leaves maxFds-reservedFds descriptors to sockets.
	maxFds      = 512
	reservedFds = 200
	// maxBody is the largest body that the configuration allows, in bytes.
	maxBody = 4 << 20
	// bodyClients of the largest body hold 256 MB.
	bodyClients = 64
	// idleClients need more descriptors than maxFds.
	idleClients = 600
	// pieceClients ask for 4,096 pieces of each of two stages.
	pieceClients = 300
	// lineClients with lineRequests each, whose targets of lineBytes are logged at six times their length, fill the log's buffer
	// with 344 MB.
	lineClients  = 64
	lineRequests = 100
	lineBytes    = 14_000
	// headClients with headBytes each hold 256 MB.
	headClients = 300
	headBytes   = 900 << 10
	// readerInterval is the time between two clients that read no response.
	readerInterval = 30 * time.Millisecond
	// settleTime is how long a crowd stays at least after it has sent all that it could.
	settleTime = time.Second
	// crowdTimeout is until when a crowd's requests wait for their responses.
	crowdTimeout = 30 * time.Second
	// callTimeout ends a test in which no request is answered.
	callTimeout = time.Minute
)

// process is a running entry with stand-ins for all that it talks to.
type process struct {
	t       *testing.T
	site    *imitator.Site
	listen  imitator.ListenAddresses
	process *starter.Process
	watch   *Watch
}

// startFunc starts an entry's process.
type startFunc func(binary, dir, name, variable, settings string) (*starter.Process, error)

// startConfig configures the start of a process.
type startConfig struct {
	start startFunc
	// seeds are the addresses of peers.
	seeds []string
}

// startForward starts an entry with the limits of the smallest VM and begins to watch it. All plain requests wait at their
// endpoints; streams are answered.
func startForward(t *testing.T) *process {
	t.Helper()
	return startForwardBy(t, starter.StartForward)
}

// startForwardBy is like startForward, and starts the process in the given way.
func startForwardBy(t *testing.T, start startFunc) *process {
	t.Helper()
	return startForwardAt(t, imitator.NewSite(), startConfig{start: start})
}

// startForwardAt is like startForward, at a site that the test has set up.
func startForwardAt(t *testing.T, site *imitator.Site, cfg startConfig) *process {
	t.Helper()
	if cfg.start == nil {
		cfg.start = starter.StartForward
	}
	p := &process{t: t, site: site}
	t.Cleanup(p.site.Close)
	p.site.MaxBodyBytes = maxBody
	p.site.SetTimeouts(crowdTimeout)
	p.site.Configure()
	for _, e := range p.site.Endpoints[:2] {
		e.InjectFault(imitator.Hanging, -1)
	}
	var err error
	p.listen, err = imitator.FreeListenAddresses()
	require.NoError(t, err)
	dir := t.TempDir()
	settings, err := p.site.WriteSettings(dir, imitator.EntrySettings{
		Name: "entry", Seeds: cfg.seeds, Listen: p.listen, MemoryMb: memoryMb, MaxFds: maxFds,
	})
	require.NoError(t, err)
	p.process, err = cfg.start(filepath.Join(bin, "geraniumline"), dir, "entry", platform.SettingsVariable, settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.process.Kill()) })
	require.Eventually(t, func() bool { return imitator.Ready(t.Context(), p.listen.Ready) }, callTimeout, 20*time.Millisecond)
	p.watch = NewWatch(p.process.PID())
	return p
}

// requireAnswer sends ordinary requests, each after the one before was refused, until one is answered.
func (p *process) requireAnswer(id, body string) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), callTimeout)
	defer cancel()
	last := "no request"
	for n := 0; ctx.Err() == nil; n++ {
		request := imitator.Request{
			Address: p.listen.Callers, Path: imitator.StreamPath, ID: fmt.Sprintf("%s-%d", id, n), Key: imitator.Key, Timeout: 10 * time.Second, Body: body,
		}
		reply, err := request.Call(ctx)
		if err == nil && reply.Status == http.StatusOK {
			require.Equal(p.t, imitator.StreamAnswer(request.ID), reply.Body)
			return
		}
		last = fmt.Sprintf("status %d, %v", reply.Status, err)
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(p.t, "no ordinary request was answered", last)
}

// requireBounds requires that the process lives, is ready, and has stayed within its limits.
func (p *process) requireBounds() {
	p.t.Helper()
	_, ended := p.process.Wait(0)
	require.False(p.t, ended, "the process has ended")
	require.Eventually(p.t, func() bool { return imitator.Ready(p.t.Context(), p.listen.Ready) }, callTimeout, 100*time.Millisecond)
	usage, err := p.watch.Stop()
	require.NoError(p.t, err)
	p.t.Logf("held %d MB and %d descriptors at most", usage.MemoryBytes>>20, usage.Descriptors)
	require.Less(p.t, usage.MemoryBytes, int64(memoryMb)<<20, "bytes of memory")
	require.Less(p.t, usage.Descriptors, maxFds-reservedFds, "descriptors")
}

// head returns the head of a request but for its body's length.
func head(path, key string) string {
	return imitator.Request{Path: path, ID: "crowd", Key: key, Timeout: crowdTimeout}.Head()
}

// Guards against clients that make a process hold more memory or descriptors than its VM has: what each may hold is bounded,
// but not what all of them hold.
func TestForwardOutlivesACrowd(t *testing.T) {
	callers := func(l imitator.ListenAddresses) string { return l.Callers }
	ready := func(l imitator.ListenAddresses) string { return l.Ready }
	addresses := func(l imitator.ListenAddresses) string { return l.Addresses }
	peers := func(l imitator.ListenAddresses) string { return l.Peers }
	plain := head(imitator.PlainPath, imitator.Key)
	unknown := head(imitator.PlainPath, "unknown-key")
	manyPieces := imitator.Request{Path: imitator.StagesPath, ID: "crowd", Key: imitator.Key, Timeout: crowdTimeout, Pieces: "4096,4096"}
	for _, tc := range []struct {
		name    string
		clients int
		address func(imitator.ListenAddresses) string
		script  Script
	}{
		{"whole bodies that wait", bodyClients, callers, Body(plain, maxBody, maxBody)},
		{"bodies that stop before their end", bodyClients, callers, Body(plain, maxBody, maxBody-1)},
		{"large chunks that stop before their end", bodyClients, callers, ChunkedBody(plain, 256<<10, maxBody-1)},
		{"small chunks that stop before their end", bodyClients, callers, ChunkedBody(plain, 16, maxBody-1)},
		{"bodies over the limit announced", bodyClients, callers, Body(plain, 1<<30, 64<<20)},
		{"bodies over the limit sent", bodyClients, callers, ChunkedBody(plain, 64<<10, 64<<20)},
		{"bodies of refused requests", idleClients, callers, Body(unknown, 1000, 10)},
		{"requests sent ahead", idleClients, callers, Bytes(plain + "Content-Length: 0\r\n\r\n" + string(make([]byte, 512<<10)))},
		{"requests for many pieces", pieceClients, callers, Bytes(manyPieces.Head() + "Content-Length: 0\r\n\r\n")},
		{"unfinished heads of callers", idleClients, callers, UnfinishedHead(30 << 10)},
		{"idle connections of callers", idleClients, callers, Idle},
		{"unfinished heads at the readiness check", headClients, ready, UnfinishedHead(headBytes)},
		{"idle connections of the readiness check", idleClients, ready, Idle},
		{"unfinished heads at the addresses", headClients, addresses, UnfinishedHead(headBytes)},
		{"idle connections of the addresses", idleClients, addresses, Idle},
		{"idle connections of peers", idleClients, peers, Idle},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := startForward(t)
			crowd := Start(Config{Address: tc.address(p.listen), Clients: tc.clients, Script: tc.script})
			defer crowd.Close()
			crowd.AwaitSent()
			time.Sleep(settleTime)
			p.requireAnswer("ordinary", "a question")
			p.requireBounds()
		})
	}
}

// Guards against crowds at several listeners that each stay within a limit of their own, and take too much together.
func TestForwardOutlivesAllCrowdsTogether(t *testing.T) {
	p := startForward(t)
	p.requireAnswer("first", "a question")
	plain := head(imitator.PlainPath, imitator.Key)
	var crowds []*Crowd
	for _, cfg := range []Config{
		{Address: p.listen.Callers, Clients: bodyClients, Script: Body(plain, maxBody, maxBody)},
		{Address: p.listen.Callers, Clients: bodyClients, Script: ChunkedBody(plain, 256<<10, maxBody-1)},
		{Address: p.listen.Callers, Clients: idleClients, Script: Bytes(plain + "Content-Length: 0\r\n\r\n")},
		{Address: p.listen.Callers, Clients: idleClients, Script: Idle},
		{Address: p.listen.Ready, Clients: headClients, Script: UnfinishedHead(headBytes)},
		{Address: p.listen.Addresses, Clients: idleClients, Script: Idle},
		{Address: p.listen.Peers, Clients: idleClients, Script: Idle},
	} {
		crowds = append(crowds, Start(cfg))
	}
	m := newPeer(t)
	var calls sync.WaitGroup
	for range relayClients {
		calls.Go(func() { sendRelayCall(t, m, p, maxBody-1) })
	}
	calls.Wait()
	for _, crowd := range crowds {
		defer crowd.Close()
		crowd.AwaitSent()
	}
	time.Sleep(settleTime)
	p.requireAnswer("ordinary", "a question")
	p.requireBounds()
}

// Guards against complete responses that pile up in memory because nobody reads them.
func TestForwardOutlivesClientsThatDontRead(t *testing.T) {
	p := startForward(t)
	for _, e := range p.site.Endpoints[:2] {
		e.AnswerPadding = maxBody
		e.InjectFault(imitator.Healthy, 0)
	}
	crowd := Start(Config{
		Address: p.listen.Callers, Clients: bodyClients, ReceiveBuffer: 4 << 10,
		Script: Staggered(readerInterval, Bytes(head(imitator.PlainPath, imitator.Key)+"Content-Length: 0\r\n\r\n")),
	})
	defer crowd.Close()
	crowd.AwaitSent()
	time.Sleep(settleTime)
	p.requireAnswer("ordinary", "a question")
	p.requireBounds()
}

// Guards against log lines that pile up in memory, long as their senders have made them, because nobody reads the log.
func TestForwardOutlivesALogThatIsNotRead(t *testing.T) {
	p := startForwardBy(t, starter.StartUnread)
	target := "/" + strings.Repeat("\xff", lineBytes)
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, imitator.Host)
	crowd := Start(Config{Address: p.listen.Callers, Clients: lineClients, Script: Bytes(strings.Repeat(request, lineRequests))})
	defer crowd.Close()
	crowd.AwaitSent()
	time.Sleep(settleTime)
	p.requireAnswer("ordinary", "a question")
	p.requireBounds()
}

// Guards against a refusal that waits for a body that never comes, and holds the connection meanwhile.
func TestForwardRefusesARequestBeforeItsBody(t *testing.T) {
	p := startForward(t)
	conn, err := net.Dial("tcp", p.listen.Callers)
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(callTimeout)))
	require.NoError(t, Body(head(imitator.PlainPath, "unknown-key"), 1000, 10)(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	p.requireBounds()
}

// Guards against limits that leave no room for a request that the configuration allows.
func TestForwardServesTheLongestBody(t *testing.T) {
	p := startForward(t)
	p.requireAnswer("longest", string(make([]byte, maxBody)))
	p.requireBounds()
}
