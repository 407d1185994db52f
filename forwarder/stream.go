package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"geraniumline/connector"
	"geraniumline/ejector"
	"geraniumline/meter"
	"geraniumline/selector"
	"geraniumline/splitter"
)

const (
	// stallFactor is how many times the longest good pause a stream that may be resumed may be silent.
	stallFactor = 4
	// leastStall keeps short pauses from being taken for a stall.
	leastStall = time.Second
	// streamBuffer takes some dozens of events.
	streamBuffer = 16 << 10
)

// streamer passes the events of one request on.
type streamer struct {
	x      *exchange
	stages *stageWork
	// last is the number of the last event that the caller has.
	last    int64
	hasLast bool
}

// serveStream has the stages done and passes the model's events on.
func (x *exchange) serveStream() *FailureError {
	stages := newStageWork(x)
	defer stages.freeAll()
	if failure := stages.checkTime(x.began); failure != nil {
		return failure
	}
	if failure := x.checkHeld(); failure != nil {
		return failure
	}
	if failure := stages.run(); failure != nil {
		return failure
	}
	s := &streamer{x: x, stages: stages}
	for {
		if !x.mayTryAgain() {
			return x.giveUp("noEndpointTook")
		}
		if failure := stages.restore(); failure != nil {
			return x.giveUp(failure.Reason)
		}
		choice, found := x.choose(selector.Query{Parts: x.req.Parts, ZoneBytes: stages.plan.InputBytesByZone()})
		if !found {
			return x.noEndpoint()
		}
		done, failure := s.try(choice)
		if done {
			return failure
		}
	}
}

// try has the stream from one endpoint. It tells whether the request has ended.
func (s *streamer) try(choice selector.Choice) (bool, *FailureError) {
	x := s.x
	began := time.Now()
	x.sends++
	x.tried = append(x.tried, choice.Endpoint.ID)
	info := x.callInfo(choice.Endpoint, began)
	info.Inputs = s.stages.plan.RequestInputs()
	if s.hasLast {
		x.f.cfg.Meter.Counter(meter.ForwardResumes).Inc(1)
		info.LastEvent = strconv.FormatInt(s.last, 10)
	}
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	stall := s.watch(cancel, began)
	defer stall.Stop()
	fetched := s.stages.freeFetched()
	answer, err := x.f.cfg.Client.Do(ctx, x.call(choice, info))
	fetched()
	if err != nil {
		return s.failed(choice, err)
	}
	defer answer.Close()
	if info := x.f.readAnswer(&choice.Endpoint, answer); info.NotRun {
		return s.refused(choice, answer, info)
	}
	if answer.Status() != http.StatusOK {
		return s.other(choice, answer)
	}
	return s.follow(&choice, answer, stall, began)
}

// watch ends a silent attempt at a stream that may go on at another endpoint. An attempt that may not is left alone:
// its silence is no reason to end the answer.
func (s *streamer) watch(cancel context.CancelFunc, now time.Time) *time.Timer {
	if !s.mayResume() {
		return time.NewTimer(s.x.left(now) + time.Hour)
	}
	return time.AfterFunc(max(leastStall, s.x.route.Objective/2), cancel)
}

func (s *streamer) mayResume() bool {
	return s.x.route.Repeatable() && s.x.runs+1 < s.x.route.MaxAttempts
}

func (s *streamer) stallTime() time.Duration {
	return max(leastStall, stallFactor*s.x.route.EventGap)
}

// refused passes over an endpoint that did not run the request.
func (s *streamer) refused(choice selector.Choice, answer *connector.Answer, info ResponseInfo) (bool, *FailureError) {
	if _, err := answer.ReadWhole(maxPlainAnswer); err != nil {
		s.x.f.log.Debug("refusal cut short", zap.String("request", s.x.req.ID), zap.Error(err))
	}
	s.x.endRefused(choice)
	if info.InputGone && !s.stages.plan.FinalResultsFreed() {
		return true, s.x.giveUp("stageResultGone")
	}
	return false, nil
}

// other passes on an answer that is no stream.
func (s *streamer) other(choice selector.Choice, answer *connector.Answer) (bool, *FailureError) {
	x := s.x
	body, err := answer.ReadWhole(maxPlainAnswer)
	if err != nil {
		return s.failed(choice, err)
	}
	x.runs++
	x.end(choice, ejector.Bad, true)
	if x.againAfterRun() {
		return false, nil
	}
	if x.headed {
		return true, mayHaveRun("endpointFailed")
	}
	x.sendWhole(answer, body)
	return true, nil
}

// failed decides what follows an attempt that broke off.
func (s *streamer) failed(choice selector.Choice, err error) (bool, *FailureError) {
	s.x.f.log.Info("stream broke off",
		zap.String("request", s.x.req.ID),
		zap.String("endpoint", choice.Endpoint.ID),
		zap.Int64("lastEvent", s.last),
		zap.Bool("callerGone", s.x.callerGone()),
		zap.Error(err))
	return s.x.failed(choice, err)
}

// follow passes whole events on until the stream ends.
func (s *streamer) follow(choice *selector.Choice, answer *connector.Answer, stall *time.Timer, sent time.Time) (bool, *FailureError) {
	split := splitter.New(0)
	buf := make([]byte, streamBuffer)
	first := true
	for {
		n, err := answer.Read(buf)
		if n > 0 {
			events, splitErr := split.Feed(buf[:n])
			if splitErr != nil {
				return s.failed(*choice, splitErr)
			}
			if len(events) > 0 && first {
				first = false
				s.begin(choice, answer, sent)
			}
			s.send(events)
			if s.mayResume() {
				stall.Reset(s.stallTime())
			}
		}
		if errors.Is(err, io.EOF) {
			return s.finish(*choice, answer, split.Rest(), first)
		}
		if err != nil {
			return s.failed(*choice, err)
		}
	}
}

// begin passes the header on with the first event: until then another endpoint can take over unseen. The inputs have
// been read by then, so their space is given back.
func (s *streamer) begin(choice *selector.Choice, answer *connector.Answer, sent time.Time) {
	x := s.x
	took := time.Since(sent)
	x.f.cfg.Meter.Histogram(meter.ForwardFirstMicros).Update(took.Microseconds())
	x.f.cfg.Meter.Histogram(meter.ForwardStageMicros).Update(sent.Sub(x.began).Microseconds())
	x.f.note("first event",
		zap.String("request", x.req.ID),
		zap.String("endpoint", choice.Endpoint.ID),
		zap.Duration("stagesTook", sent.Sub(x.began)),
		zap.Duration("modelTook", took))
	x.f.mu.Lock()
	x.f.selector.ObserveFirstEvent(*choice, time.Since(sent))
	x.f.selector.RecordPromptRead(choice)
	x.f.mu.Unlock()
	s.stages.free(s.stages.plan.FreeFinalResults())
	s.head(answer)
}

func (s *streamer) head(answer *connector.Answer) {
	if s.x.headed {
		return
	}
	s.x.headed = true
	s.x.status = answer.Status()
	s.x.copyHeader(answer.Header())
	s.x.w.WriteHeader(answer.Status())
}

// send passes events on that the caller does not have yet.
func (s *streamer) send(events []splitter.Event) {
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
		// An error means that the caller has gone; the request's context then ends the exchange.
		_, _ = s.x.w.Write(e.Data)
	}
	_ = http.NewResponseController(s.x.w).Flush()
}

// finish ends a whole stream.
func (s *streamer) finish(choice selector.Choice, answer *connector.Answer, rest []byte, empty bool) (bool, *FailureError) {
	s.x.runs++
	s.x.end(choice, ejector.Good, false)
	s.x.clearContent()
	s.head(answer)
	if len(rest) > 0 || empty {
		_, _ = s.x.w.Write(rest)
	}
	return true, nil
}
