// Package assembler builds a whole entry out of its settings and runs it until it is stopped.
package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"geraniumline/appender"
	"geraniumline/carrier"
	"geraniumline/loader"
	"geraniumline/messenger"
	"geraniumline/meter"
	"geraniumline/performer"
	"geraniumline/platformserver"
	"geraniumline/receiver"
	"geraniumline/reducer"
	"geraniumline/tracer"
)

const (
	// shutdownTimeout bounds the end of replies that the core has finished already.
	shutdownTimeout = 5 * time.Second
	// maxDeadline is the longest deadline that a caller may ask for.
	maxDeadline = 10 * time.Minute
	// stageTimeout is how long an endpoint may be silent within a call.
	stageTimeout = 5 * time.Second
	// appendTimeout is how long an append to the log may take before its end is uncertain.
	appendTimeout = 2 * time.Second
	// pollWait is how long one reading of the log waits for a record. It is well under the silence after which
	// the core takes the log for unreadable.
	pollWait = time.Second
)

// Config holds what an entry is built from.
type Config struct {
	Settings loader.Settings
	Log      *zap.Logger
}

// entry is one running entry's parts.
type entry struct {
	cfg       Config
	meter     *meter.Meter
	tracer    *tracer.Tracer
	messenger *messenger.Messenger
	performer *performer.Performer
	listeners listeners
}

// Run serves until ctx ends or a planned stop, begun by SIGTERM or by an operator, is done.
func Run(ctx context.Context, cfg Config) error {
	opened, err := listen(cfg.Settings)
	if err != nil {
		return err
	}
	defer opened.close()
	e, err := build(cfg, opened)
	if err != nil {
		return err
	}
	return e.run(ctx)
}

// build joins the parts.
func build(cfg Config, opened listeners) (*entry, error) {
	s := cfg.Settings
	now := time.Now()
	e := &entry{cfg: cfg, meter: meter.New(), listeners: opened}
	traces, err := tracer.New(tracer.Config{
		Entry:     s.Name,
		Zone:      s.Zone,
		Kept:      int(s.Traces.Kept),
		OTLPURL:   s.Traces.OTLPURL,
		QueueSize: int(s.Traces.QueueSize),
	})
	if err != nil {
		return nil, oops.In("assembler").Wrap(err)
	}
	e.tracer = traces
	vms, err := platformserver.NewClient(s.VMsURL)
	if err != nil {
		return nil, oops.In("assembler").Wrap(err)
	}
	logs, err := appender.New(appender.Config{URL: s.LogURL, AppendTimeout: appendTimeout, PollWait: pollWait})
	if err != nil {
		return nil, oops.In("assembler").Wrap(err)
	}
	incarnation := uint64(now.UnixMicro())
	core := reducer.New(coreConfig(s, incarnation), now)
	e.messenger = messenger.New(messenger.Config{
		Listen:   opened.peer,
		Name:     s.Name,
		Key:      s.Key(),
		Handler:  func(from string, m carrier.Message) { e.performer.TakePeer(from, m) },
		Log:      cfg.Log,
		Registry: e.meter.Registry(),
	})
	e.performer = performer.New(performer.Config{
		Entry:           s.Name,
		Incarnation:     incarnation,
		Appender:        logs,
		VMs:             vms,
		Messenger:       e.messenger,
		Endpoints:       &http.Client{Transport: performer.EndpointTransport()},
		Meter:           e.meter,
		Tracer:          traces,
		Log:             cfg.Log,
		VMListEvery:     s.VMListMillis.Duration(),
		LoadReportEvery: s.LoadReportMillis.Duration(),
	}, core)
	return e, nil
}

func coreConfig(s loader.Settings, incarnation uint64) reducer.Config {
	return reducer.Config{
		Entry:          s.Name,
		Incarnation:    incarnation,
		Zone:           s.Zone,
		CallerAddress:  s.CallerAddressForOthers(),
		PeerAddress:    s.PeerAddressForOthers(),
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
		MaxDeadline:    maxDeadline,
		StageTimeout:   stageTimeout,
	}
}

// run serves until the core is done, then ends the sockets.
func (e *entry) run(ctx context.Context) error {
	callers, err := receiver.NewCallers(receiver.CallersConfig{Core: e.performer, Tracer: e.tracer})
	if err != nil {
		return oops.In("assembler").Wrap(err)
	}
	operators, err := receiver.NewOperators(receiver.OperatorsConfig{Core: e.performer, Tracer: e.tracer, Hashes: operatorHashes(e.cfg.Settings)})
	if err != nil {
		return oops.In("assembler").Wrap(err)
	}
	callerServer := e.server(callers)
	operatorServer := e.server(e.operatorPages(operators))
	served, stopServing := context.WithCancel(ctx)
	defer stopServing()
	group, groupCtx := errgroup.WithContext(served)
	group.Go(func() error { return serve(callerServer, e.listeners.caller) })
	group.Go(func() error { return serve(operatorServer, e.listeners.operator) })
	group.Go(func() error { return ignoreEnd(e.messenger.Serve(groupCtx)) })
	go e.watchSignals(groupCtx)
	group.Go(func() error {
		defer stopServing()
		err := e.performer.Run(groupCtx)
		e.shutDown(callerServer, operatorServer)
		return ignoreEnd(err)
	})
	e.cfg.Log.Info("entry", zap.String("subject", e.cfg.Settings.Name), zap.String("to", "serving"), zap.String("callers", e.cfg.Settings.CallerAddress))
	return group.Wait()
}

// watchSignals makes SIGTERM and SIGINT a planned stop. A second one changes nothing: a stop that
// hurries would cut requests in flight.
func (e *entry) watchSignals(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			e.performer.Post(reducer.StopSignalled{})
		}
	}
}

// shutDown lets the last replies reach their callers.
func (e *entry) shutDown(servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range servers {
		_ = server.Shutdown(ctx)
	}
	_ = e.messenger.Flush(ctx)
	_ = e.messenger.Close()
	_ = e.tracer.Close(ctx)
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return oops.In("assembler").Wrap(err)
	}
	return nil
}

func ignoreEnd(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func operatorHashes(s loader.Settings) map[string]string {
	hashes := map[string]string{}
	for _, operator := range s.Operators {
		hashes[operator.Name] = operator.CredentialSHA256
	}
	return hashes
}
