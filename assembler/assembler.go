// Package assembler wires an entry together from its settings and runs it until it stops.
package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"geraniumline/appender"
	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/guarder"
	"geraniumline/loader"
	"geraniumline/messenger"
	"geraniumline/meter"
	"geraniumline/performer"
	"geraniumline/placer"
	"geraniumline/platformserver"
	"geraniumline/reducer"
	"geraniumline/tracer"
)

const (
	// shutdownTimeout bounds the delivery of replies that the core has already completed.
	shutdownTimeout = 5 * time.Second
	// maxDeadline is the longest deadline that a caller may request.
	maxDeadline = 10 * time.Minute
	// stageTimeout is how long an endpoint may send nothing during a call.
	stageTimeout = 5 * time.Second
	// appendTimeout is how long an append to the log may take before its outcome counts as uncertain.
	appendTimeout = 2 * time.Second
	// pollWait is how long one read of the log waits for a record. It is well below the silence after which
	// the core considers the log unreadable.
	pollWait = time.Second
	// serviceMemoryRatio is the share of the allowed memory that responses of the platform's services may hold; one of them may
	// hold half of it.
	serviceMemoryRatio = 0.2
)

// Config holds the settings and the logger of an entry.
type Config struct {
	Settings loader.Settings
	Log      *zap.Logger
}

// entry holds the components of a running entry.
type entry struct {
	cfg       Config
	meter     *meter.Meter
	tracer    *tracer.Tracer
	messenger *messenger.Messenger
	performer *performer.Performer
	// admission bounds the memory of callers' and operators' requests.
	admission *guarder.Admission
}

// Run serves until ctx ends or a planned stop, started by SIGTERM, SIGINT or an operator, is complete.
func Run(ctx context.Context, cfg Config) error {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(cfg.Settings.MemoryBytes)))
	e := &entry{cfg: cfg, meter: meter.New()}
	peers, err := e.openPeers()
	if err != nil {
		return err
	}
	if err := e.build(peers); err != nil {
		return errors.Join(err, peers.Close())
	}
	opened, err := e.openSockets()
	if err != nil {
		return errors.Join(err, peers.Close())
	}
	return e.run(ctx, opened)
}

// build creates the components and connects them to each other.
func (e *entry) build(peers net.Listener) error {
	s := e.cfg.Settings
	now := time.Now()
	traces, err := tracer.New(e.traceConfig())
	if err != nil {
		return oops.In("assembler").Wrap(err)
	}
	e.tracer = traces
	services := appender.NewHTTPClient(connector.NewBudget(int64(serviceMemoryRatio * float64(s.MemoryBytes))))
	vms, err := platformserver.NewClient(s.VMsURL, platformserver.WithClient(services))
	if err != nil {
		return oops.In("assembler").Wrap(err)
	}
	logs, err := appender.New(appender.Config{URL: s.LogURL, HTTP: services, AppendTimeout: appendTimeout, PollWait: pollWait})
	if err != nil {
		return oops.In("assembler").Wrap(err)
	}
	incarnation := uint64(now.UnixMicro())
	core := reducer.New(coreConfig(s, incarnation), now)
	e.messenger = messenger.New(messenger.Config{
		Listen:    peers,
		Name:      s.Name,
		Key:       s.Key(),
		OtherKeys: s.OtherKeys(),
		Handler:   func(from string, m carrier.Message) { e.performer.ReceivePeerMessage(from, m) },
		OnRefused: func(address string) { e.performer.ReportPeerRefused(address) },
		Log:       e.cfg.Log,
		Registry:  e.meter.Registry(),
	})
	e.performer = performer.New(performer.Config{
		Entry:           s.Name,
		Incarnation:     incarnation,
		Appender:        logs,
		VMs:             vms,
		Messenger:       e.messenger,
		Endpoints:       &http.Client{Transport: performer.EndpointTransport()},
		Responses:       connector.NewBudget(int64(responseMemoryRatio * float64(s.MemoryBytes))),
		Meter:           e.meter,
		Tracer:          traces,
		Log:             e.cfg.Log,
		VMListEvery:     s.VMListMillis.Duration(),
		LoadReportEvery: s.LoadReportMillis.Duration(),
	}, core)
	return nil
}

func (e *entry) traceConfig() tracer.Config {
	s := e.cfg.Settings
	return tracer.Config{
		Entry:      s.Name,
		Zone:       s.Zone,
		Region:     s.Region,
		MaxTraces:  int(s.Traces.Kept),
		OTLPURL:    s.Traces.OTLPURL,
		QueueSize:  int(s.Traces.QueueSize),
		OnDropped:  func(spans int) { e.meter.Counter(meter.SpansDropped).Inc(int64(spans)) },
		OnExported: func(spans int) { e.meter.Counter(meter.SpansExported).Inc(int64(spans)) },
	}
}

func coreConfig(s loader.Settings, incarnation uint64) reducer.Config {
	return reducer.Config{
		Entry:          s.Name,
		Incarnation:    incarnation,
		Zone:           s.Zone,
		CallerAddress:  s.CallerAdvertiseAddress(),
		PeerAddress:    s.PeerAdvertiseAddress(),
		SeedPeers:      s.SeedPeers,
		Seed:           incarnation,
		HeartbeatEvery: s.HeartbeatMillis.Duration(),
		SuspectAfter:   s.SuspectMillis.Duration(),
		DeadAfter:      s.DeadMillis.Duration(),
		AddressTTL:     s.AddressTTLMillis.Duration(),
		DrainGrace:     s.DrainMillis.Duration(),
		ClaimWindow:    s.ClaimWindowMillis.Duration(),
		AppendTimeout:  appendTimeout,
		KeyHorizon:     s.KeyHorizonMillis.Duration(),
		SnapshotEvery:  s.SnapshotMillis.Duration(),
		MaxDeadline:    maxDeadline,
		StageTimeout:   stageTimeout,
		Placer: placer.Config{
			LoadsPerSecond: float64(s.WeightLoadsPerMinute) / time.Minute.Seconds(),
			LoadBurst:      int(s.WeightLoadBurst),
		},
	}
}

// run serves until the core has stopped, then shuts down the servers.
func (e *entry) run(ctx context.Context, opened sockets) error {
	serveCtx, stopServing := context.WithCancel(ctx)
	defer stopServing()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(opened.callers.Serve)
	group.Go(opened.operators.Serve)
	group.Go(func() error { return ignoreCanceled(e.messenger.Serve(groupCtx)) })
	go e.watchSignals(groupCtx)
	group.Go(func() error {
		defer stopServing()
		err := e.performer.Run(groupCtx)
		e.shutDown(opened)
		return ignoreCanceled(err)
	})
	e.cfg.Log.Info("entry", zap.String("subject", e.cfg.Settings.Name), zap.String("to", "serving"), zap.String("callers", opened.callers.Address()))
	return group.Wait()
}

// watchSignals starts a planned stop on SIGTERM or SIGINT. Further signals do not speed it up, since that would
// cut off requests in flight.
func (e *entry) watchSignals(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			e.performer.Post(reducer.StopSignalReceived{})
		}
	}
}

// shutDown stops the servers, the messenger and the tracer. Remaining replies have up to shutdownTimeout to reach their
// callers.
func (e *entry) shutDown(opened sockets) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := errors.Join(
		opened.callers.Shutdown(ctx),
		opened.operators.Shutdown(ctx),
		e.messenger.Flush(ctx),
		e.messenger.Close(),
		e.tracer.Close(ctx),
	)
	if err != nil {
		e.cfg.Log.Warn("entry", zap.String("subject", e.cfg.Settings.Name), zap.String("to", "stopped"), zap.Error(err))
	}
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
