package assembler

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"geraniumline/platform"
	"geraniumline/platform/imitator"
)

const forwardPatience = 20 * time.Second

// node is one entry that runs in the test's process.
type node struct {
	callers, ready, addresses, peers string
	// metrics is where the entry serves its metrics.
	metrics string
	stop    context.CancelFunc
	done    chan error
}

// fleet is entries before a platform of stand-ins.
type fleet struct {
	t     *testing.T
	site  *imitator.Site
	nodes []*node
	log   *zap.Logger
}

// newFleet starts n entries and waits until all are ready and know of each other.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetBefore(t, imitator.NewSite(), n)
}

// newFleetBefore starts n entries before a site that the test has set up.
func newFleetBefore(t *testing.T, site *imitator.Site, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, site: site, log: zap.NewNop()}
	t.Cleanup(f.close)
	for range n {
		f.start("")
	}
	f.await()
	return f
}

// startOptions tells in what an entry's settings differ from the others'.
type startOptions struct {
	// store is the address of another store than the site's.
	store string
	// seedless names none of the living entries.
	seedless bool
}

// start starts one more entry; a store address replaces the site's.
func (f *fleet) start(store string) *node {
	f.t.Helper()
	return f.startWith(startOptions{store: store})
}

// startCut starts one more entry, which the store leaves without an answer.
func (f *fleet) startCut() *node {
	f.t.Helper()
	cut := imitator.NewStore()
	cut.SetOutage(imitator.Silent)
	f.t.Cleanup(cut.Close)
	return f.start(cut.Address())
}

func (f *fleet) startWith(o startOptions) *node {
	f.t.Helper()
	var seeds []string
	for _, n := range f.nodes {
		if !o.seedless {
			seeds = append(seeds, n.peers)
		}
	}
	nd := &node{done: make(chan error, 1)}
	var file string
	name := fmt.Sprintf("entry-%d", len(f.nodes))
	file, nd.callers, nd.ready, nd.addresses, nd.peers = f.site.Settings(f.t, name, seeds...)
	settings, err := platform.LoadSettings(file)
	require.NoError(f.t, err)
	if o.store != "" {
		settings.StoreAddress = o.store
	}
	ctx, cancel := context.WithCancel(context.Background())
	nd.stop = cancel
	nd.metrics = imitator.FreeAddress(f.t)
	_, port, err := net.SplitHostPort(nd.metrics)
	require.NoError(f.t, err)
	cfg := ForwardConfig{Settings: settings, Log: f.log}
	cfg.MetricsPort, err = strconv.Atoi(port)
	require.NoError(f.t, err)
	go func() { nd.done <- RunForwarding(ctx, cfg) }()
	f.nodes = append(f.nodes, nd)
	return nd
}

// await waits until each entry is ready and names all of them to callers.
func (f *fleet) await() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, nd := range f.nodes {
			addresses, err := imitator.Addresses(f.t.Context(), nd.addresses)
			if err != nil || len(addresses) != len(f.nodes) || !imitator.Ready(f.t.Context(), nd.ready) {
				return false
			}
		}
		return true
	}, forwardPatience, 10*time.Millisecond)
}

func (f *fleet) close() {
	var group sync.WaitGroup
	for _, nd := range f.nodes {
		nd.stop()
		group.Go(func() { require.NoError(f.t, <-nd.done) })
	}
	group.Wait()
	f.site.Close()
}

// ask gives a request of the account to an entry.
func (f *fleet) ask(entry int, path, id string) imitator.Request {
	return imitator.Request{Address: f.nodes[entry].callers, Path: path, ID: id, Key: imitator.Key}
}

func (f *fleet) call(a imitator.Request) imitator.Response {
	f.t.Helper()
	reply, err := a.Call(f.t.Context())
	require.NoError(f.t, err)
	return reply
}

// runs lists the runs of an attempt at all endpoints.
func (f *fleet) runs(id string) []imitator.Run {
	var all []imitator.Run
	for _, e := range f.site.Endpoints {
		for _, run := range e.Runs() {
			if run.Attempt == id {
				all = append(all, run)
			}
		}
	}
	return all
}

// fail lets both endpoints of a service fail.
func (f *fleet) fail(service string, fault imitator.Fault, n int) {
	for i := range 2 {
		f.site.Endpoint(fmt.Sprintf("i-%s-%d", service, i)).InjectFault(fault, n)
	}
}

// metric reads one metric of an entry.
func (f *fleet) metric(entry int, name string) string {
	f.t.Helper()
	resp, err := http.Get("http://" + f.nodes[entry].metrics + MetricsPath)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
