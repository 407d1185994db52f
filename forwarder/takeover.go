package forwarder

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/meter"
	"geraniumline/selector"
)

// takeoverOverlap is how long an endpoint has to refuse a call before the silent endpoint is left. Refusals come within a round
// trip. It is short, since both endpoints may work on the request meanwhile.
const takeoverOverlap = 150 * time.Millisecond

// takeoverConnectTime bounds the time until a call to another endpoint is sent, directly or through a peer.
const takeoverConnectTime = 2 * connector.DefaultDialTimeout

// maxTakeoverTries bounds the preparations that come to nothing in one silence. Each may make a stage work, or use up a retry.
const maxTakeoverTries = 2

// takeoverConfig configures a takeover.
type takeoverConfig struct {
	// leave ends the call to the silent endpoint.
	leave context.CancelFunc
	// silence is how long the endpoint may be silent at first.
	silence time.Duration
	// recheck is how often it is checked again whether another endpoint may take the request; 0 for only once.
	recheck time.Duration
	// mayLeave reports whether another endpoint may take the request as far as the retry budget is concerned.
	mayLeave func(now time.Time) bool
	// prepare provides what another endpoint needs, and reports whether it has; nil if it needs nothing.
	prepare func(ctx context.Context) bool
	// abandon gives back what prepare has provided.
	abandon func()
	query   func() selector.Query
	// call returns the builder of the call to an endpoint. It is called while nothing arrives.
	call func(choice selector.Choice) callBuilder
	// reason names the silence in logs and metrics.
	reason func() string
}

// takeover has another endpoint take a request from a silent one. The silent endpoint may still answer, so it is left only once
// the other one has got the request and has not refused it: a response that has begun would otherwise be broken off if there is
// no retry left, an input can't be made again, or all others refuse.
//
// The goroutine of the exchange calls the methods up to expire; while it waits for the silent endpoint, the goroutine of the timer
// may change the counts of the exchange.
type takeover struct {
	x   *exchange
	cfg takeoverConfig

	mu    sync.Mutex
	timer *time.Timer
	// limit is how long the endpoint may be silent after silentSince.
	limit       time.Duration
	silentSince time.Time
	// busy is set while the exchange handles what has arrived, ended once its attempt is over, and prepared while what another
	// endpoint needs is provided.
	busy, ended, prepared bool
	// tries counts the preparations that came to nothing.
	tries int
	// abort ends the preparation that is under way, done is closed at its end; both are nil if there is none.
	abort context.CancelFunc
	done  chan struct{}
	// next is the call to the endpoint that has taken the request.
	next *attempt
}

// watchSilence starts a takeover for the attempt that is sent now.
func (x *exchange) watchSilence(cfg takeoverConfig, now time.Time) *takeover {
	t := &takeover{x: x, cfg: cfg, limit: cfg.silence, silentSince: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(cfg.silence, t.expire)
	return t
}

// receiving records that the endpoint has sent something, and ends a preparation. It returns false if another endpoint has taken
// the request: what arrives then must not reach the caller, who gets the rest from the other one.
func (t *takeover) receiving() bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next != nil {
		return false
	}
	t.busy = true
	if t.abort != nil {
		t.abort()
	}
	return true
}

// settle waits until a preparation that receiving has ended is over.
func (t *takeover) settle() {
	if t == nil {
		return
	}
	t.mu.Lock()
	done := t.done
	t.mu.Unlock()
	if done != nil {
		<-done
	}
}

// received records that what has arrived is handled. The endpoint may be silent for limit from now on.
func (t *takeover) received(limit time.Duration, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy = false
	t.limit, t.silentSince = limit, now
	if t.abort == nil {
		t.tries = 0
	}
	if t.abort == nil && t.prepared {
		t.giveBack()
	}
	if t.abort == nil && t.next == nil && t.x.mayRunAgain() {
		t.timer.Reset(limit)
	}
}

// stop ends the takeover with an attempt that has answered. It returns the call to the endpoint that has taken the request all
// the same, or nil.
func (t *takeover) stop() *attempt {
	if t == nil {
		return nil
	}
	t.receiving()
	return t.handOver()
}

// handOver ends the takeover with an attempt that has failed. It returns the call to the endpoint that has taken the request, or
// nil; one that is just being asked may still take it.
func (t *takeover) handOver() *attempt {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	t.ended = true
	t.timer.Stop()
	t.mu.Unlock()
	t.settle()
	next := t.next
	t.next = nil
	return next
}

// expire looks for another endpoint once the present one has been silent for too long.
func (t *takeover) expire() {
	now := time.Now()
	t.mu.Lock()
	if t.ended || t.busy || t.abort != nil || t.tries >= maxTakeoverTries || !t.x.mayRunAgain() {
		t.mu.Unlock()
		return
	}
	if left := t.limit - now.Sub(t.silentSince); left > 0 {
		t.timer.Reset(left)
		t.mu.Unlock()
		return
	}
	ctx, abort := context.WithCancel(t.x.ctx)
	defer abort()
	done := make(chan struct{})
	t.abort, t.done = abort, done
	t.mu.Unlock()

	next := t.findAnother(ctx)
	taken := next != nil && t.take(ctx, next)
	if !taken {
		t.x.dropAttempt(next)
	}

	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(done)
	t.abort, t.done = nil, nil
	if !taken {
		t.rearm()
	}
}

// take leaves the silent endpoint for one that has the request. It returns false if the silent one has gone on.
func (t *takeover) take(ctx context.Context, next *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	t.next = next
	t.logLeaving(next)
	t.cfg.leave()
	return true
}

// rearm starts the timer again after a preparation that came to nothing. The lock must be held.
func (t *takeover) rearm() {
	switch {
	case t.ended || t.busy:
	case time.Since(t.silentSince) < t.limit:
		t.timer.Reset(t.limit - time.Since(t.silentSince))
	case t.cfg.recheck > 0:
		t.timer.Reset(t.cfg.recheck)
	}
}

func (t *takeover) logLeaving(next *attempt) {
	x := t.x
	reason := t.cfg.reason()
	x.f.cfg.Meter.Counter(meter.ForwardStalls, reason).Inc(1)
	x.f.log.Info("leaving a silent endpoint",
		zap.String("request", x.req.ID),
		zap.Strings("endpoints", x.tried),
		zap.String("next", next.choice.Endpoint.ID),
		zap.String("reason", reason),
		zap.Duration("silentFor", time.Since(t.silentSince)))
}

// findAnother returns the call to another endpoint that has not refused the request, or nil.
func (t *takeover) findAnother(ctx context.Context) *attempt {
	t.x.awaitCrashCheck()
	now := time.Now()
	if !t.x.partsAreFree(now) || !t.cfg.mayLeave(now) {
		return nil
	}
	// The retry comes first: it bounds the work that preparations cause. One that is not used is kept for the next attempt.
	if t.x.attempts >= maxEndpointsPerRequest || !t.x.payAttempt(now) {
		return nil
	}
	if t.cfg.prepare != nil {
		t.prepared = true
		if !t.cfg.prepare(ctx) {
			t.tries++
			t.giveBack()
			return nil
		}
	}
	next := t.sendAhead(ctx)
	if next == nil {
		return nil
	}
	result, ended := next.awaitRefusal(ctx)
	switch {
	case !ended:
		return next
	case t.accepts(result):
		next.result <- result
		return next
	default:
		t.tries++
		t.x.endAhead(next, result)
		return nil
	}
}

// giveBack gives back what was provided for another endpoint.
func (t *takeover) giveBack() {
	t.cfg.abandon()
	t.prepared = false
}

// sendAhead sends the request to another endpoint while the silent one still has it. It returns nil if there is none.
func (t *takeover) sendAhead(ctx context.Context) *attempt {
	x := t.x
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if ctx.Err() != nil {
		return nil
	}
	choice, found := x.chooseEndpoint(t.cfg.query(), now)
	if !found {
		return nil
	}
	x.attempts++
	x.tried = append(x.tried, choice.Endpoint.ID)
	callCtx, cancel := context.WithCancel(x.ctx)
	next := &attempt{choice: choice, sentAt: now, result: make(chan sendResult, 1), sent: make(chan struct{}), cancel: cancel}
	build := t.cfg.call(choice)
	onSent := sync.OnceFunc(func() { close(next.sent) })
	go func() {
		resp, err := x.f.send(callCtx, func(now time.Time) *connector.Call {
			call := build(now)
			call.OnSent = onSent
			return call
		})
		next.result <- sendResult{resp, err}
	}()
	return next
}

// accepts reports whether an endpoint has taken the request, by the result of its call.
func (t *takeover) accepts(result sendResult) bool {
	return result.err == nil && isSuccess(result.resp.Status()) &&
		!t.x.f.cfg.Wire.ReadResponse(result.resp.Status(), result.resp.Header()).NotRun
}
