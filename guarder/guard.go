package guarder

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumline/budgeter"
	"geraniumline/meter"
	"geraniumline/verifier"
)

// guard wraps a socket's handler and enforces the limits on bodies, writes and wrong credentials.
type guard struct {
	cfg                  Config
	next                 http.Handler
	verifier             *verifier.Verifier
	credentialsWrong     metrics.Counter
	credentialsThrottled metrics.Counter
	bodiesTooLarge       metrics.Counter
	bodiesRefused        metrics.Counter
	bodyQuota            *quota
}

func newGuard(cfg Config) *guard {
	return &guard{
		cfg:                  cfg,
		next:                 cfg.Handler,
		verifier:             cfg.Verifier,
		credentialsWrong:     cfg.Meter.Counter(meter.CredentialsWrong, cfg.Socket),
		credentialsThrottled: cfg.Meter.Counter(meter.CredentialsThrottled, cfg.Socket),
		bodiesTooLarge:       cfg.Meter.Counter(meter.BodiesTooLarge, cfg.Socket),
		bodiesRefused:        cfg.Meter.Counter(meter.BodiesRefused, cfg.Socket),
		bodyQuota:            newQuota(cfg.MaxTotalBodyBytes),
	}
}

// ServeHTTP rejects a body whose declared length exceeds the limit, and bounds the reading of any other.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writer := &writer{ResponseWriter: w, guard: g, remote: r.RemoteAddr, control: http.NewResponseController(w)}
	// net/http writes what remains in its buffer after the handler returns.
	defer writer.setWriteDeadline()
	if r.ContentLength > g.cfg.MaxBodyBytes {
		g.bodiesTooLarge.Inc(1)
		writer.boundUnread()
		refuse(w, http.StatusRequestEntityTooLarge, bodyTooLarge)
		return
	}
	g.serve(writer, r)
}

// serve calls the next handler if the quota has room for the request's body.
//
// The limit on each body does not limit their sum: thousands of connections, each within the limit, could
// fill the memory before any credential is checked. A body of declared length reserves its quota before it
// is read, a chunked body as it is read; the quota is released when the handler returns.
func (g *guard) serve(w *writer, r *http.Request) {
	address := parseAddress(r.RemoteAddr)
	declared := max(r.ContentLength, 0)
	if !g.bodyQuota.acquire(address, declared) {
		w.refuseBody()
		return
	}
	hold, admitted := g.cfg.Admission.Open(phaseOf(r), func() { _ = w.control.SetReadDeadline(time.Unix(0, 1)) }, time.Now())
	if !admitted {
		g.bodyQuota.release(address, declared)
		w.refuseBody()
		return
	}
	defer hold.Close()
	bounded := g.boundBody(w, r)
	bounded.hold = hold
	defer func() { g.bodyQuota.release(address, declared+bounded.acquired) }()
	g.next.ServeHTTP(w, r)
	if r.ContentLength != 0 && !bounded.complete {
		w.boundUnread()
	}
}

// phaseOf returns what a request that has just arrived waits for.
func phaseOf(r *http.Request) budgeter.Phase {
	if r.ContentLength == 0 {
		return budgeter.Serving
	}
	return budgeter.Reading
}

// boundBody limits the length of the body and the time until it has been read.
//
// http.Server's ReadTimeout would also limit the time, but it keeps running while the response is streamed and
// then cancels the request in the middle of its response. This deadline is cleared when the body ends.
func (g *guard) boundBody(w *writer, r *http.Request) *body {
	bounded := &body{guard: g, control: w.control}
	if r.Body == nil || r.Body == http.NoBody {
		return bounded
	}
	// An error means that the connection is closed, which the next read reports.
	_ = w.control.SetReadDeadline(time.Now().Add(g.cfg.BodyTimeout))
	bounded.ReadCloser = http.MaxBytesReader(w.ResponseWriter, r.Body, g.cfg.MaxBodyBytes)
	bounded.header = w.Header()
	bounded.address = parseAddress(r.RemoteAddr)
	bounded.chunked = r.ContentLength < 0
	r.Body = bounded
	return bounded
}

// body clears the read deadline after the last byte has been read, and acquires quota for a chunked body.
type body struct {
	io.ReadCloser
	guard   *guard
	control *http.ResponseController
	header  http.Header
	address netip.Addr
	chunked bool
	// acquired is the quota held for a chunked body, in bytes.
	acquired int64
	hold     *Hold
	// complete is set once the last byte has been read.
	complete bool
}

// BodyQuotaError reports that the bodies in memory leave no quota for the rest of this one.
type BodyQuotaError struct{}

// RetryAfter is when the request may be sent again. By then some bodies are released.
func (e *BodyQuotaError) RetryAfter() time.Duration { return bodyRetryDelay }

func (e *BodyQuotaError) Error() string { return "too many request bodies are in memory" }

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.chunked && n > 0 {
		if !b.guard.bodyQuota.acquire(b.address, int64(n)) {
			return 0, b.refuse()
		}
		b.acquired += int64(n)
	}
	if b.hold.Grow(int64(n)*bodyCopies, time.Now()) != nil || b.hold.Evicted() {
		return 0, b.refuse()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		_ = b.control.SetReadDeadline(time.Time{})
		b.complete = true
		b.hold.Enter(budgeter.Serving, time.Now())
	case errors.As(err, &tooLarge):
		b.guard.bodiesTooLarge.Inc(1)
	}
	return n, err
}

// refuse returns the error of a body that there is no room for.
func (b *body) refuse() error {
	b.guard.bodiesRefused.Inc(1)
	// Without this, net/http reads the rest of the body before it sends the error response.
	b.header.Set("Connection", "close")
	return &BodyQuotaError{}
}

// bodyCopies is how often a body is held in memory: as received in a buffer that grows, copied, decoded, and encoded for an
// endpoint.
const bodyCopies = 5

// writer sets a deadline on each write, and replaces a 401 response to a throttled address with 429.
type writer struct {
	http.ResponseWriter
	guard   *guard
	remote  string
	control *http.ResponseController
	// replaced is set once a 429 response was sent in place of the handler's; the handler's body is then discarded.
	replaced bool
}

// Response bodies that the guard sends itself, in the same form as the error responses of the wrapped handlers.
const (
	bodyTooLarge  = `{"code":"bodyTooLarge","message":"the request's body is too large","outcome":"notRun"}` + "\n"
	tooManyWrong  = `{"code":"tooManyWrongCredentials","message":"too many wrong credentials from this address","outcome":"notRun"}` + "\n"
	tooManyBodies = `{"code":"tooManyBodies","message":"too many request bodies are being read","outcome":"notRun"}` + "\n"
)

// refuse sends an error response and closes the connection.
func refuse(w http.ResponseWriter, code int, responseBody string) {
	header := w.Header()
	header.Del("Content-Length")
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	w.WriteHeader(code)
	_, _ = io.WriteString(w, responseBody) // an error means that the caller has disconnected
}

// credentialRetrySeconds is the Retry-After value for a throttled address. By then part of its allowance is
// refilled.
const credentialRetrySeconds = "60"

// bodyRetryDelay and bodyRetrySeconds are when a request may be sent again for which there is no room.
const (
	bodyRetryDelay   = time.Second
	bodyRetrySeconds = "1"
)

// Unwrap returns the underlying writer for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader counts a 401 as a wrong credential and closes the connection of a throttled address.
func (w *writer) WriteHeader(code int) {
	if code != http.StatusUnauthorized {
		w.ResponseWriter.WriteHeader(code)
		return
	}
	w.guard.credentialsWrong.Inc(1)
	if !w.guard.verifier.RecordFailure(parseAddress(w.remote).String(), w.guard.cfg.Now()) {
		w.ResponseWriter.WriteHeader(code)
		return
	}
	w.guard.credentialsThrottled.Inc(1)
	w.replaced = true
	w.Header().Set("Retry-After", credentialRetrySeconds)
	refuse(w.ResponseWriter, http.StatusTooManyRequests, tooManyWrong)
}

// Write writes p with a deadline of WriteTimeout.
func (w *writer) Write(p []byte) (int, error) {
	if w.replaced {
		return len(p), nil
	}
	w.setWriteDeadline()
	defer w.clearWriteDeadline()
	return w.ResponseWriter.Write(p)
}

// Flush sends the data in net/http's buffer with a deadline of WriteTimeout.
func (w *writer) Flush() {
	w.setWriteDeadline()
	defer w.clearWriteDeadline()
	_ = w.control.Flush() // the next Write returns the error
}

// boundUnread bounds the time in which net/http reads what is left of the request's body.
func (w *writer) boundUnread() {
	// An error means that the connection is closed.
	_ = w.control.SetReadDeadline(time.Now().Add(UnreadBodyTimeout))
}

// refuseBody refuses a request for whose body there is no room.
func (w *writer) refuseBody() {
	w.guard.bodiesRefused.Inc(1)
	w.boundUnread()
	w.Header().Set("Retry-After", bodyRetrySeconds)
	refuse(w.ResponseWriter, http.StatusServiceUnavailable, tooManyBodies)
}

// setWriteDeadline makes writes fail after WriteTimeout from now.
//
// A caller that never reads its streamed response would otherwise hold its connection and its buffers forever.
// With the deadline the write fails, and the handler treats the caller as disconnected.
func (w *writer) setWriteDeadline() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.guard.cfg.WriteTimeout))
}

// clearWriteDeadline removes the deadline between writes, so that the handler may take any time to produce the
// next part. On HTTP/2 a deadline that passes between two writes resets the stream.
func (w *writer) clearWriteDeadline() {
	_ = w.control.SetWriteDeadline(time.Time{})
}
