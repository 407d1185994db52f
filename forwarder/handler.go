package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/connector"
	"geraniumline/guarder"
	"geraniumline/meter"
	"geraniumline/quarantiner"
	"geraniumline/registrar"
	"geraniumline/selector"
)

const (
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * time.Second
	// writeGrace is how long after a request's deadline its response may still be written: a response that is ready
	// is delivered even if it is late.
	writeGrace = 2 * time.Second
)

// exchange is the state of one request.
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
	// allowedRegions are the regions in which the request may be served; nil allows all.
	allowedRegions []string
	// priority is taken from the client account or the route; 0 is the highest.
	priority   int
	forwardKey bool
	body       connector.Body
	// hold is what the request holds of the memory for callers' requests, answerHold what its complete response holds of that
	// for responses.
	hold       *guarder.Hold
	answerHold *connector.Hold
	startTime  time.Time
	// due is when the response should be delivered, and deadline when the request ends with a final result.
	due      time.Time
	deadline time.Time
	// firstEventDeadline is when the caller of a stream gives up if it has received no event.
	firstEventDeadline time.Time

	tried []string
	// runs counts the endpoints that may have run the request.
	runs int
	// attempts counts the endpoints that the request was sent to.
	attempts int
	// paidRetries counts the retries taken from the budget for this request.
	paidRetries int
	// headerSent is set once the response header was written to the caller.
	headerSent bool
	// status is the status of the endpoint's response.
	status int
	// parts are the parts of the prompt that other requests may have too.
	parts []quarantiner.Part
	// trial is set while the request is sent as the trial of a part that crashes endpoints.
	trial bool
	// answerBegan is set once the endpoint of the present attempt has sent the first event of a stream.
	answerBegan bool
	// crashChecked is closed once it was checked whether the endpoint of the last broken attempt crashed; nil if none broke.
	crashChecked <-chan struct{}
	// untilClose is set if the body of the last response of an endpoint ends with its connection.
	untilClose bool
	// streamVersion is the software version of the endpoint that began the stream, at which alone it may go on; nil before
	// the first event.
	streamVersion atomic.Pointer[string]
	progress      progress
	// bodyRead is set once the body is complete.
	bodyRead bool
}

// ServeHTTP serves callers' requests.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	f.inFlight.Add(1)
	f.lastRequest.Store(now.UnixNano())
	defer f.inFlight.Add(-1)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{f: f, w: w, in: r, ctx: r.Context(), startTime: now, hold: guarder.HoldOf(r.Context())}
	defer x.releaseAnswer()
	defer x.logPanic()
	x.setWriteDeadline(now.Add(defaultTimeout))
	x.awaitBody()
	failure := x.serve()
	x.log(failure)
	if failure == nil {
		x.hold.RecordAnswered()
		return
	}
	x.endBody(time.Now())
	if x.headerSent {
		// The header was already written: closing the connection is the only way to show that the response is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
	failure.write(w)
}

// logPanic logs a panic of the handler and closes the caller's connection. net/http would close it without a trace, since its
// own log, to which strangers can write, is off.
func (x *exchange) logPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		x.f.cfg.Meter.Counter(meter.ForwardPanics).Inc(1)
		x.f.log.Error("request handler panicked",
			zap.String("request", x.req.ID),
			zap.Int64("version", x.version),
			zap.Any("cause", cause),
			zap.Stack("stack"))
	}
	panic(http.ErrAbortHandler)
}

// serve handles the request. It returns the failure to report to the caller, or nil once the response was written.
func (x *exchange) serve() *FailureError {
	if x.f.refusing.Load() {
		return x.refuseStopping()
	}
	if failure := x.check(); failure != nil {
		return failure
	}
	if failure := x.readBody(); failure != nil {
		return failure
	}
	if failure := x.holdService(); failure != nil {
		return failure
	}
	if failure := x.checkQuarantine(); failure != nil {
		return failure
	}
	if failure := x.checkParts(); failure != nil {
		return failure
	}
	if failure := x.checkAvailable(); failure != nil {
		return failure
	}
	ctx, cancel := context.WithDeadline(x.in.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.f.endContext, cancel)()
	x.ctx = ctx
	if x.route.Kind == cataloger.Streaming {
		return x.serveStream()
	}
	return x.servePlain()
}

// check determines the route, the client account, the deadlines and the service.
func (x *exchange) check() *FailureError {
	if guarder.HasAmbiguousLength(x.in.Context()) {
		// The request has two conflicting body lengths, so the start of the next request is ambiguous and could hide
		// a smuggled one.
		x.w.Header().Set("Connection", "close")
		return &FailureError{Status: http.StatusBadRequest, Reason: "ambiguousLength"}
	}
	x.f.mu.Lock()
	catalog, loaded := x.f.catalog, x.f.loaded()
	retryAfter := x.f.startupRetryDelay(x.startTime)
	x.f.mu.Unlock()
	if !loaded {
		return notRun("starting", retryAfter)
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
	if route.Fault != nil {
		return notRun("unusableRoute", shortRetryDelay())
	}
	x.setDeadlines()
	service, known := catalog.Service(route.Target(x.req.targetSeed()))
	if !known {
		return notRun("unknownService", shortRetryDelay())
	}
	x.service = service
	limit := catalog.Limits().BodyBytes
	if x.in.ContentLength > limit {
		x.w.Header().Set("Connection", "close")
		return &FailureError{Status: http.StatusRequestEntityTooLarge, Reason: "bodyTooLarge"}
	}
	if admission := x.f.cfg.Admission; admission != nil && x.in.ContentLength > admission.MaxBytes() {
		x.w.Header().Set("Connection", "close")
		return notRun("noMemory", shortRetryDelay())
	}
	x.in.Body = http.MaxBytesReader(x.w, x.in.Body, limit)
	return nil
}

func (x *exchange) checkKey(catalog *cataloger.Catalog) *FailureError {
	x.priority = x.route.Priority
	x.allowedRegions = allowedRegionsOf(x.route, nil)
	if !catalog.RequiresKeys() {
		x.forwardKey = true
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
	x.allowedRegions = allowedRegionsOf(x.route, account)
	if account.HasPriority {
		x.priority = account.Priority
	}
	return nil
}

// setWriteDeadline bounds writes to a caller that does not read. Cancelling the request context does not interrupt a
// blocked write, so the endpoint's connection and the request's memory would be held indefinitely.
func (x *exchange) setWriteDeadline(deadline time.Time) {
	// An error means that the connection does not support deadlines, as in tests of the handler alone.
	_ = http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(writeGrace))
}

func (x *exchange) setDeadlines() {
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.req.Timeout > 0 {
		timeout = min(timeout, x.req.Timeout)
	}
	x.deadline = x.startTime.Add(timeout)
	x.due = x.startTime.Add(x.route.Objective)
	x.firstEventDeadline = x.deadline
	if wait := x.route.FirstEventTimeout; wait > 0 && wait < timeout {
		x.firstEventDeadline = x.startTime.Add(wait)
	}
	x.setWriteDeadline(x.deadline)
}

// chooseEndpoint selects the next endpoint for the request and counts the call to it.
func (x *exchange) chooseEndpoint(query selector.Query, now time.Time) (selector.Choice, bool) {
	query = x.endpointQuery(query)
	x.f.mu.Lock()
	choice, found := x.f.selector.Choose(query, now)
	if found {
		x.f.selector.RecordStart(choice, query.Parts, now)
		x.f.prompts.add(&choice, query.Parts, now)
		x.f.countPrompt(&choice, query.Parts)
		x.progress.recordSend(now)
	}
	age := x.f.registry.Age(now)
	count := x.f.selector.EndpointCount(query.Service)
	x.f.mu.Unlock()
	x.f.cfg.Meter.Counter(meter.ForwardCalls, query.Service).Inc(1)
	x.f.logSampled("endpoint chosen",
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

// allowAttempt reports whether the request may be sent to one more endpoint. Each attempt after the first uses up
// retry budget, once an endpoint was reached.
func (x *exchange) allowAttempt() bool {
	if x.attempts >= maxEndpointsPerRequest {
		return false
	}
	now := time.Now()
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	if len(x.tried) == 0 {
		x.f.retries.RecordRequest(x.service.Name, now)
	}
	return x.payLocked(now)
}

// payAttempt reports whether the retry budget allows one more attempt, and takes it.
func (x *exchange) payAttempt(now time.Time) bool {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.payLocked(now)
}

// payLocked is payAttempt for callers that hold the lock.
func (x *exchange) payLocked(now time.Time) bool {
	return x.attempts <= x.paidRetries || x.takeRetry(now)
}

// callInfo returns the call metadata for an endpoint.
func (x *exchange) callInfo(e registrar.Endpoint, now time.Time) CallInfo {
	return CallInfo{
		Timeout:     x.deadline.Sub(now),
		Instance:    e.ID,
		Account:     x.account,
		ForwardKey:  x.forwardKey,
		Priority:    x.priority,
		HasPriority: x.service.Model != nil,
	}
}

// remaining returns the time until the request's deadline.
func (x *exchange) remaining(now time.Time) time.Duration { return x.deadline.Sub(now) }

// callerGone reports whether the caller has disconnected.
func (x *exchange) callerGone() bool { return x.in.Context().Err() != nil }

// routeFields returns the log fields of the request's route and client account.
func (x *exchange) routeFields() []zap.Field {
	fields := []zap.Field{
		zap.String("route", x.route.Name),
		zap.String("account", x.account),
		zap.Int("priority", x.priority),
		zap.Duration("objective", x.route.Objective),
	}
	if x.route.Kind == cataloger.Streaming {
		fields = append(fields, zap.Duration("eventGap", x.route.EventGap))
	}
	return fields
}

// log records metrics and writes one log line at the end of the request. "answered" is the number of requests that
// this entry has answered, by which a reader of the log notices lines that the rate limit left out.
func (x *exchange) log(failure *FailureError) {
	took := time.Since(x.startTime)
	x.f.cfg.Meter.Histogram(meter.ForwardMicros).Update(took.Microseconds())
	fields := []zap.Field{
		zap.String("request", x.req.ID),
		zap.Duration("took", took),
		zap.Int64("version", x.version),
		zap.Int("sends", x.attempts),
		zap.Int("runs", x.runs),
		zap.String("target", clip(x.in.RequestURI)),
		zap.String("zone", x.f.cfg.Zone),
	}
	if x.route != nil {
		fields = append(fields, x.routeFields()...)
	}
	if x.service != nil {
		fields = append(fields, zap.String("service", x.service.Name))
	}
	if len(x.tried) > 0 {
		fields = append(fields, zap.Strings("endpoints", x.tried), zap.Bool("untilClose", x.untilClose))
	}
	if x.req.LastEvent != "" {
		fields = append(fields, zap.String("resumesAfter", clip(x.req.LastEvent)), zap.String("resumes", clip(x.req.Resumes)))
	}
	fields = append(fields, x.progress.fields(x.startTime)...)
	answered := x.f.cfg.Meter.Counter(meter.ForwardRequests, outcomeAnswered)
	if failure == nil {
		answered.Inc(1)
		x.f.logSampled("request answered", append(fields, zap.Int("status", x.status), zap.Int64("answered", answered.Count()))...)
		return
	}
	x.f.cfg.Meter.Counter(meter.ForwardRequests, failure.Reason).Inc(1)
	if x.headerSent {
		x.f.cfg.Meter.Counter(meter.ForwardBroken, failure.Reason).Inc(1)
	}
	fields = append(fields,
		zap.Int64("answered", answered.Count()),
		zap.Int("status", failure.Status),
		zap.String("reason", failure.Reason),
		zap.Duration("retryAfter", failure.RetryAfter),
		zap.Bool("brokenOff", x.headerSent),
		zap.Bool("callerGone", x.callerGone()))
	x.f.log.Warn("request failed", fields...)
}
