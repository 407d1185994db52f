package forwarder

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"geraniumline/detector"
	"geraniumline/meter"
)

const (
	// requestLineRate bounds the log lines per second on ordinary requests, and requestLineBurst the lines at once.
	requestLineRate  = 200
	requestLineBurst = 400
	// peerLineRate bounds the log lines per second on changes of peers' states, and on endpoints' notices.
	// peerLineBurst bounds the lines at once, as when all peers are lost and return.
	peerLineRate  = 20
	peerLineBurst = 400
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// Label values of counters.
const (
	dropReasonRate  = "rate"
	outcomeAnswered = "answered"
)

// sampledLog limits the rate of log lines on ordinary requests, peers and endpoints' notices. Failures and other
// changes of state are written to the logger directly.
type sampledLog struct {
	log           *zap.Logger
	requests      *rate.Limiter
	peers         *rate.Limiter
	notices       *rate.Limiter
	reportedDrops int64
	lastReport    time.Time
	meter         *meter.Meter
}

func newSampledLog(log *zap.Logger, m *meter.Meter) *sampledLog {
	return &sampledLog{
		log:      log,
		requests: rate.NewLimiter(requestLineRate, requestLineBurst),
		peers:    rate.NewLimiter(peerLineRate, peerLineBurst),
		notices:  rate.NewLimiter(peerLineRate, peerLineBurst),
		meter:    m,
	}
}

// maxLoggedText bounds the texts of callers in log lines, in bytes.
const maxLoggedText = 512

// clip returns the beginning of a caller's text.
func clip(text string) string { return text[:min(len(text), maxLoggedText)] }

// logPeerTransition logs the change of a peer's state.
func (f *Forwarder) logPeerTransition(t detector.Transition) {
	f.logWithin(f.sampledLog.peers, "peer state changed",
		zap.String("peer", t.Member.Name),
		zap.Stringer("from", t.From),
		zap.Stringer("to", t.To),
		zap.Bool("refused", t.ConnectionRefused),
		zap.Duration("away", t.Paused))
}

// logSampled logs an event of an ordinary request.
func (f *Forwarder) logSampled(msg string, fields ...zap.Field) {
	f.logWithin(f.sampledLog.requests, msg, fields...)
}

// logNotice logs an endpoint's notice. The rate is limited since an endpoint may change its notice in each response.
func (f *Forwarder) logNotice(msg string, fields ...zap.Field) {
	f.logWithin(f.sampledLog.notices, msg, fields...)
}

func (f *Forwarder) logWithin(limiter *rate.Limiter, msg string, fields ...zap.Field) {
	if limiter.Allow() {
		f.log.Info(msg, fields...)
		return
	}
	f.sampledLog.meter.Counter(meter.LogLinesDropped, dropReasonRate).Inc(1)
}

// reportDroppedLines logs how many lines were dropped since its last report.
func (f *Forwarder) reportDroppedLines(now time.Time) {
	if now.Sub(f.sampledLog.lastReport) < dropReportInterval {
		return
	}
	f.sampledLog.lastReport = now
	total := f.sampledLog.meter.Counter(meter.LogLinesDropped, dropReasonRate).Count()
	if n := total - f.sampledLog.reportedDrops; n > 0 {
		f.log.Warn("log lines dropped by rate limits", zap.Int64("lines", n))
	}
	f.sampledLog.reportedDrops = total
}

// updateGauges sets the gauges.
func (f *Forwarder) updateGauges(now time.Time) {
	m := f.cfg.Meter
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Gauge(meter.ForwardInFlight).Update(f.inFlight.Load())
	m.Gauge(meter.ConfigVersion).Update(f.version())
	if !f.configReadAt.IsZero() {
		m.Gauge(meter.ConfigAgeMillis).Update(now.Sub(f.configReadAt).Milliseconds())
	}
	m.Gauge(meter.EndpointsCold).Update(int64(f.selector.ColdCount(now)))
	f.updateNoticeGauges(now)
	f.updatePathGauges()
	f.updatePartGauges()
	f.updateSpeeds(now)
	f.updateRetryGauges(now)
	m.Gauge(meter.PeersLive).Update(int64(len(f.liveAddresses())))
	if f.registry.Loaded() {
		m.Gauge(meter.EndpointsAgeMillis).Update(f.registry.Age(now).Milliseconds())
	}
	for service, p := range f.pools {
		m.Gauge(meter.PieceWaiting, service).Update(int64(p.WaitingPieces()))
	}
}
