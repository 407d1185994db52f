package assembler

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/forwarder"
	"geraniumline/guarder"
	"geraniumline/messenger"
	"geraniumline/meter"
	"geraniumline/platform"
	"geraniumline/switcher"
)

const (
	// peerDialTimeout bounds the opening of a connection to a peer, some twenty times the way there and back in a region.
	// VMs that are down do not answer at all: tries of a second each kept entries that had all lost power at once from
	// hearing each other for 1.5 s after their start.
	peerDialTimeout = 250 * time.Millisecond
	// headerTimeout bounds the reading of a request's header; the platform's callers take less.
	headerTimeout = 5 * time.Second
	// maxHeader bounds a request's header; the platform allows 16 KB.
	maxHeader = 32 << 10
	// stopMargin is kept of the time before a stopping process is killed.
	stopMargin = 900 * time.Millisecond
	// defaultIdle is how long callers' idle connections stay open before a configuration says it.
	defaultIdle = 75 * time.Second
	// idlePoll is how often callers' idle connections are looked at.
	idlePoll = time.Second
	// memoryShare is the part of the memory allowed at which the collector of garbage works harder. What the kernel
	// holds for the process counts too, and a process over the limit is killed.
	memoryShare = 0.7
	// addressTTL is how long callers keep the addresses of entries, some of them three times as long. A stopping
	// entry serves until most answers have lapsed, and must end well inside the time before it is killed.
	addressTTL = time.Second
)

// peerSecret keeps processes of other systems out of the peers' connections. The platform gives its processes no
// secret; who may reach the peers' port is for its network to say.
var peerSecret = sha256.Sum256([]byte("geraniumline entries on one platform"))

// ForwardConfig holds what an entry on the users' platform is built from.
type ForwardConfig struct {
	Settings platform.Settings
	Log      *zap.Logger
	// Off are the mechanisms of policy that are switched off.
	Disabled switcher.Disabled
	// MetricsPort serves the metrics on the VM's address; 0 serves none.
	MetricsPort int
}

// MetricsPath is where the metrics are served in the Prometheus text form.
const MetricsPath = "/metrics"

// forwarding is the parts of an entry that forwards between the platform's callers and endpoints.
type forwarding struct {
	settings    platform.Settings
	metricsPort int

	log       *zap.Logger
	forwarder *forwarder.Forwarder
	messenger *messenger.Messenger
	servers   []*http.Server
	idle      *idleConnections
	meter     *meter.Meter
}

// RunForwarding runs an entry on the users' platform until a planned stop, begun by SIGTERM, is done.
func RunForwarding(ctx context.Context, cfg ForwardConfig) error {
	now := time.Now()
	settings := cfg.Settings
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	logger := cfg.Log.With(zap.String("entry", settings.Name))
	if names := cfg.Disabled.Names(); len(names) > 0 {
		logger.Warn("mechanisms are switched off", zap.Strings("mechanisms", names))
	}
	e := &forwarding{settings: settings, log: logger, idle: newIdleConnections(), meter: meter.New(), metricsPort: cfg.MetricsPort}
	e.forwarder = forwarder.New(forwarder.Config{
		Name:          settings.Name,
		Zone:          settings.Zone,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		Seeds:         settings.Seeds,
		Capacity:      forwarder.CapacityOf(settings.Cores, settings.LinkMbps),
		Incarnation:   uint64(now.UnixNano()),
		FirstStart:    settings.FirstStart,
		Regions:       settings.Regions,
		ColdExcess:    settings.ColdExcess,
		ColdSlack:     settings.ColdSlack,
		AddressTTL:    min(addressTTL, settings.AddressTTL),
		RetryRatio:    settings.RetryRatio,
		RetrySlack:    settings.RetrySlack,
		Off:           cfg.Disabled,
		Wire:          platform.Dialect{},
		Client:        connector.New(connector.Config{}),
		DecodeConfig:  platform.DecodeConfig,
		Log:           logger,
		Meter:         e.meter,
	}, now)
	if err := e.openPeers(); err != nil {
		return err
	}
	listeners, err := e.listen()
	if err != nil {
		return errors.Join(err, e.messenger.Close())
	}
	return e.run(ctx, listeners)
}

func (e *forwarding) openPeers() error {
	l, err := net.Listen("tcp", e.settings.PeerAddress)
	if err != nil {
		return &guarder.ListenError{Field: "PeerAddress", Address: e.settings.PeerAddress, Err: err}
	}
	e.messenger = messenger.New(messenger.Config{
		Listen:  l,
		Name:    e.settings.Name,
		Key:     peerSecret[:],
		Handler: e.forwarder.HandleMessage,
		Refused: e.forwarder.RecordConnectionRefused,
		Log:     e.log,

		DialTimeout: peerDialTimeout,
		Registry:    e.meter.Registry(),
	})
	e.forwarder.SetSender(e.messenger)
	return nil
}

// socket is one address and what is served there.
type socket struct {
	address string
	server  *http.Server
}

func (e *forwarding) sockets() []socket {
	callers := &http.Server{
		Handler:           e.forwarder,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       -1,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       guarder.FramingContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			guarder.FramingState(c, state)
			e.idle.note(c, state, time.Now())
		},
	}
	list := []socket{{e.settings.CallerAddress, callers}}
	for address, mux := range e.smallHandlers() {
		list = append(list, socket{address, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}})
	}
	return list
}

// smallHandlers serves readiness and addresses, which may share a port.
func (e *forwarding) smallHandlers() map[string]*http.ServeMux {
	muxes := make(map[string]*http.ServeMux)
	add := func(address, path string, h http.Handler) {
		if address == "" {
			return
		}
		if muxes[address] == nil {
			muxes[address] = http.NewServeMux()
		}
		muxes[address].Handle(path, h)
	}
	add(e.settings.ReadyAddress, platform.ReadyPath, http.HandlerFunc(e.forwarder.ServeReady))
	if e.metricsPort > 0 {
		address := net.JoinHostPort(e.settings.IP, strconv.Itoa(e.metricsPort))
		add(address, MetricsPath, e.meter.PrometheusHandler())
	}
	add(e.settings.AddressesAddress, platform.AddressesPath, platform.AddressesHandler(e.forwarder.Addresses))
	return muxes
}

func (e *forwarding) listen() ([]net.Listener, error) {
	var listeners []net.Listener
	for _, s := range e.sockets() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			for _, open := range listeners {
				err = errors.Join(err, open.Close())
			}
			return nil, &guarder.ListenError{Field: "Listen", Address: s.address, Err: err}
		}
		listeners = append(listeners, guarder.FramingListener(l))
		e.servers = append(e.servers, s.server)
	}
	return listeners, nil
}

func (e *forwarding) run(ctx context.Context, listeners []net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	e.log.Info("started", zap.String("callers", e.settings.CallerAddress))
	background := e.startBackground(ctx, listeners)
	for {
		select {
		case <-ctx.Done():
		case s := <-signals:
			if s == syscall.SIGHUP {
				e.log.Info("settings were changed; none that is used here changes while a process runs")
				continue
			}
		}
		break
	}
	e.stop(ctx)
	cancel()
	background.Wait()
	e.log.Info("stopped")
	return nil
}

// startBackground starts all that runs beside the requests.
func (e *forwarding) startBackground(ctx context.Context, listeners []net.Listener) *sync.WaitGroup {
	var background sync.WaitGroup
	store := platform.NewStore(platform.StoreConfig{Address: e.settings.StoreAddress, Log: e.log})
	directory := &platform.Directory{
		Store: store,
		Self:  platform.Peer{Name: e.settings.Name, Address: e.settings.PeerAddress, Zone: e.settings.Zone},
		Sink:  e.forwarder,
		Log:   e.log,
		Meter: e.meter,
	}
	watcher := &platform.Watcher{
		Store: store,
		Sink:  e.forwarder,
		Log:   e.log,
		Meter: e.meter,

		RecoveryTime: e.settings.RecoveryTime,
	}
	background.Go(func() { watcher.WatchConfig(ctx) })
	background.Go(func() { watcher.WatchEndpoints(ctx) })
	background.Go(func() { directory.Run(ctx) })
	background.Go(func() { e.forwarder.Run(ctx) })
	background.Go(func() { e.closeIdle(ctx) })
	background.Go(func() {
		if err := e.messenger.Serve(ctx); err != nil && ctx.Err() == nil {
			e.log.Error("peers are not served any more", zap.Error(err))
		}
	})
	for i, l := range listeners {
		background.Go(func() {
			if err := e.servers[i].Serve(l); !errors.Is(err, http.ErrServerClosed) {
				e.log.Error("socket is not served any more", zap.Stringer("address", l.Addr()), zap.Error(err))
			}
		})
	}
	return &background
}

// closeIdle closes callers' connections that are idle for longer than the configuration allows.
func (e *forwarding) closeIdle(ctx context.Context) {
	poll := time.NewTicker(idlePoll)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-poll.C:
			limit := defaultIdle
			if c := e.forwarder.Catalog(); c != nil && c.Limits().IdleTimeout > 0 {
				limit = c.Limits().IdleTimeout
			}
			e.idle.close(now, limit)
		}
	}
}

// stop ends the process without cutting a request.
func (e *forwarding) stop(ctx context.Context) {
	limit := max(e.settings.StopTime-stopMargin, time.Second)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit+stopMargin/2)
	defer cancel()
	e.forwarder.Stop(stopCtx, limit)
	for _, s := range e.servers {
		if err := s.Shutdown(stopCtx); err != nil {
			e.log.Warn("requests were still in flight at the end", zap.Error(err))
		}
	}
	if err := e.messenger.Close(); err != nil {
		e.log.Warn("peers' connections were not closed", zap.Error(err))
	}
}
