package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/meter"
	"geraniumline/selector"
	"geraniumline/splitter"
)

const (
	// stallFactor is how many times the longest normal pause a resumable stream may be silent.
	stallFactor = 4
	// minStallTime keeps short pauses from being treated as a stall.
	minStallTime = time.Second
	// streamBuffer is the size in bytes of the read buffer, which holds some dozens of events.
	streamBuffer = 16 << 10
)

// streamer relays the events of one request.
type streamer struct {
	x      *exchange
	stages *stageRunner
	// last is the ID of the last event that the caller has, by this answer or by the one that it resumes.
	last    int64
	hasLast bool
	// sawEvent is set once the present attempt has received an event.
	sawEvent atomic.Bool
	// next is the call to the endpoint that has taken the stream from a silent one; nil if there is none.
	next *attempt
	// left is set once a silent endpoint was left.
	left bool
}

// serveStream runs the stages and relays the events of the model.
func (x *exchange) serveStream() *FailureError {
	if failure := x.bindResumption(); failure != nil {
		return failure
	}
	if failure := x.holdPieces(); failure != nil {
		return failure
	}
	stages := newStageRunner(x)
	defer stages.freeAll()
	if failure := stages.checkOverload(x.startTime); failure != nil {
		return failure
	}
	if failure := x.checkHeldBack(); failure != nil {
		return failure
	}
	if failure := stages.run(x.ctx); failure != nil {
		return failure
	}
	s := &streamer{x: x, stages: stages}
	if last, err := strconv.ParseInt(x.req.LastEvent, 10, 64); err == nil && x.route.Repeatable() {
		s.last, s.hasLast = last, true
	}
	defer func() { x.dropAttempt(s.next) }()
	for {
		a, failure := s.nextAttempt()
		if failure != nil {
			return failure
		}
		done, failure := s.attempt(a)
		if done {
			return failure
		}
	}
}

// nextAttempt returns the next attempt. Its call is under way already if the endpoint has taken the stream from a silent one.
func (s *streamer) nextAttempt() (*attempt, *FailureError) {
	x := s.x
	if next := s.next; next != nil {
		s.next, s.left = nil, true
		return next, nil
	}
	for wait := silenceRecheck; ; wait = min(2*wait, maxReturnWait) {
		a, failure := s.chooseAttempt()
		if failure == nil || !s.awaitReturn(failure, wait) {
			return a, failure
		}
		// The endpoint that was left may go on, and those that have refused the stream may have room. The last one is asked
		// again after another. A retry that is paid and not used stays paid.
		x.tried = x.tried[len(x.tried)-1:]
		x.paidRetries -= x.attempts - 1
		x.attempts = 1
	}
}

// awaitReturn waits for a moment if the caller has a part of the stream, which has left a silent endpoint, and no endpoint takes
// the rest at present. It returns false if the stream ends, since its time has passed or its caller can send it again.
func (s *streamer) awaitReturn(failure *FailureError, wait time.Duration) bool {
	if !s.left || !s.x.headerSent || !failure.passes() {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.x.ctx.Done():
		return false
	case <-s.x.f.ending:
		return false
	case <-timer.C:
		return true
	}
}

// chooseAttempt chooses the endpoint of the next attempt.
func (s *streamer) chooseAttempt() (*attempt, *FailureError) {
	x := s.x
	if !x.allowAttempt() {
		return nil, x.giveUp("noEndpointTook")
	}
	if failure := s.stages.restoreInputs(x.ctx); failure != nil {
		return nil, x.giveUp(failure.Reason)
	}
	if failure := x.allowParts(); failure != nil {
		return nil, failure
	}
	choice, found := x.awaitEndpoint(x.promptQuery(s.stages.plan.InputBytesByZone()))
	if !found {
		return nil, x.noEndpoint()
	}
	x.attempts++
	x.tried = append(x.tried, choice.Endpoint.ID)
	return &attempt{choice: choice, sentAt: time.Now()}, nil
}

// attempt requests the stream from one endpoint. It reports whether the request has ended.
func (s *streamer) attempt(a *attempt) (bool, *FailureError) {
	x, choice := s.x, a.choice
	s.sawEvent.Store(false)
	x.answerBegan = false
	if x.headerSent {
		x.f.cfg.Meter.Counter(meter.ForwardResumes).Inc(1)
	}
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	watch := s.watchSilence(cancel, choice, a.sentAt)
	stopFreeing := s.stages.freeAfterFetch()
	resp, err := x.f.sendAttempt(ctx, a, s.callTo(choice))
	stopFreeing()
	if err != nil {
		s.next = watch.handOver()
		return s.handleFailure(choice, err)
	}
	defer resp.Close()
	x.untilClose = resp.UntilClose()
	if info := x.f.readResponse(&choice.Endpoint, resp); info.NotRun {
		s.next = watch.handOver()
		return s.handleRefusal(choice, resp, info)
	}
	if resp.Status() != http.StatusOK {
		s.next = watch.handOver()
		return s.handleErrorResponse(choice, resp)
	}
	return s.relay(&choice, resp, watch, a.sentAt)
}

// callTo returns the builder of the call to an endpoint, with which the stream goes on after the last event.
func (s *streamer) callTo(choice selector.Choice) callBuilder {
	last := ""
	if s.hasLast {
		last = strconv.FormatInt(s.last, 10)
	}
	inputs := s.stages.plan.RequestInputs()
	return func(now time.Time) *connector.Call {
		info := s.x.callInfo(choice.Endpoint, now)
		info.Inputs, info.LastEvent = inputs, last
		return s.x.call(choice, info)
	}
}

// watchSilence has another endpoint take the stream if its endpoint is silent for long: a silent endpoint may still answer, a
// request that no endpoint may take is lost. It returns nil for a stream that may not be resumed, which isn't left, as silence
// alone is no reason to end the response.
func (s *streamer) watchSilence(leave context.CancelFunc, choice selector.Choice, now time.Time) *takeover {
	x := s.x
	if !x.mayRunAgain() {
		return nil
	}
	x.f.mu.Lock()
	elsewhere := x.f.selector.PredictUncached(x.service.Name, x.req.Parts)
	x.f.mu.Unlock()
	limit := firstEventSilence{
		min:       max(minStallTime, x.route.Objective/2),
		predicted: choice.UncachedFirstEvent,
		deviation: choice.Deviation,
		elsewhere: elsewhere,
		left:      x.firstEventDeadline.Sub(now),
	}.limit()
	return x.watchSilence(takeoverConfig{
		leave:    leave,
		silence:  limit,
		recheck:  silenceRecheck,
		mayLeave: func(now time.Time) bool { return x.f.mayRetry(x.endpointQuery(selector.Query{}), now) },
		prepare:  s.stages.prepareInputs,
		abandon:  s.stages.abandonInputs,
		query:    func() selector.Query { return x.promptQuery(s.stages.plan.InputBytesByZone()) },
		call:     s.callTo,
		reason:   s.stallReason,
	}, now)
}

func (s *streamer) stallReason() string {
	if s.sawEvent.Load() {
		return stalledBetweenEvents
	}
	return stalledBeforeFirstEvent
}

func (s *streamer) stallTimeout() time.Duration {
	return max(minStallTime, stallFactor*s.x.route.EventGap)
}

// handleRefusal handles an endpoint that refused the request without running it. If one of its inputs is gone, since the
// process that made it has ended, all are freed here and computed again before the next attempt, while the caller still
// waits for its first event.
func (s *streamer) handleRefusal(choice selector.Choice, resp *connector.Response, info ResponseInfo) (bool, *FailureError) {
	s.x.f.discardRefusal(&choice.Endpoint, resp)
	s.x.endRefusedCall(choice)
	if s.next != nil {
		return false, nil
	}
	if !info.InputGone || s.stages.plan.FinalResultsFreed() {
		return false, nil
	}
	if !s.x.headerSent && !time.Now().Before(s.x.firstEventDeadline) {
		return true, s.x.giveUp("stageResultGone")
	}
	s.stages.free(s.stages.plan.FreeFinalResults())
	return false, nil
}

// handleErrorResponse handles a response that is not a stream.
func (s *streamer) handleErrorResponse(choice selector.Choice, resp *connector.Response) (bool, *FailureError) {
	x := s.x
	body, err := x.readResponseBody(resp)
	if err != nil {
		return s.handleFailure(choice, err)
	}
	x.runs++
	x.endCall(choice, ejector.Bad, true)
	if s.next != nil || x.mayRetryAfterRun() {
		return false, nil
	}
	if x.headerSent {
		return true, mayHaveRun("endpointFailed")
	}
	x.writeResponse(resp, body)
	return true, nil
}

// handleFailure handles an attempt that was interrupted.
func (s *streamer) handleFailure(choice selector.Choice, err error) (bool, *FailureError) {
	s.x.f.log.Info("stream interrupted",
		zap.String("request", s.x.req.ID),
		zap.String("endpoint", choice.Endpoint.ID),
		zap.String("endpointVersion", choice.Endpoint.Version),
		zap.Int64("lastEvent", s.last),
		zap.Bool("untilClose", s.x.untilClose),
		zap.Bool("callerGone", s.x.callerGone()),
		zap.Error(err))
	return s.x.handleFailure(choice, err)
}

// relay writes complete events to the caller until the stream ends.
func (s *streamer) relay(choice *selector.Choice, resp *connector.Response, watch *takeover, sent time.Time) (bool, *FailureError) {
	split := splitter.New(0)
	hold := s.x.f.budget.Hold(choice.Endpoint.Address)
	defer hold.Release()
	failed := func(err error) (bool, *FailureError) {
		s.next = watch.handOver()
		return s.handleFailure(*choice, err)
	}
	buf := make([]byte, streamBuffer)
	first := true
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if !watch.receiving() {
				return failed(context.Canceled)
			}
			events, splitErr := split.Feed(buf[:n])
			splitErr = cmp.Or(splitErr, hold.Resize(int64(len(split.Remainder()))))
			if splitErr != nil {
				return failed(splitErr)
			}
			if len(events) > 0 && first {
				first = false
				s.sawEvent.Store(true)
				watch.settle()
				s.beginResponse(choice, resp, sent)
			}
			s.writeEvents(events)
			watch.received(s.stallTimeout(), time.Now())
		}
		if errors.Is(err, io.EOF) {
			if err := checkEnd(resp, split, first); err != nil {
				return failed(err)
			}
			s.next = watch.stop()
			return s.finish(*choice, resp, split.Remainder(), first)
		}
		if err != nil {
			return failed(err)
		}
	}
}

// beginResponse writes the header with the first event; until then another endpoint can take over unnoticed by the
// caller. The endpoint has read its inputs by then, so their space is freed.
func (s *streamer) beginResponse(choice *selector.Choice, resp *connector.Response, sent time.Time) {
	x := s.x
	x.answerBegan = true
	took := time.Since(sent)
	x.f.cfg.Meter.Histogram(meter.ForwardFirstEventMicros).Update(took.Microseconds())
	x.f.cfg.Meter.Histogram(meter.ForwardStagesMicros).Update(sent.Sub(x.startTime).Microseconds())
	x.f.logSampled("first event",
		zap.String("request", x.req.ID),
		zap.String("endpoint", choice.Endpoint.ID),
		zap.String("endpointVersion", choice.Endpoint.Version),
		zap.Bool("resumed", s.hasLast || x.req.LastEvent != ""),
		zap.Duration("stagesTook", sent.Sub(x.startTime)),
		zap.Duration("modelTook", took),
		zap.Duration("predicted", choice.FirstEvent))
	x.f.withLock(func() []func() {
		now := sent.Add(took)
		x.f.logPartChanges(x.f.parts.RecordAnswer(x.parts, now))
		x.f.observeFirstEvent(*choice, took, now)
		x.f.selector.RecordPromptRead(choice)
		version := choice.Endpoint.Version
		if !x.streamVersion.CompareAndSwap(nil, &version) {
			return nil
		}
		return x.recordOrigin(choice, now)
	})
	s.stages.free(s.stages.plan.FreeFinalResults())
	s.writeHeader(resp)
}

func (s *streamer) writeHeader(resp *connector.Response) {
	if s.x.headerSent {
		return
	}
	s.x.setResetOnClose(true)
	s.x.headerSent = true
	s.x.status = resp.Status()
	s.x.copyHeader(resp.Header())
	s.x.w.WriteHeader(resp.Status())
}

// writeEvents writes the events that the caller does not have yet.
func (s *streamer) writeEvents(events []splitter.Event) {
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		if e.HasID {
			if s.hasLast && e.ID <= s.last {
				continue
			}
			s.last, s.hasLast = e.ID, true
		}
		// An error means that the caller has disconnected; the request's context then ends the exchange.
		_, _ = s.x.w.Write(e.Data)
		s.x.progress.recordEvent(time.Now())
	}
	_ = http.NewResponseController(s.x.w).Flush()
}

// finish ends a complete stream.
func (s *streamer) finish(choice selector.Choice, resp *connector.Response, rest []byte, empty bool) (bool, *FailureError) {
	s.x.runs++
	s.x.endCall(choice, ejector.Good, false)
	s.x.recordContentServed()
	s.writeHeader(resp)
	if len(rest) > 0 || empty {
		_, _ = s.x.w.Write(rest)
	}
	s.x.setResetOnClose(false)
	return true, nil
}
