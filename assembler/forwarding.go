package assembler

import (
	"cmp"
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

	"geraniumline/budgeter"
	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/forwarder"
	"geraniumline/guarder"
	"geraniumline/messenger"
	"geraniumline/meter"
	"geraniumline/platform"
	"geraniumline/proxier"
	"geraniumline/switcher"
)

const (
	// peerDialTimeout bounds dialing a peer; it is about twenty times the round trip within a region. VMs that are down
	// do not answer at all: with attempts of a second each, entries that had all lost power at once did not reach each
	// other until 1.5 s after their start.
	peerDialTimeout = 250 * time.Millisecond
	// peerIdleTimeout closes unused connections to peers. When a large fleet starts, an entry exchanges messages with many
	// more peers than later.
	peerIdleTimeout = 10 * time.Second
	// headerTimeout bounds reading a request header; the platform's callers need less.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes bounds the size of a request header; the platform allows 16 KB.
	maxHeaderBytes = 32 << 10
	// stopMargin is the part of the platform's stop time that is reserved for exiting before the process is killed.
	stopMargin = 900 * time.Millisecond
	// relaySocketShare is the share of the sockets for the connections on which peers have calls relayed, and pendingSocketShare
	// that for the ones of peers that have not proved yet who they are. minPeerSockets is the least number of each.
	relaySocketShare   = 0.07
	pendingSocketShare = 0.03
	minPeerSockets     = 8
	// auxiliaryWriteTimeout and auxiliaryIdleTimeout bound connections for readiness checks, addresses and metrics.
	auxiliaryWriteTimeout = 10 * time.Second
	auxiliaryIdleTimeout  = 15 * time.Second
	// defaultIdleTimeout is how long idle caller connections stay open as long as no configuration sets a timeout.
	defaultIdleTimeout = 75 * time.Second
	// idleCheckInterval is how often caller connections are checked for idleness.
	idleCheckInterval = time.Second
	// memoryLimitRatio is the Go memory limit as a fraction of the allowed memory. It is below 1 because memory that the
	// kernel holds for the process counts too, and a process over the limit is killed.
	memoryLimitRatio = 0.7
	// responseMemoryRatio is the share of the allowed memory that endpoints' incomplete responses may hold.
	responseMemoryRatio = 0.1
	// gcPercent lets the heap grow by half of the live data before it is collected. Most of an entry's data is the list of
	// endpoints, which rarely changes, so that collections stay rare.
	gcPercent = 50
	// addressTTL is how long callers may cache the addresses of entries; some cache them three times as long. A stopping
	// entry serves until most cached addresses have expired, and must exit well before it is killed.
	addressTTL = time.Second
)

// peerSecret keeps processes of other systems from connecting as peers. The platform provides no secret to its
// processes; access to the peer port is controlled by its network.
var peerSecret = sha256.Sum256([]byte("geraniumline entries on one platform"))

// ForwardConfig configures an entry that runs on the users' platform.
type ForwardConfig struct {
	Settings platform.Settings
	Log      *zap.Logger
	// Disabled lists the policy mechanisms that are switched off.
	Disabled switcher.Disabled
	// MetricsPort is the port on the VM's address that serves the metrics; 0 disables it.
	MetricsPort int
	// ClientMemoryShare and ClientSocketShare are the shares of the process's memory and sockets that clients may hold; 0 means
	// the defaults of package budgeter.
	ClientMemoryShare, ClientSocketShare float64
	// DialEndpoint opens connections to endpoints; nil dials by TCP.
	DialEndpoint func(ctx context.Context, network, address string) (net.Conn, error)
}

// MetricsPath is the path that serves the metrics in the Prometheus text format.
const MetricsPath = "/metrics"

// forwarding holds the components of an entry that forwards requests from the platform's callers to its endpoints.
type forwarding struct {
	settings    platform.Settings
	metricsPort int

	log       *zap.Logger
	forwarder *forwarder.Forwarder
	messenger *messenger.Messenger
	servers   []*http.Server
	idle      *idleConnections
	meter     *meter.Meter
	// requests bounds what callers' requests hold, auxiliary what readiness checks, addresses and metrics do.
	requests, auxiliary *guarder.Admission
}

// RunForwarding runs an entry on the users' platform until a planned stop, started by SIGTERM, SIGINT or the end of
// ctx, is complete.
func RunForwarding(ctx context.Context, cfg ForwardConfig) error {
	now := time.Now()
	settings := cfg.Settings
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(settings.MemoryBytes)))
	}
	logger := cfg.Log.With(zap.String("entry", settings.Name))
	if names := cfg.Disabled.Names(); len(names) > 0 {
		logger.Warn("mechanisms are switched off", zap.Strings("mechanisms", names))
	}
	e := &forwarding{settings: settings, log: logger, idle: newIdleConnections(), meter: meter.New(), metricsPort: cfg.MetricsPort}
	e.admit(cfg)
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
		RetryWindow:   settings.RetryWindow,

		ResponseMemory: int64(responseMemoryRatio * float64(settings.MemoryBytes)),

		Admission:    e.requests,
		Disabled:     cfg.Disabled,
		Wire:         platform.Dialect{},
		Client:       connector.New(connector.Config{Dial: cfg.DialEndpoint}),
		DecodeConfig: platform.ConfigDecoder{AccountsOptional: settings.AccountsOptional}.Decode,
		Log:          logger,
		Meter:        e.meter,
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

// admit divides the process's memory and sockets among what clients may connect to.
func (e *forwarding) admit(cfg ForwardConfig) {
	requests, auxiliary := budgeter.Divide(budgeter.Limits{
		MemoryBytes: e.settings.MemoryBytes,
		Sockets:     e.settings.MaxSockets,
		MemoryShare: cfg.ClientMemoryShare,
		SocketShare: cfg.ClientSocketShare,
	})
	e.requests = guarder.NewAdmission(guarder.AdmissionConfig{Socket: socketCaller, Budget: requests, Meter: e.meter, Log: e.log})
	e.auxiliary = guarder.NewAdmission(guarder.AdmissionConfig{Socket: socketAuxiliary, Budget: auxiliary, Meter: e.meter, Log: e.log})
	e.log.Info("limits of clients",
		zap.Int64("requestBytes", requests.Bytes),
		zap.Int64("longestRequestBytes", requests.MaxBytes()),
		zap.Int("requestConnections", requests.Connections),
		zap.Int64("auxiliaryBytes", auxiliary.Bytes),
		zap.Int("auxiliaryConnections", auxiliary.Connections))
}

func (e *forwarding) openPeers() error {
	l, err := net.Listen("tcp", e.settings.PeerAddress)
	if err != nil {
		return &guarder.ListenError{Field: "PeerAddress", Address: e.settings.PeerAddress, Err: err}
	}
	e.messenger = messenger.New(messenger.Config{
		Listen:    l,
		Name:      e.settings.Name,
		Key:       peerSecret[:],
		Handler:   e.forwarder.HandleMessage,
		OnRefused: e.forwarder.RecordConnectionRefused,
		StreamHandler: func(from string, call *carrier.RelayCall, s *messenger.Stream) {
			e.forwarder.ServeRelay(from, call, s)
		},
		Log: e.log,

		MaxStreams:  e.peerSockets(relaySocketShare),
		MaxPending:  min(e.peerSockets(pendingSocketShare), messenger.DefaultMaxPending),
		DialTimeout: peerDialTimeout,
		IdleTimeout: peerIdleTimeout,
		Registry:    e.meter.Registry(),
	})
	e.forwarder.SetSender(e.messenger)
	e.forwarder.SetStreamOpener(func(ctx context.Context, peerAddress string) (proxier.Stream, error) {
		return e.messenger.OpenStream(ctx, peerAddress)
	})
	return nil
}

// peerSockets returns a share of the process's sockets for connections of peers.
func (e *forwarding) peerSockets(share float64) int {
	sockets := cmp.Or(e.settings.MaxSockets, budgeter.DefaultSockets)
	return max(int(share*float64(sockets)), minPeerSockets)
}

// socket is a listen address and the server behind it.
type socket struct {
	address   string
	server    *http.Server
	admission *guarder.Admission
}

func (e *forwarding) sockets() []socket {
	callers := &http.Server{
		Handler:           e.forwarder,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       -1,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       guarder.FramingContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			guarder.FramingState(c, state)
			guarder.AdmissionState(c, state)
			e.idle.track(c, state, time.Now())
		},
	}
	list := []socket{{e.settings.CallerAddress, callers, e.requests}}
	for address, mux := range e.auxiliaryHandlers() {
		list = append(list, socket{address, auxiliaryServer(mux), e.auxiliary})
	}
	return list
}

// auxiliaryServer returns a server for short requests without bodies.
func auxiliaryServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           guarder.AdmittedHandler(handler),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      auxiliaryWriteTimeout,
		IdleTimeout:       auxiliaryIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       guarder.FramingContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			guarder.FramingState(c, state)
			guarder.AdmissionState(c, state)
		},
	}
}

// auxiliaryHandlers returns the handlers for readiness, metrics and addresses by listen address. They may share a port.
func (e *forwarding) auxiliaryHandlers() map[string]*http.ServeMux {
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
		listeners = append(listeners, guarder.FramingListener(s.admission.Listener(l)))
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
				e.log.Info("ignoring SIGHUP: changed settings take effect only at startup")
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

// startBackground starts the servers and the background tasks. The result is done when all of them have returned.
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
	checkpoints := &platform.Checkpoints{Store: store, Sink: e.forwarder, Log: e.log, Meter: e.meter}
	originLog := &platform.OriginLog{Store: store, Sink: e.forwarder, Name: e.settings.Name, Log: e.log, Meter: e.meter}
	partLog := &platform.PartLog{Store: store, Sink: e.forwarder, Log: e.log, Meter: e.meter}
	background.Go(func() { watcher.WatchConfig(ctx) })
	background.Go(func() { watcher.WatchEndpoints(ctx) })
	background.Go(func() { directory.Run(ctx) })
	background.Go(func() { checkpoints.Run(ctx) })
	background.Go(func() { originLog.Run(ctx) })
	background.Go(func() { partLog.Run(ctx) })
	background.Go(func() { e.forwarder.Run(ctx) })
	background.Go(func() { e.closeIdleConnections(ctx) })
	background.Go(func() {
		if err := e.messenger.Serve(ctx); err != nil && ctx.Err() == nil {
			e.log.Error("peer server failed", zap.Error(err))
		}
	})
	for i, l := range listeners {
		background.Go(func() {
			if err := e.servers[i].Serve(l); !errors.Is(err, http.ErrServerClosed) {
				e.log.Error("HTTP server failed", zap.Stringer("address", l.Addr()), zap.Error(err))
			}
		})
	}
	return &background
}

// closeIdleConnections closes caller connections that have been idle for longer than the configuration allows.
func (e *forwarding) closeIdleConnections(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	expired := e.meter.Counter(meter.ConnectionsExpired, socketCaller)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			limit := defaultIdleTimeout
			if c := e.forwarder.Catalog(); c != nil && c.Limits().IdleTimeout > 0 {
				limit = c.Limits().IdleTimeout
			}
			if n := e.idle.closeExpired(now, limit); n > 0 {
				expired.Inc(int64(n))
				e.log.Info("idle connections closed", zap.Int("connections", n), zap.Duration("idleTimeout", limit))
			}
		}
	}
}

// stop drains the entry, then closes the servers and the messenger. Requests may finish within the stop time.
func (e *forwarding) stop(ctx context.Context) {
	timeout := max(e.settings.StopTime-stopMargin, time.Second)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout+stopMargin/2)
	defer cancel()
	e.forwarder.Stop(stopCtx, timeout)
	for _, s := range e.servers {
		if err := s.Shutdown(stopCtx); err != nil {
			e.log.Warn("HTTP server did not shut down cleanly; requests may still have been in flight", zap.Error(err))
		}
	}
	if err := e.messenger.Close(); err != nil {
		e.log.Warn("closing the messenger failed", zap.Error(err))
	}
}
