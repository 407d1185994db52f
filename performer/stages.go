package performer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/jx"

	"geraniumline/endpointserver"
	"geraniumline/meter"
	"geraniumline/reducer"
	"geraniumline/tracer"
)

const (
	endpointIdleConnections = 512
	endpointIdleTimeout     = time.Minute
	endpointDialTimeout     = time.Second
	// cancelTimeout bounds the order to end a stream that nobody waits for.
	cancelTimeout = 2 * time.Second
	// maxLine bounds one part of a reply, in bytes.
	maxLine = 4 << 20
	// maxRefusal bounds the body of a refusal, in bytes.
	maxRefusal = 64 << 10
)

func dialer() *net.Dialer {
	return &net.Dialer{Timeout: endpointDialTimeout, KeepAlive: 15 * time.Second}
}

// stages calls endpoints and brings their replies to the core, part by part.
type stages struct {
	client  *http.Client
	post    func(reducer.Event)
	replies *replies
	meter   *meter.Meter
	ctx     context.Context

	mu      sync.Mutex
	running map[reducer.CallID]*flight
}

// flight is a call that is under way.
type flight struct {
	cancel context.CancelFunc
	stage  string
	// streamID is the name that the endpoint gave the reply in its header, before the first part.
	streamID string
}

// streamHeader names a reply's stream, so that a call that still waits at its endpoint can be cancelled.
const streamHeader = "Stream-Id"

func newStages(cfg Config, post func(reducer.Event), replies *replies) *stages {
	return &stages{
		client:  cfg.Endpoints,
		post:    post,
		replies: replies,
		meter:   cfg.Meter,
		running: map[reducer.CallID]*flight{},
	}
}

// begin gives a context that end cancels.
func (s *stages) begin(id reducer.CallID, stage string) context.Context {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.running[id] = &flight{cancel: cancel, stage: stage}
	s.mu.Unlock()
	return ctx
}

// end forgets a call and gives what it was; nil if it had ended.
func (s *stages) end(id reducer.CallID) *flight {
	s.mu.Lock()
	f := s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	if f != nil {
		f.cancel()
	}
	return f
}

func (s *stages) nameStream(id reducer.CallID, streamID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.running[id]; f != nil {
		f.streamID = streamID
	}
}

// call runs one attempt of a stage.
func (s *stages) call(e *reducer.CallStage) {
	ctx := s.begin(e.Call, e.Body.Stage)
	span := s.replies.span(e.Call.Request).Child("stage "+e.Body.Stage, time.Now())
	span.Set("endpoint", e.Address)
	span.Set("attempt", strconv.Itoa(e.Body.Attempt))
	go func() {
		start := time.Now()
		body := encodeCall(e.Body)
		s.run(ctx, e.Call, span, http.MethodPost, "http://"+e.Address+"/v1/stages", body)
		s.meter.Counter(meter.StageCalls, e.Body.Stage).Inc(1)
		s.meter.Histogram(meter.StageMicros, e.Body.Stage).Update(time.Since(start).Microseconds())
	}()
}

func encodeCall(call *endpointserver.StageCall) []byte {
	e := jx.GetEncoder()
	defer jx.PutEncoder(e)
	call.Encode(e)
	return bytes.Clone(e.Bytes())
}

// resume reads a stream on from a sequence number.
func (s *stages) resume(e reducer.ResumeStage) {
	stage := ""
	if f := s.end(e.Call); f != nil {
		stage = f.stage
	}
	ctx := s.begin(e.Call, stage)
	span := s.replies.span(e.Call.Request).Child("resume", time.Now())
	span.Set("endpoint", e.Address)
	address := "http://" + e.Address + "/v1/streams/" + url.PathEscape(e.StreamID) + "?from=" + strconv.Itoa(e.From)
	go s.run(ctx, e.Call, span, http.MethodGet, address, nil)
}

// cancel ends a call and tells the endpoint to stop its stream.
func (s *stages) cancel(e reducer.CancelStage) {
	f := s.end(e.Call)
	if f != nil {
		s.meter.Counter(meter.StageCancels, f.stage).Inc(1)
	}
	if e.StreamID == "" && f != nil {
		e.StreamID = f.streamID
	}
	if e.StreamID == "" {
		return
	}
	go func() {
		ctx, done := context.WithTimeout(s.ctx, cancelTimeout)
		defer done()
		address := "http://" + e.Address + "/v1/streams/" + url.PathEscape(e.StreamID)
		request, err := http.NewRequestWithContext(ctx, http.MethodDelete, address, nil)
		if err != nil {
			return
		}
		if response, err := s.client.Do(request); err == nil {
			drain(response)
		}
	}()
}

// run makes one HTTP call and posts its parts, or how it failed.
func (s *stages) run(ctx context.Context, id reducer.CallID, span *tracer.Span, method, address string, body []byte) {
	fault, ended := s.exchange(ctx, id, method, address, body)
	if ctx.Err() != nil {
		span.Set("cancelled", "true")
		span.End(time.Now())
		return
	}
	// The call ends before the core hears of it: the core may order the rest of the stream at once under
	// the same id, and an end after that would cancel the order.
	f := s.end(id)
	if !ended {
		if f != nil {
			s.meter.Counter(meter.StageFailures, f.stage).Inc(1)
		}
		span.Set("fault", fault.Message)
		s.post(reducer.StageFailed{Call: id, Fault: fault})
	}
	span.End(time.Now())
}

// exchange sends the call and reads the reply; ended tells that its final part was posted.
func (s *stages) exchange(ctx context.Context, id reducer.CallID, method, address string, body []byte) (fault reducer.StageFault, ended bool) {
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return reducer.StageFault{Kind: reducer.FaultNotSent, Message: err.Error()}, false
	}
	if method == http.MethodPost {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return sendFault(err, connected), false
	}
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return refusalFault(response), false
	}
	s.nameStream(id, response.Header.Get(streamHeader))
	return s.readParts(id, response.Body)
}

// sendFault tells a call that was never sent, because no connection was had, from one that may have been
// acted on. The difference decides whether a stage that must not be repeated may be tried elsewhere.
func sendFault(err error, connected bool) reducer.StageFault {
	fault := reducer.StageFault{Kind: reducer.FaultConnectionLost, Message: unwrapURL(err).Error()}
	if !connected {
		fault.Kind = reducer.FaultNotSent
	}
	return fault
}

func unwrapURL(err error) error {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err
	}
	return err
}

// readParts posts the parts of a reply.
func (s *stages) readParts(id reducer.CallID, body io.Reader) (fault reducer.StageFault, ended bool) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		event := &reducer.StagePartArrived{Call: id}
		if err := event.Part.UnmarshalJSON(lines.Bytes()); err != nil {
			return reducer.StageFault{Kind: reducer.FaultError, Message: "the endpoint's reply is malformed"}, false
		}
		s.post(event)
		if event.Part.Final {
			ended = true
		}
	}
	if ended {
		return reducer.StageFault{}, true
	}
	message := "the reply ended before its final part"
	if err := lines.Err(); err != nil {
		message = err.Error()
	}
	return reducer.StageFault{Kind: reducer.FaultConnectionLost, Message: message}, false
}

// refusalFault reads why an endpoint refused a call.
func refusalFault(response *http.Response) reducer.StageFault {
	var refusal endpointserver.Refusal
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	if err == nil {
		err = json.Unmarshal(body, &refusal)
	}
	if err != nil {
		return reducer.StageFault{Kind: reducer.FaultError, Message: "status " + strconv.Itoa(response.StatusCode)}
	}
	return reducer.StageFault{
		Kind:       faultKindOf(refusal.Code),
		Message:    string(refusal.Code) + ": " + refusal.Message,
		RetryAfter: time.Duration(refusal.RetryAfterMillis.Value) * time.Millisecond,
	}
}

func faultKindOf(code endpointserver.RefusalCode) reducer.FaultKind {
	switch code {
	case endpointserver.RefusalCodeLeaving:
		return reducer.FaultLeaving
	case endpointserver.RefusalCodeOverloaded, endpointserver.RefusalCodeRateLimited:
		return reducer.FaultBusy
	case endpointserver.RefusalCodeStaleFence:
		return reducer.FaultStaleFence
	case endpointserver.RefusalCodeBadCall:
		return reducer.FaultInvalidCall
	default:
		return reducer.FaultError
	}
}

// drain reads what is left of a reply, so that its connection can be used again.
func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusal))
	_ = response.Body.Close()
}
