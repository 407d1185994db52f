package guarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"geraniumline/budgeter"
	"geraniumline/meter"
)

const (
	// socketBuffer is the size of each of the kernel's two buffers of a connection, in bytes. Without a size, the kernel lets
	// them grow to megabytes with what a caller sends ahead or doesn't read.
	socketBuffer = 128 << 10
	// endingBuffer is the size of the receive buffer of a connection from which nothing more is read.
	endingBuffer = 4 << 10
	// headCopies is how often the bytes of a request's head are held: as received, decoded, and encoded for an endpoint.
	headCopies = 3
	// admissionLineRate bounds the log lines a second on connections that are evicted or refused.
	admissionLineRate  = 1
	admissionLineBurst = 5
	// lineDropReason is the label of lines that are over the rate.
	lineDropReason = "rate"
)

// AdmissionConfig configures an Admission.
type AdmissionConfig struct {
	// Socket is the label of the metrics.
	Socket string
	Budget budgeter.Config
	Meter  *meter.Meter
	Log    *zap.Logger
}

// Admission carries out a budgeter's decisions on the connections of one or more listeners.
type Admission struct {
	cfg         AdmissionConfig
	lines       *rate.Limiter
	connections metrics.Gauge
	bytes       metrics.Gauge

	mu     sync.Mutex
	ledger *budgeter.Ledger
	// holds maps the ledger's holders to their connections.
	holds map[*budgeter.Holder]*Hold
}

// NewAdmission returns an Admission that has admitted nothing.
func NewAdmission(cfg AdmissionConfig) *Admission {
	return &Admission{
		cfg:         cfg,
		lines:       rate.NewLimiter(admissionLineRate, admissionLineBurst),
		connections: cfg.Meter.Gauge(meter.ConnectionsOpen, cfg.Socket),
		bytes:       cfg.Meter.Gauge(meter.ClientBytes, cfg.Socket),
		ledger:      budgeter.New(cfg.Budget),
		holds:       make(map[*budgeter.Holder]*Hold),
	}
}

// MaxBytes returns the most that one request may hold, in bytes.
func (a *Admission) MaxBytes() int64 { return a.cfg.Budget.MaxBytes() }

// HoldError reports that a request can't hold Bytes more.
type HoldError struct{ Bytes int64 }

func (e *HoldError) Error() string {
	return fmt.Sprintf("no memory for %d more bytes of a request", e.Bytes)
}

// Hold is what one connection, or one request apart from its connection, holds. A nil Hold is never refused anything. It is
// safe for concurrent use.
type Hold struct {
	admission *Admission
	holder    *budgeter.Holder
	// conn is nil for the hold of a request.
	conn *heldConn
	// cancel ends the request if the hold of a request is evicted; it may be nil.
	cancel func()
	// answered is set once a request of the connection was answered.
	answered atomic.Bool
	// evicted is set once the hold was evicted.
	evicted atomic.Bool
}

// Open admits a request apart from its connection, in a phase. It returns false if there is no room for it. A nil Admission
// admits all. If the request is evicted, cancel is called, which may be nil for one that is being served.
func (a *Admission) Open(phase budgeter.Phase, cancel func(), now time.Time) (*Hold, bool) {
	if a == nil {
		return nil, true
	}
	h, admitted := a.open(&Hold{cancel: cancel}, now)
	if admitted {
		h.Enter(phase, now)
	}
	return h, admitted
}

func (a *Admission) open(h *Hold, now time.Time) (*Hold, bool) {
	h.admission = a
	a.mu.Lock()
	holder, verdict := a.ledger.Open(now)
	if holder != nil {
		h.holder = holder
		a.holds[holder] = h
	}
	evicted := a.remove(verdict.Evicted)
	a.mu.Unlock()
	if holder == nil {
		a.cfg.Meter.Counter(meter.ConnectionsRefused, a.cfg.Socket).Inc(1)
		h = nil
	}
	a.settle("connection", evicted, holder != nil)
	return h, holder != nil
}

// remove returns the evicted holds, and what each was doing. The lock must be held.
func (a *Admission) remove(holders []*budgeter.Holder) []evictedHold {
	var evicted []evictedHold
	for _, holder := range holders {
		h := a.holds[holder]
		delete(a.holds, holder)
		h.evicted.Store(true)
		evicted = append(evicted, evictedHold{h, holder.Phase()})
	}
	a.connections.Update(int64(a.ledger.Connections()))
	a.bytes.Update(a.ledger.Bytes())
	return evicted
}

// evictedHold is an evicted hold, and the phase in which it was.
type evictedHold struct {
	*Hold
	phase budgeter.Phase
}

// settle ends what was evicted, and logs the decision if there was no room.
func (a *Admission) settle(wanted string, evicted []evictedHold, granted bool) {
	if granted && len(evicted) == 0 {
		return
	}
	phases := make(map[string]int)
	for _, h := range evicted {
		phases[h.phase.String()]++
		a.cfg.Meter.Counter(meter.ClientsEvicted, h.phase.String()).Inc(1)
		h.end(h.phase)
	}
	if !a.lines.Allow() {
		a.cfg.Meter.Counter(meter.LogLinesDropped, lineDropReason).Inc(1)
		return
	}
	a.cfg.Log.Warn("no room for clients",
		zap.String("socket", a.cfg.Socket),
		zap.String("wanted", wanted),
		zap.Bool("granted", granted),
		zap.Any("evicted", phases))
}

// end ends a connection or a request that was evicted. A request whose body is being read is still answered: its reader fails.
func (h *Hold) end(phase budgeter.Phase) {
	if h.conn == nil {
		if h.cancel != nil {
			h.cancel()
		}
		return
	}
	if phase == budgeter.Reading {
		// An error means that the connection is closed already.
		_ = h.conn.SetReadDeadline(time.Unix(0, 1))
		return
	}
	_ = h.conn.Close()
}

// Grow counts n more bytes. It returns a *HoldError if there is no room for them.
func (h *Hold) Grow(n int64, now time.Time) error {
	if h == nil {
		return nil
	}
	a := h.admission
	a.mu.Lock()
	verdict := a.ledger.Grow(h.holder, n, now)
	evicted := a.remove(verdict.Evicted)
	a.mu.Unlock()
	if !verdict.Granted {
		a.cfg.Meter.Counter(meter.BodiesRefused, a.cfg.Socket).Inc(1)
	}
	a.settle("memory", evicted, verdict.Granted)
	if !verdict.Granted {
		return &HoldError{Bytes: n}
	}
	return nil
}

// Enter records what the connection is doing from now on.
func (h *Hold) Enter(phase budgeter.Phase, now time.Time) {
	if h == nil {
		return
	}
	if h.conn != nil {
		h.conn.enter(phase)
	}
	h.admission.mu.Lock()
	defer h.admission.mu.Unlock()
	h.admission.ledger.Enter(h.holder, phase, now)
}

// Serve reports whether a service may serve the request beside the others that it serves, and records that it does.
func (h *Hold) Serve(service string, now time.Time) bool {
	if h == nil {
		return true
	}
	if h.conn != nil {
		h.conn.enter(budgeter.Serving)
	}
	h.admission.mu.Lock()
	defer h.admission.mu.Unlock()
	return h.admission.ledger.Serve(h.holder, service, now)
}

// RecordAnswered records that a request of the connection was answered, which lets it be kept for the next one.
func (h *Hold) RecordAnswered() {
	if h != nil {
		h.answered.Store(true)
	}
}

// Evicted reports whether the hold was evicted for another one.
func (h *Hold) Evicted() bool { return h != nil && h.evicted.Load() }

// Close gives back what the hold has.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	a := h.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Close(h.holder)
	delete(a.holds, h.holder)
	a.remove(nil)
}

// becomeIdle records that the connection waits for its next request and holds nothing of the last one.
func (h *Hold) becomeIdle(now time.Time) {
	phase := budgeter.Waiting
	if h.answered.Load() {
		phase = budgeter.Kept
	}
	h.admission.mu.Lock()
	h.admission.ledger.Shrink(h.holder, 0, now)
	h.admission.mu.Unlock()
	h.Enter(phase, now)
}

// Listener returns a listener whose connections are admitted. Those that are not admitted are closed at once: left in the
// kernel's queue, they would look to callers like an entry that hangs.
func (a *Admission) Listener(l net.Listener) net.Listener { return &admittedListener{l, a} }

type admittedListener struct {
	net.Listener
	admission *Admission
}

// Accept implements net.Listener.
func (l *admittedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return nil, errors.Join(&connTypeError{conn}, conn.Close())
		}
		now := time.Now()
		held := &heldConn{TCPConn: tcp}
		held.enter(budgeter.Waiting)
		held.idle.rest(now)
		hold, admitted := l.admission.open(&Hold{conn: held}, now)
		if !admitted {
			// Nothing was sent or received on it.
			_ = conn.Close()
			continue
		}
		held.hold.Store(hold)
		setSocketBuffers(tcp)
		return held, nil
	}
}

// setSocketBuffers bounds what the kernel holds for a connection.
func setSocketBuffers(conn *net.TCPConn) {
	// An error means that the connection is closed, which the next read reports.
	_ = errors.Join(conn.SetReadBuffer(socketBuffer), conn.SetWriteBuffer(socketBuffer))
}

// connTypeError reports a connection that is not a TCP connection.
type connTypeError struct{ conn net.Conn }

func (e *connTypeError) Error() string { return fmt.Sprintf("%T is no TCP connection", e.conn) }

// heldConn counts what its caller makes the process hold.
type heldConn struct {
	*net.TCPConn
	hold atomic.Pointer[Hold]
	// counts is how what is read is counted.
	counts atomic.Int32
	idle   idleState
}

// How bytes that are read from a connection are counted: not at all, as the head of a request, or as sent ahead of the response
// to the one that is being served.
const (
	countsNothing = iota
	countsHead
	countsAhead
)

// enter sets how bytes are counted in a phase. The reader of a body counts for itself.
func (c *heldConn) enter(phase budgeter.Phase) {
	if phase == budgeter.Reading || phase == budgeter.Serving {
		// Nothing is read for a request that came with the one before it.
		c.idle.wake()
	}
	switch phase {
	case budgeter.Waiting, budgeter.Kept:
		c.counts.Store(countsHead)
	case budgeter.Serving:
		c.counts.Store(countsAhead)
	default:
		c.counts.Store(countsNothing)
	}
}

// Read implements net.Conn. It fails if there is no room for what the caller sends, or if the connection was idle for too long.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.idle.wake() {
		return 0, net.ErrClosed
	}
	held := int64(0)
	switch c.counts.Load() {
	case countsHead:
		held = int64(n) * headCopies
	case countsAhead:
		// The server reads no more than this of what the kernel has.
		held = socketBuffer
		c.counts.Store(countsNothing)
	}
	if held == 0 {
		return n, err
	}
	if holdErr := c.hold.Load().Grow(held, time.Now()); holdErr != nil {
		return 0, holdErr
	}
	return n, err
}

// CloseWrite closes the sending side, after which nothing more is read.
func (c *heldConn) CloseWrite() error {
	return errors.Join(c.SetReadBuffer(endingBuffer), c.TCPConn.CloseWrite())
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.hold.Load().Close()
	return c.TCPConn.Close()
}

// holdOfConn returns the hold of an accepted connection, or nil if it has none.
func holdOfConn(c net.Conn) *Hold {
	if f, ok := c.(*framing); ok {
		c = f.Conn
	}
	held, ok := c.(*heldConn)
	if !ok {
		return nil
	}
	return held.hold.Load()
}

// HoldOf returns the hold of a request's connection, or nil if it has none. The server's ConnContext must be FramingContext.
func HoldOf(ctx context.Context) *Hold {
	c, ok := ctx.Value(framingKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return holdOfConn(c)
}

// AdmittedHandler serves requests that have no body, such as readiness checks, on the connections of an Admission.
func AdmittedHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := HoldOf(r.Context())
		h.Enter(budgeter.Serving, time.Now())
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
		h.RecordAnswered()
	})
}
