package assembler

import (
	"cmp"
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

const waitTimeout = 20 * time.Second

// node is an entry that runs in the test process.
type node struct {
	callers, ready, addresses, peers string
	// metrics is the address at which the entry serves its metrics.
	metrics string
	// config is what the entry was started with.
	config ForwardConfig
	stop   context.CancelFunc
	done   chan error
}

// fleet runs entries in front of an imitated platform.
type fleet struct {
	t     *testing.T
	site  *imitator.Site
	nodes []*node
	log   *zap.Logger
}

// newFleet starts n entries and waits until all are ready and have discovered each other.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetAt(t, imitator.NewSite(), n)
}

// newFleetAt starts n entries at a site that the test has set up.
func newFleetAt(t *testing.T, site *imitator.Site, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, site: site, log: zap.NewNop()}
	t.Cleanup(f.close)
	for range n {
		f.start("")
	}
	f.awaitReady()
	return f
}

// startOptions overrides settings of one entry.
type startOptions struct {
	// storeAddress replaces the address of the site's store.
	storeAddress string
	// withoutSeeds starts the entry without any running entry among its seeds.
	withoutSeeds bool
	// firstStart starts the entry as part of the first start of the whole system.
	firstStart bool
	// partition is the link between the entry and all endpoints.
	partition *partition
	// stopTime and addressTTL replace the platform's times if they are positive.
	stopTime, addressTTL time.Duration
	// wrapCallers wraps the entry's listener for callers; nil leaves it as it is.
	wrapCallers func(net.Listener) net.Listener
}

// start starts another entry. A non-empty storeAddress replaces the address of the site's store.
func (f *fleet) start(storeAddress string) *node {
	f.t.Helper()
	return f.startWith(startOptions{storeAddress: storeAddress})
}

// startWithoutStore starts another entry, whose store never answers.
func (f *fleet) startWithoutStore() *node {
	f.t.Helper()
	store := imitator.NewStore()
	store.SetOutage(imitator.Silent)
	f.t.Cleanup(store.Close)
	return f.start(store.Address())
}

func (f *fleet) startWith(o startOptions) *node {
	f.t.Helper()
	var seeds []string
	for _, n := range f.nodes {
		if !o.withoutSeeds {
			seeds = append(seeds, n.peers)
		}
	}
	nd := &node{done: make(chan error, 1)}
	var file string
	name := fmt.Sprintf("entry-%d", len(f.nodes))
	file, nd.callers, nd.ready, nd.addresses, nd.peers = f.site.Settings(f.t, name, seeds...)
	settings, err := platform.LoadSettings(file)
	require.NoError(f.t, err)
	if o.storeAddress != "" {
		settings.StoreAddress = o.storeAddress
	}
	settings.StopTime = cmp.Or(o.stopTime, settings.StopTime)
	settings.AddressTTL = cmp.Or(o.addressTTL, settings.AddressTTL)
	settings.FirstStart = o.firstStart
	nd.metrics = imitator.FreeAddress(f.t)
	_, port, err := net.SplitHostPort(nd.metrics)
	require.NoError(f.t, err)
	cfg := ForwardConfig{Settings: settings, Log: f.log, wrapCallers: o.wrapCallers}
	if o.partition != nil {
		cfg.DialEndpoint = o.partition.dial
	}
	cfg.MetricsPort, err = strconv.Atoi(port)
	require.NoError(f.t, err)
	nd.config = cfg
	nd.run()
	f.nodes = append(f.nodes, nd)
	return nd
}

func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.done <- RunForwarding(ctx, n.config) }()
}

// stopAll ends all entries, so that nothing remains in their memory.
func (f *fleet) stopAll() {
	f.t.Helper()
	for _, nd := range f.nodes {
		nd.stop()
	}
	for _, nd := range f.nodes {
		require.NoError(f.t, <-nd.done)
	}
}

// startAll starts all entries again at their addresses.
func (f *fleet) startAll() {
	f.t.Helper()
	for _, nd := range f.nodes {
		nd.config.Settings.FirstStart = false
		nd.run()
	}
	f.awaitReady()
}

// awaitReady waits until each entry is ready and returns the addresses of all of them to callers.
func (f *fleet) awaitReady() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, nd := range f.nodes {
			addresses, err := imitator.Addresses(f.t.Context(), nd.addresses)
			if err != nil || len(addresses) != len(f.nodes) || !imitator.Ready(f.t.Context(), nd.ready) {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)
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

// newRequest returns a request of the test account to an entry.
func (f *fleet) newRequest(entry int, path, id string) imitator.Request {
	return imitator.Request{Address: f.nodes[entry].callers, Path: path, ID: id, Key: imitator.Key}
}

func (f *fleet) call(request imitator.Request) imitator.Response {
	f.t.Helper()
	reply, err := request.Call(f.t.Context())
	require.NoError(f.t, err)
	return reply
}

// runs returns the runs of an attempt at all endpoints.
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

// injectFault makes both endpoints of a service fail the next n requests, or all if n is negative.
func (f *fleet) injectFault(service string, fault imitator.Fault, n int) {
	for i := range 2 {
		f.site.Endpoint(fmt.Sprintf("i-%s-%d", service, i)).InjectFault(fault, n)
	}
}

// metric returns the value of an entry's metric, or an empty string if there is none.
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
