package faker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"geraniumline/platformserver"
)

// maxLogStreams limits memory use, together with KeepBytes per stream.
const maxLogStreams = 32

// LogConfig configures the log service. Zero fields take the defaults given in brackets.
type LogConfig struct {
	// AppendsPerSecond limits the append rate of all streams together [500].
	AppendsPerSecond float64
	// AppendBurst is the number of appends allowed in a burst [a tenth of AppendsPerSecond].
	AppendBurst int
	// KeepRecords is the maximum number of records per stream [100,000].
	KeepRecords int
	// KeepFor is the maximum age of records [no limit].
	KeepFor time.Duration
	// KeepBytes is the maximum total size of the records of a stream, in bytes [64 MiB].
	KeepBytes int64
	// HoleRate is the share of appends, from 0 to 1, before which offsets are skipped.
	HoleRate float64
	// Seed seeds the random choice of offset gaps and lost replies.
	Seed   uint64
	Faults LogFaults
}

func (cfg LogConfig) withDefaults() LogConfig {
	cfg.AppendsPerSecond = valueOrDefault(cfg.AppendsPerSecond, 500)
	cfg.AppendBurst = valueOrDefault(cfg.AppendBurst, max(1, int(cfg.AppendsPerSecond/10)))
	cfg.KeepRecords = valueOrDefault(cfg.KeepRecords, 100_000)
	cfg.KeepBytes = valueOrDefault(cfg.KeepBytes, 64<<20)
	return cfg
}

// Log is a running stand-in for the append-only log service.
type Log struct {
	unimplemented
	cfg     LogConfig
	faults  *switches[LogFaults]
	limiter *rate.Limiter
	handler http.Handler
	ctx     context.Context
	stop    context.CancelFunc
	mu      sync.Mutex
	streams map[string]*logStream
	rng     *rand.Rand
	ledger  LogLedger
	// era counts the restores from an older copy.
	era int64
}

// NewLog starts an empty log service.
func NewLog(cfg LogConfig) *Log {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	l := &Log{
		cfg:     cfg,
		faults:  newSwitches(cfg.Faults),
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendBurst),
		ctx:     ctx,
		stop:    stop,
		streams: make(map[string]*logStream),
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	mux := newPlatformMux(l)
	handleSwitches(mux, l.faults, LogFaults.check)
	l.handleLedger(mux)
	l.handler = mux
	return l
}

// Handler returns the HTTP handler of the log's interface and its control paths.
func (l *Log) Handler() http.Handler { return l.handler }

// Close ends waiting reads and delayed appends.
func (l *Log) Close() { l.stop() }

// Faults returns the current fault switches.
func (l *Log) Faults() LogFaults { return l.faults.get() }

// SetFaults replaces all fault switches.
func (l *Log) SetFaults(faults LogFaults) { l.faults.set(faults) }

// AppendRecord appends a record to a stream and returns its offset. It returns a PlatformError during an
// outage, over the rate limit, or if there are too many streams.
func (l *Log) AppendRecord(
	ctx context.Context, call *platformserver.AppendCall, params platformserver.AppendRecordParams,
) (*platformserver.AppendReply, error) {
	if err := l.failInOutage(ctx); err != nil {
		return nil, err
	}
	if err := l.limitAppends(time.Now()); err != nil {
		return nil, err
	}
	faults := l.faults.get()
	// The service's own context is used so that a delayed append takes effect even if its caller has
	// disconnected.
	if err := sleep(l.ctx, millis(faults.SlowAppendMillis)); err != nil {
		return nil, errOutage
	}
	offset, err := l.append(params.Stream, call.Data, time.Now())
	if err != nil {
		return nil, err
	}
	l.maybeLoseReply()
	// The append has taken effect, and a disconnected caller needs no reply.
	_ = sleep(ctx, millis(faults.SlowAppendReplyMillis))
	return &platformserver.AppendReply{Offset: offset}, nil
}

func (l *Log) limitAppends(now time.Time) error {
	reservation := l.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	reservation.CancelAt(now)
	l.updateLedger(func(ledger *LogLedger) { ledger.RateLimited++ })
	return &PlatformError{
		Code:             codeRateLimited,
		Message:          "too many appends",
		RetryAfterMillis: wait.Milliseconds() + 1,
	}
}

func (l *Log) append(name string, data []byte, now time.Time) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.getOrCreateStream(name)
	if err != nil {
		return 0, err
	}
	l.ledger.Appends++
	l.ledger.AppendedBytes += int64(len(data))
	return s.append(data, l.skippedOffsets(), now), nil
}

// skippedOffsets returns the number of offsets to skip before the next record.
func (l *Log) skippedOffsets() int64 {
	if l.cfg.HoleRate <= 0 || l.rng.Float64() >= l.cfg.HoleRate {
		return 0
	}
	return 1 + l.rng.Int64N(3)
}

func (l *Log) getOrCreateStream(name string) (*logStream, error) {
	if s, ok := l.streams[name]; ok {
		return s, nil
	}
	if len(l.streams) >= maxLogStreams {
		return nil, &PlatformError{Code: codeFailed, Message: "too many streams"}
	}
	s := newLogStream(retention{age: l.cfg.KeepFor, records: l.cfg.KeepRecords, bytes: l.cfg.KeepBytes})
	l.streams[name] = s
	return s, nil
}

// ReadRecords returns records from an offset on. It waits up to WaitMillis for the first one. It returns a
// PlatformError during an outage or if there are too many streams.
func (l *Log) ReadRecords(
	ctx context.Context, params platformserver.ReadRecordsParams,
) (*platformserver.RecordPage, error) {
	if err := l.failInOutage(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, millis(l.faults.get().SlowReadMillis)); err != nil {
		return nil, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, millis(int64(params.WaitMillis.Or(0))))
	defer cancel()
	l.updateLedger(func(ledger *LogLedger) { ledger.Reads++ })
	for {
		// Watch the switches from before the read, so that no change in between is missed.
		_, faultsChanged := l.faults.watch()
		page, appended, err := l.read(params, time.Now())
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		if !l.waitForChange(waitCtx, appended, faultsChanged) {
			return page, nil
		}
		if err := l.failInOutage(ctx); err != nil {
			return nil, err
		}
	}
}

func (l *Log) read(
	params platformserver.ReadRecordsParams, now time.Time,
) (*platformserver.RecordPage, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.getOrCreateStream(params.Stream)
	if err != nil {
		return nil, nil, err
	}
	page := s.read(params.From, params.Limit.Or(defaultPageRecords), now)
	page.Era.SetTo(l.era)
	return page, s.changed, nil
}

// RestoreFromCopy restores the log to its state at the given age before now and starts a new era. Later
// records are lost and their offsets are reused.
func (l *Log) RestoreFromCopy(age time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.era++
	for _, s := range l.streams {
		s.truncateAfter(now.Add(-age).UnixMilli())
	}
}

func (l *Log) waitForChange(ctx context.Context, appended, faultsChanged <-chan struct{}) bool {
	select {
	case <-appended:
		return true
	case <-faultsChanged:
		return true
	case <-ctx.Done():
		return false
	case <-l.ctx.Done():
		return false
	}
}

func (l *Log) occursAtRate(rate float64) bool {
	if rate <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < rate
}
