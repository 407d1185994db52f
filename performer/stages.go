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
	// cancelTimeout limits the request that cancels a stream at its endpoint.
	cancelTimeout = 2 * time.Second
	// maxLine is the maximum size of one part of a reply, in bytes.
	maxLine = 4 << 20
	// maxRefusal is the maximum size of the body of a refusal, in bytes.
	maxRefusal = 64 << 10
)

func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: endpointDialTimeout, KeepAlive: 15 * time.Second}
}

// stageCaller calls endpoints and posts their replies to the core, part by part.
type stageCaller struct {
	client  *http.Client
	post    func(reducer.Event)
	replies *replyQueues
	meter   *meter.Meter
	ctx     context.Context

	mu      sync.Mutex
	running map[reducer.CallID]*activeCall
}

// activeCall is a call in progress.
type activeCall struct {
	cancel context.CancelFunc
	stage  string
	// streamID is the stream ID from the header of the reply, empty before the header arrived.
	streamID string
}

// streamHeader holds the stream ID of a reply. It lets a call be cancelled that still waits at its endpoint.
const streamHeader = "Stream-Id"

func newStageCaller(cfg Config, post func(reducer.Event), replies *replyQueues) *stageCaller {
	return &stageCaller{
		client:  cfg.Endpoints,
		post:    post,
		replies: replies,
		meter:   cfg.Meter,
		running: map[reducer.CallID]*activeCall{},
	}
}

// begin registers a call and returns its context, which end cancels.
func (s *stageCaller) begin(id reducer.CallID, stage string) context.Context {
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.running[id] = &activeCall{cancel: cancel, stage: stage}
	s.mu.Unlock()
	return ctx
}

// end removes and cancels a call and returns it, or nil if it has already ended.
func (s *stageCaller) end(id reducer.CallID) *activeCall {
	s.mu.Lock()
	f := s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	if f != nil {
		f.cancel()
	}
	return f
}

// setStreamID stores the stream ID of a call in progress.
func (s *stageCaller) setStreamID(id reducer.CallID, streamID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.running[id]; f != nil {
		f.streamID = streamID
	}
}

// call starts one attempt of a stage in the background.
func (s *stageCaller) call(e *reducer.CallStage) {
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

// resume continues to read a stream from a sequence number, in the background.
func (s *stageCaller) resume(e reducer.ResumeStage) {
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

// cancel ends a call and, if the stream ID is known, asks the endpoint in the background to stop the stream.
func (s *stageCaller) cancel(e reducer.CancelStage) {
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

// run makes one HTTP call and posts its parts or its failure.
func (s *stageCaller) run(ctx context.Context, id reducer.CallID, span *tracer.Span, method, address string, body []byte) {
	fault, ended := s.exchange(ctx, id, method, address, body)
	if ctx.Err() != nil {
		span.Set("cancelled", "true")
		span.End(time.Now())
		return
	}
	// End the call before the core is notified: the core may resume the stream at once under the same ID, and a later
	// end would cancel the resumed call.
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

// exchange sends the call and reads the reply. ended is set if the final part was posted; otherwise fault describes the
// failure.
func (s *stageCaller) exchange(ctx context.Context, id reducer.CallID, method, address string, body []byte) (fault reducer.StageFault, ended bool) {
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
	s.setStreamID(id, response.Header.Get(streamHeader))
	return s.readParts(id, response.Body)
}

// sendFault distinguishes a call that was never sent, because there was no connection, from one that the endpoint may
// have executed. The difference decides whether a stage that must not be repeated may be tried at another endpoint.
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

// readParts posts the parts of a reply. ended is set if the final part was posted.
func (s *stageCaller) readParts(id reducer.CallID, body io.Reader) (fault reducer.StageFault, ended bool) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		event := &reducer.StagePartArrived{Call: id}
		if err := event.Part.UnmarshalJSON(lines.Bytes()); err != nil {
			return reducer.StageFault{Kind: reducer.FaultError, Message: "the endpoint's reply is malformed"}, false
		}
		s.post(event)
		if event.Part.Final {
			// What follows belongs to no reply, and may have no end.
			return reducer.StageFault{}, true
		}
	}
	message := "the reply ended before its final part"
	if err := lines.Err(); err != nil {
		message = err.Error()
	}
	return reducer.StageFault{Kind: reducer.FaultConnectionLost, Message: message}, false
}

// refusalFault returns the fault for a call that an endpoint refused.
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

// drain reads at most maxRefusal bytes of the rest of a response and closes it, so that its connection can be reused.
func drain(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusal))
	_ = response.Body.Close()
}
