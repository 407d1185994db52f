package forwarder

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"geraniumline/detector"
	"geraniumline/meter"
)

const (
	// ordinaryRate bounds the lines a second on decisions of ordinary requests, ordinaryBurst what may come at once.
	ordinaryRate  = 200
	ordinaryBurst = 400
	// peerRate bounds the lines a second on changes of peers' states, and on endpoints' notices; peerBurst what may come
	// at once, such as when all peers are lost and come back.
	peerRate  = 20
	peerBurst = 400
	// sampledEvery is how often the number of lines left out is told.
	sampledEvery = 5 * time.Second
)

// The reasons for which log lines are not written.
const (
	overRate   = "rate"
	answeredOK = "answered"
)

// notes writes decisions of ordinary requests as far as their rate allows. Failures and changes of belief go to the
// logger itself.
type notes struct {
	log     *zap.Logger
	limiter *rate.Limiter
	peers   *rate.Limiter
	notices *rate.Limiter
	left    int64
	told    time.Time
	meter   *meter.Meter
}

func newNotes(log *zap.Logger, m *meter.Meter) *notes {
	return &notes{
		log:     log,
		limiter: rate.NewLimiter(ordinaryRate, ordinaryBurst),
		peers:   rate.NewLimiter(peerRate, peerBurst),
		notices: rate.NewLimiter(peerRate, peerBurst),
		meter:   m,
	}
}

// notePeer writes a line on the change of a peer's state.
func (f *Forwarder) notePeer(t detector.Transition) {
	f.noteBy(f.notes.peers, "peer changed",
		zap.String("peer", t.Member.Name),
		zap.Stringer("from", t.From),
		zap.Stringer("to", t.To),
		zap.Bool("refused", t.ConnectionRefused),
		zap.Duration("away", t.Paused))
}

// note writes a line on an ordinary decision.
func (f *Forwarder) note(msg string, fields ...zap.Field) { f.noteBy(f.notes.limiter, msg, fields...) }

// noteNotice writes a line on what an endpoint has said of the work that it takes. One that says something else in each answer must
// not fill the log.
func (f *Forwarder) noteNotice(msg string, fields ...zap.Field) {
	f.noteBy(f.notes.notices, msg, fields...)
}

func (f *Forwarder) noteBy(limiter *rate.Limiter, msg string, fields ...zap.Field) {
	if limiter.Allow() {
		f.log.Info(msg, fields...)
		return
	}
	f.notes.meter.Counter(meter.LogLinesDropped, overRate).Inc(1)
}

// tellSampled tells how many lines were left out since it was last told.
func (f *Forwarder) tellSampled(now time.Time) {
	if now.Sub(f.notes.told) < sampledEvery {
		return
	}
	f.notes.told = now
	total := f.notes.meter.Counter(meter.LogLinesDropped, overRate).Count()
	if n := total - f.notes.left; n > 0 {
		f.log.Warn("lines on ordinary requests and peers left out", zap.Int64("lines", n))
	}
	f.notes.left = total
}

// measure sets the gauges.
func (f *Forwarder) measure(now time.Time) {
	m := f.cfg.Meter
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Gauge(meter.ForwardInFlight).Update(f.inFlight.Load())
	m.Gauge(meter.ConfigVersion).Update(f.version())
	if !f.configHeard.IsZero() {
		m.Gauge(meter.ConfigAge).Update(now.Sub(f.configHeard).Milliseconds())
	}
	m.Gauge(meter.EndpointsCold).Update(int64(f.selector.ColdCount(now)))
	f.measureNotices(now)
	m.Gauge(meter.PeersLive).Update(int64(len(f.liveAddresses(f.detector.Members()))))
	if f.registry.Loaded() {
		m.Gauge(meter.EndpointsAge).Update(f.registry.Age(now).Milliseconds())
	}
	for service, p := range f.pools {
		m.Gauge(meter.PieceWaiting, service).Update(int64(p.WaitingPieces()))
	}
}
