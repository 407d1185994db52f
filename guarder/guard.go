package guarder

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"geraniumline/meter"
	"geraniumline/verifier"
)

// guard is the handler around a socket's own handler.
type guard struct {
	cfg       Config
	next      http.Handler
	verifier  *verifier.Verifier
	wrong     metrics.Counter
	throttled metrics.Counter
	tooLarge  metrics.Counter
	refused   metrics.Counter
	bodies    *quota
}

func newGuard(cfg Config) *guard {
	return &guard{
		cfg:       cfg,
		next:      cfg.Handler,
		verifier:  cfg.Verifier,
		wrong:     cfg.Meter.Counter(meter.CredentialsWrong, cfg.Socket),
		throttled: cfg.Meter.Counter(meter.CredentialsThrottled, cfg.Socket),
		tooLarge:  cfg.Meter.Counter(meter.BodiesTooLarge, cfg.Socket),
		refused:   cfg.Meter.Counter(meter.BodiesRefused, cfg.Socket),
		bodies:    newQuota(cfg.MaxTotalBodyBytes),
	}
}

// ServeHTTP answers a body of too great a declared length at once, and bounds the reading of any other.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	writer := &writer{ResponseWriter: w, guard: g, remote: r.RemoteAddr, control: http.NewResponseController(w)}
	// What the handler leaves in net/http's buffer is written after it returns.
	defer writer.limit()
	if r.ContentLength > g.cfg.MaxBodyBytes {
		g.tooLarge.Inc(1)
		refuse(w, http.StatusRequestEntityTooLarge, bodyTooLarge)
		return
	}
	g.serve(writer, r)
}

// serve hands the request on once there is room for its body.
//
// The bound on each body does not bound their sum: thousands of connections, each within it, could fill
// the memory before a credential is looked at. A body of declared length takes its room before it is
// read, a chunked one as it is read; the room is given back when the handler returns.
func (g *guard) serve(w *writer, r *http.Request) {
	address := parseAddress(r.RemoteAddr)
	declared := max(r.ContentLength, 0)
	if !g.bodies.take(address, declared) {
		g.refused.Inc(1)
		w.Header().Set("Retry-After", bodyRetrySeconds)
		refuse(w.ResponseWriter, http.StatusServiceUnavailable, tooManyBodies)
		return
	}
	bounded := g.boundBody(w, r)
	defer func() { g.bodies.give(address, declared+bounded.taken) }()
	g.next.ServeHTTP(w, r)
}

// boundBody bounds the body's length, and the time until its end.
//
// http.Server's ReadTimeout would do the second too, but it goes on running while the answer is
// streamed, and then cancels the request in the middle of its answer. This deadline ends with the body.
func (g *guard) boundBody(w *writer, r *http.Request) *body {
	bounded := &body{guard: g, control: w.control}
	if r.Body == nil || r.Body == http.NoBody {
		return bounded
	}
	// An error means that the connection has gone; the reading will say so.
	_ = w.control.SetReadDeadline(time.Now().Add(g.cfg.BodyTimeout))
	bounded.ReadCloser = http.MaxBytesReader(w.ResponseWriter, r.Body, g.cfg.MaxBodyBytes)
	bounded.header = w.Header()
	bounded.address = parseAddress(r.RemoteAddr)
	bounded.chunked = r.ContentLength < 0
	r.Body = bounded
	return bounded
}

// body lifts the read deadline when the last byte has been read, and takes room for a chunked body.
type body struct {
	io.ReadCloser
	guard   *guard
	control *http.ResponseController
	header  http.Header
	address netip.Addr
	chunked bool
	taken   int64
}

// BodyQuotaError tells that the bodies in memory leave no room for more of this one.
type BodyQuotaError struct{}

func (e *BodyQuotaError) Error() string { return "too many request bodies are in memory" }

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.chunked && n > 0 {
		if !b.guard.bodies.take(b.address, int64(n)) {
			b.guard.refused.Inc(1)
			// Otherwise net/http would read the rest of the body before it sends the refusal.
			b.header.Set("Connection", "close")
			return 0, &BodyQuotaError{}
		}
		b.taken += int64(n)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		_ = b.control.SetReadDeadline(time.Time{})
	case errors.As(err, &tooLarge):
		b.guard.tooLarge.Inc(1)
	}
	return n, err
}

// writer bounds each writing, and turns the answer to a throttled address's wrong credential into 429.
type writer struct {
	http.ResponseWriter
	guard   *guard
	remote  string
	control *http.ResponseController
	replace bool // the handler's body is dropped: another answer was given in its place
}

// The whole answers that the guard gives itself, in the form that callers and operators get from the
// handlers behind it.
const (
	bodyTooLarge  = `{"code":"bodyTooLarge","message":"the request's body is too large","outcome":"notRun"}` + "\n"
	tooManyWrong  = `{"code":"tooManyWrongCredentials","message":"too many wrong credentials from this address","outcome":"notRun"}` + "\n"
	tooManyBodies = `{"code":"tooManyBodies","message":"too many request bodies are being read","outcome":"notRun"}` + "\n"
)

// refuse answers and closes the connection.
func refuse(w http.ResponseWriter, code int, answer string) {
	header := w.Header()
	header.Del("Content-Length")
	header.Set("Content-Type", "application/json")
	header.Set("Connection", "close")
	w.WriteHeader(code)
	_, _ = io.WriteString(w, answer) // an error means that the caller has gone
}

// retryAfterSeconds is when a throttled address has some of its allowance back.
const retryAfterSeconds = "60"

// bodyRetrySeconds is when some of the bodies in memory will have gone.
const bodyRetrySeconds = "1"

// Unwrap lets http.ResponseController reach net/http.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader counts a wrong credential and closes the connection of a throttled address.
func (w *writer) WriteHeader(code int) {
	if code != http.StatusUnauthorized {
		w.ResponseWriter.WriteHeader(code)
		return
	}
	w.guard.wrong.Inc(1)
	if !w.guard.verifier.RecordFailure(parseAddress(w.remote).String(), w.guard.cfg.Now()) {
		w.ResponseWriter.WriteHeader(code)
		return
	}
	w.guard.throttled.Inc(1)
	w.replace = true
	w.Header().Set("Retry-After", retryAfterSeconds)
	refuse(w.ResponseWriter, http.StatusTooManyRequests, tooManyWrong)
}

// Write writes within WriteTimeout.
func (w *writer) Write(p []byte) (int, error) {
	if w.replace {
		return len(p), nil
	}
	w.limit()
	defer w.unlimit()
	return w.ResponseWriter.Write(p)
}

// Flush sends what net/http holds in its buffer.
func (w *writer) Flush() {
	w.limit()
	defer w.unlimit()
	_ = w.control.Flush() // an error shows at the next Write
}

// limit gives the caller WriteTimeout from now to read.
//
// A caller that never reads its streamed answer would hold its connection and its buffers for ever; the
// write fails instead, and the handler sees that the caller has gone.
func (w *writer) limit() {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.guard.cfg.WriteTimeout))
}

// unlimit lets the handler think for as long as it needs: on HTTP/2 a deadline that passes between two
// writes would reset the stream.
func (w *writer) unlimit() {
	_ = w.control.SetWriteDeadline(time.Time{})
}
