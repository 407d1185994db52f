package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/guarder"
	"geraniumline/meter"
	"geraniumline/registrar"
	"geraniumline/selector"
)

const (
	// defaultTimeout holds for routes that name none.
	defaultTimeout = 30 * time.Second
	// writeGrace is how long after a request's deadline its answer may still be written: an answer that is ready is
	// delivered, also late.
	writeGrace = 2 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
)

// exchange is one request on its way.
type exchange struct {
	f       *Forwarder
	w       http.ResponseWriter
	in      *http.Request
	ctx     context.Context
	req     Request
	route   *cataloger.Route
	version int64
	service *cataloger.Service
	account string
	// homes are the regions that the request may be served in, nil where it may be in all.
	homes []string
	// priority is the client account's or the route's, 0 first.
	priority int
	keepKey  bool
	body     []byte
	began    time.Time
	// due is when an answer is on time, deadline when it must be final.
	due      time.Time
	deadline time.Time
	// firstBy is when a stream's caller leaves that has no event yet.
	firstBy time.Time

	tried []string
	// runs is how many endpoints may have run the request.
	runs int
	// sends is how many endpoints it was sent to.
	sends int
	// headed is set once the answer's header has gone to the caller.
	headed bool
	// status is that of the endpoint's answer.
	status int
}

// ServeHTTP answers callers' requests.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	f.inFlight.Add(1)
	f.lastRequest.Store(now.UnixNano())
	defer f.inFlight.Add(-1)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{f: f, w: w, in: r, ctx: r.Context(), began: now}
	x.boundWrites(now.Add(defaultTimeout))
	failure := x.serve()
	x.log(failure)
	if failure == nil {
		return
	}
	if x.headed {
		// The answer has begun: only a connection that ends shows the caller that it is not whole.
		panic(http.ErrAbortHandler)
	}
	failure.send(w)
}

// serve carries the request out. It gives the failure that the caller is to be told, or nil once the caller has its
// answer.
func (x *exchange) serve() *FailureError {
	if failure := x.check(); failure != nil {
		return failure
	}
	if failure := x.readBody(); failure != nil {
		return failure
	}
	if failure := x.checkContent(); failure != nil {
		return failure
	}
	if failure := x.checkAvailable(); failure != nil {
		return failure
	}
	ctx, cancel := context.WithDeadline(x.in.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if x.route.Kind == cataloger.Streaming {
		return x.serveStream()
	}
	return x.servePlain()
}

// check finds the route, the client account and the deadline.
func (x *exchange) check() *FailureError {
	if guarder.Ambiguous(x.in.Context()) {
		// Two lengths of one body: where the next request begins is in doubt, and a hidden one could follow.
		x.w.Header().Set("Connection", "close")
		return &FailureError{Status: http.StatusBadRequest, Reason: "ambiguousLength"}
	}
	x.f.mu.Lock()
	catalog, known := x.f.catalog, x.f.registry.Loaded()
	start := x.f.startReturn(x.began)
	x.f.mu.Unlock()
	if catalog == nil || !known {
		return notRun("starting", start)
	}
	x.version = catalog.Version()
	path, _, _ := strings.Cut(x.in.RequestURI, "?")
	route, found := catalog.Match(x.in.Host, path)
	if !found {
		return &FailureError{Status: http.StatusNotFound, Reason: "noRoute"}
	}
	x.route = route
	var err error
	if x.req, err = x.f.cfg.Wire.ReadRequest(x.in.Header); err != nil {
		return &FailureError{Status: http.StatusBadRequest, Reason: "badHeader"}
	}
	if failure := x.checkKey(catalog); failure != nil {
		return failure
	}
	x.setTimes()
	service, known := catalog.Service(route.Target(xxhash.Sum64String(x.req.ID)))
	if !known {
		return notRun("unknownService", soon())
	}
	x.service = service
	if limit := catalog.Limits().BodyBytes; limit > 0 {
		if x.in.ContentLength > limit {
			x.w.Header().Set("Connection", "close")
			return &FailureError{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
		}
		x.in.Body = http.MaxBytesReader(x.w, x.in.Body, limit)
	}
	return nil
}

func (x *exchange) checkKey(catalog *cataloger.Catalog) *FailureError {
	x.priority = x.route.Priority
	x.homes = homesOf(x.route, nil)
	if !catalog.RequiresKeys() {
		x.keepKey = true
		return nil
	}
	account, known := catalog.Account(x.req.Key)
	if !known {
		if x.route.Anonymous {
			return nil
		}
		return &FailureError{Status: http.StatusUnauthorized, Reason: "unknownKey"}
	}
	x.account = account.Name
	x.homes = homesOf(x.route, account)
	if account.HasPriority {
		x.priority = account.Priority
	}
	return nil
}

// boundWrites ends writing to a caller that does not read. Its request's context does not end a write that waits for the
// caller, and the endpoint's connection and the request's memory would be held for as long as the caller likes.
func (x *exchange) boundWrites(deadline time.Time) {
	// An error means that the connection takes no deadline, as in tests of the handler alone.
	_ = http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(writeGrace))
}

func (x *exchange) setTimes() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.req.Timeout > 0 {
		timeout = min(timeout, x.req.Timeout)
	}
	x.deadline = x.began.Add(timeout)
	x.due = x.began.Add(x.route.Objective)
	x.firstBy = x.deadline
	if patience := x.route.FirstEventTimeout; patience > 0 && patience < timeout {
		x.firstBy = x.began.Add(patience)
	}
	x.boundWrites(x.deadline)
}

func (x *exchange) readBody() *FailureError {
	if x.in.ContentLength == 0 {
		return nil
	}
	// An error means that the connection takes no deadline; then the server's own bound holds.
	_ = http.NewResponseController(x.w).SetReadDeadline(x.began.Add(bodyTimeout))
	body, err := io.ReadAll(x.in.Body)
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		x.w.Header().Set("Connection", "close")
		return &FailureError{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	if err != nil {
		x.w.Header().Set("Connection", "close")
		return &FailureError{Status: http.StatusBadRequest, Reason: "bodyCut"}
	}
	x.body = body
	return nil
}

// choose picks the next endpoint for the request and counts the call there.
func (x *exchange) choose(query selector.Query) (selector.Choice, bool) {
	now := time.Now()
	query.Service = x.service.Name
	query.Exclude = x.tried
	query.Regions = x.homes
	query.NoProbe = !x.route.Repeatable()
	x.f.mu.Lock()
	choice, found := x.f.selector.Choose(query, now)
	if found {
		x.f.selector.RecordStart(choice, query.Parts, now)
	}
	age := x.f.registry.Age(now)
	count := x.f.selector.EndpointCount(query.Service)
	x.f.mu.Unlock()
	x.f.cfg.Meter.Counter(meter.ForwardCalls, query.Service).Inc(1)
	x.f.note("endpoint chosen",
		zap.String("request", x.req.ID),
		zap.String("service", query.Service),
		zap.Bool("found", found),
		zap.String("endpoint", choice.Endpoint.ID),
		zap.String("zone", choice.Endpoint.Zone),
		zap.Int("tokens", choice.Tokens),
		zap.Int("cached", choice.Cached),
		zap.Int("known", count),
		zap.Duration("age", age))
	return choice, found
}

// mayTryAgain spends a part of the budget of extra calls.
func (x *exchange) mayTryAgain() bool {
	if x.sends >= maxEndpoints {
		return false
	}
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if x.sends == 0 {
		x.f.retrier.RecordFirstAttempt(x.service.Name, false, now)
		return true
	}
	allowed := x.f.retrier.TakeRetry(x.service.Name, x.sends, now)
	if allowed {
		x.f.cfg.Meter.Counter(meter.ForwardRepeats, x.service.Name).Inc(1)
	}
	x.f.log.Info("another endpoint",
		zap.String("request", x.req.ID),
		zap.String("service", x.service.Name),
		zap.Bool("allowed", allowed),
		zap.Int("sends", x.sends),
		zap.Int("runs", x.runs))
	return allowed
}

// callInfo is what a call to the endpoint says.
func (x *exchange) callInfo(e registrar.Endpoint, now time.Time) CallInfo {
	return CallInfo{
		Timeout:     x.deadline.Sub(now),
		Instance:    e.ID,
		Account:     x.account,
		ForwardKey:  x.keepKey,
		Priority:    x.priority,
		HasPriority: x.service.Model != nil,
	}
}

// left tells how long the request may still take.
func (x *exchange) left(now time.Time) time.Duration { return x.deadline.Sub(now) }

// callerGone tells that nobody waits for the answer any more.
func (x *exchange) callerGone() bool { return x.in.Context().Err() != nil }

// log writes one line for the request's end.
func (x *exchange) log(failure *FailureError) {
	took := time.Since(x.began)
	x.f.cfg.Meter.Histogram(meter.ForwardMicros).Update(took.Microseconds())
	fields := []zap.Field{
		zap.String("request", x.req.ID),
		zap.Duration("took", took),
		zap.Int64("version", x.version),
		zap.Int("sends", x.sends),
		zap.Int("runs", x.runs),
		zap.String("target", x.in.RequestURI),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.String("account", x.account))
	}
	if len(x.tried) > 0 {
		fields = append(fields, zap.Strings("endpoints", x.tried))
	}
	if failure == nil {
		x.f.cfg.Meter.Counter(meter.ForwardRequests, answeredOK).Inc(1)
		x.f.note("request answered", append(fields, zap.Int("status", x.status))...)
		return
	}
	x.f.cfg.Meter.Counter(meter.ForwardRequests, failure.Reason).Inc(1)
	fields = append(fields,
		zap.Int("status", failure.Status),
		zap.String("reason", failure.Reason),
		zap.Duration("retryAfter", failure.RetryAfter),
		zap.Bool("callerGone", x.callerGone()))
	x.f.log.Warn("request failed", fields...)
}
