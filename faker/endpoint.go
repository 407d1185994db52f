package faker

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"geraniumline/endpointserver"
)

// maxStageBodyBytes is the maximum size of the body of a call to an endpoint.
const maxStageBodyBytes = 1 << 20

// EndpointConfig contains the settings that engines and services share. Zero fields take the defaults
// given in brackets.
type EndpointConfig struct {
	// Name is the prefix of the endpoint's stream ids [endpoint].
	Name string
	// Slots is the number of calls that can run concurrently [8].
	Slots int
	// MaxWaiting is the number of further calls that can wait [256]; others are refused with code
	// overloaded.
	MaxWaiting int
	// LoadLag is the age of the data in a load report [200 ms].
	LoadLag time.Duration
	// Seed seeds the random service times, faults by rate and cache event gaps.
	Seed uint64
	// Faults are the initial fault switches.
	Faults Faults
	// OnCrash is called when a call's input contains CrashOnInput. The standin program ends the process in it.
	OnCrash func()
}

func (cfg EndpointConfig) withDefaults() EndpointConfig {
	cfg.Name = valueOrDefault(cfg.Name, "endpoint")
	cfg.Slots = valueOrDefault(cfg.Slots, 8)
	cfg.MaxWaiting = valueOrDefault(cfg.MaxWaiting, 256)
	cfg.LoadLag = valueOrDefault(cfg.LoadLag, 200*time.Millisecond)
	return cfg
}

// Endpoint is a running stand-in for an engine or a service.
type Endpoint struct {
	cfg       EndpointConfig
	processor processor
	faults    *switches[Faults]
	ledger    *ledger
	streams   *streamStore
	queue     *slotQueue
	load      *loadHistory
	fences    *fenceTable
	handler   http.Handler
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
	rngMu     sync.Mutex
	rng       *rand.Rand
}

func newEndpoint(cfg EndpointConfig, processor processor) *Endpoint {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Endpoint{
		cfg:       cfg,
		processor: processor,
		faults:    newSwitches(cfg.Faults),
		ledger:    &ledger{},
		streams:   newStreamStore(streamPrefix(cfg.Name, time.Now())),
		load:      &loadHistory{},
		fences:    &fenceTable{results: make(map[fencedKey]fencedResult)},
		ctx:       ctx,
		stop:      stop,
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	e.queue = &slotQueue{slots: cfg.Slots, maxWaiting: cfg.MaxWaiting, onChange: func(running, waiting int) {
		e.load.record(time.Now(), running, waiting)
	}}
	e.handler = e.newHandler()
	return e
}

// streamPrefix returns a prefix that differs between starts of an endpoint. Otherwise a restarted endpoint
// would reuse a stream id, and a caller that resumes the earlier stream would receive the parts of
// another request.
func streamPrefix(name string, now time.Time) string {
	return name + "-" + strconv.FormatInt(now.UnixNano(), 36)
}

func (e *Endpoint) newHandler() http.Handler {
	server, err := endpointserver.NewServer(e, e, endpointserver.WithErrorHandler(writeBadCall))
	if err != nil {
		panic(err) // NewServer fails only if the global metrics provider is broken.
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", http.MaxBytesHandler(server, maxStageBodyBytes))
	handleSwitches(mux, e.faults, Faults.check)
	e.ledger.handle(mux)
	return mux
}

// Handler returns the HTTP handler of the endpoint's interface and its control paths.
func (e *Endpoint) Handler() http.Handler { return e.handler }

// Faults returns the current fault switches.
func (e *Endpoint) Faults() Faults { return e.faults.get() }

// SetFaults replaces all fault switches.
func (e *Endpoint) SetFaults(faults Faults) { e.faults.set(faults) }

// Ledger returns the executions since the start or the last ClearLedger.
func (e *Endpoint) Ledger() LedgerPage { return e.ledger.page() }

// ClearLedger deletes all executions from the ledger.
func (e *Endpoint) ClearLedger() { e.ledger.clear() }

// Close cancels all running and waiting calls and waits until they have ended.
func (e *Endpoint) Close() {
	e.stop()
	e.wg.Wait()
}

// RunStage runs a call and sends its parts as they are produced. It returns a RefusedError if the call is
// refused.
func (e *Endpoint) RunStage(ctx context.Context, call *endpointserver.StageCall, w http.ResponseWriter) error {
	faults := e.faults.get()
	if err := e.admit(call, faults); err != nil {
		return err
	}
	s, err := e.startOrFindStream(call, faults)
	if err != nil {
		return err
	}
	reply := &replyWriter{endpoint: e, w: w, stream: s, attempt: call.Attempt, faults: faults}
	return reply.run(ctx)
}

// ResumeStream sends the parts of a stored stream from a sequence number on. It returns a RefusedError if
// the stream is unknown.
func (e *Endpoint) ResumeStream(
	ctx context.Context, params endpointserver.ResumeStreamParams, w http.ResponseWriter,
) error {
	s := e.streams.find(params.StreamId)
	if s == nil {
		return refuse(endpointserver.RefusalCodeUnknownStream, "no stream "+params.StreamId)
	}
	faults := e.faults.get()
	faults.CutStreamAfterParts = 0
	faults.DropReplyAfterRun = false
	reply := &replyWriter{endpoint: e, w: w, stream: s, attempt: s.call.Attempt, from: params.From, faults: faults}
	return reply.run(ctx)
}

// CancelStream cancels the execution of a stream, which releases its slot. An unknown stream is ignored;
// the error is always nil.
func (e *Endpoint) CancelStream(_ context.Context, params endpointserver.CancelStreamParams) error {
	if s := e.streams.find(params.StreamId); s != nil {
		s.cancel()
	}
	return nil
}

// admit refuses invalid calls and applies the fault switches that crash the endpoint or refuse calls.
func (e *Endpoint) admit(call *endpointserver.StageCall, faults Faults) error {
	if err := e.checkCall(call); err != nil {
		return err
	}
	e.crashIfContains(call.Input, faults.CrashOnInput)
	if faults.Leaving {
		return refuse(endpointserver.RefusalCodeLeaving, "the endpoint is leaving")
	}
	if faults.RefuseAll {
		return refuse(endpointserver.RefusalCodeOverloaded, "refused by switch")
	}
	if faults.FailFast || e.occursAtRate(faults.ErrorRate) {
		return refuse(endpointserver.RefusalCodeFailed, "failed by switch")
	}
	return nil
}

func (e *Endpoint) checkCall(call *endpointserver.StageCall) error {
	if call.RequestId == "" || call.Stage == "" {
		return refuse(endpointserver.RefusalCodeBadCall, "requestId and stage must be given")
	}
	switch processor := e.processor.(type) {
	case *generator:
		return processor.check(call)
	default:
		return nil
	}
}

func (e *Endpoint) startOrFindStream(call *endpointserver.StageCall, faults Faults) (*stream, error) {
	start := func() (*stream, error) { return e.start(call) }
	if faults.IgnoreFence {
		return start()
	}
	return e.fences.startOnce(call, start)
}

// start queues the call and runs it in the background, independently of the connection, which may break
// in the meantime.
func (e *Endpoint) start(call *endpointserver.StageCall) (*stream, error) {
	if e.ctx.Err() != nil {
		return nil, refuse(endpointserver.RefusalCodeLeaving, "the endpoint has stopped")
	}
	waiter, ok := e.queue.enqueue(call.Priority.Or(0))
	if !ok {
		return nil, refuse(endpointserver.RefusalCodeOverloaded, "the queue is full")
	}
	ctx, cancel := context.WithCancel(e.ctx)
	s := e.streams.add(call, e.expectedOutput(call), cancel, time.Now())
	e.wg.Go(func() {
		defer cancel()
		e.execute(ctx, s, call.Input, waiter)
	})
	return s, nil
}

func (e *Endpoint) execute(ctx context.Context, s *stream, input string, waiter *waiter) {
	if err := e.queue.wait(ctx, waiter); err != nil {
		s.finish(result{}, "cancelled before it ran", 0, time.Now())
		return
	}
	defer e.queue.release()
	if err := e.faults.waitUntil(ctx, func(f Faults) bool { return !f.Hang }); err != nil {
		s.finish(result{}, "cancelled before it ran", 0, time.Now())
		return
	}
	started := time.Now()
	execution := e.ledger.begin(s.call, started)
	r, err := e.process(ctx, s, input)
	if err == nil && e.occursAtRate(e.faults.get().RunErrorRate) {
		err = errInjectedFailure
	}
	ended := time.Now()
	cost := float64(ended.Sub(started)) / float64(time.Millisecond)
	outcome, failure := outcomeOf(err)
	e.ledger.end(execution, outcome, cost, ended)
	s.finish(r, failure, cost, ended)
}

var errInjectedFailure = errors.New("failed by switch after it ran")

func outcomeOf(err error) (Outcome, string) {
	switch {
	case err == nil:
		return OutcomeDone, ""
	case errors.Is(err, context.Canceled):
		return OutcomeCancelled, "cancelled"
	default:
		return OutcomeFailed, err.Error()
	}
}

func (e *Endpoint) crashIfContains(input, marker string) {
	if marker == "" || !containsMarker(input, marker) {
		return
	}
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

func (e *Endpoint) occursAtRate(rate float64) bool {
	if rate <= 0 {
		return false
	}
	return e.random() < rate
}

func (e *Endpoint) random() float64 {
	e.rngMu.Lock()
	defer e.rngMu.Unlock()
	return e.rng.Float64()
}
