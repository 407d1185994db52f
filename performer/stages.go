package performer

import (
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

	"geraniumline/connector"
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
	budget  *connector.Budget
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
		budget:  cfg.Responses,
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
	hold := s.budget.Hold(request.URL.Host)
	defer hold.Release()
	return s.readParts(id, response.Body, hold)
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
//
// The hold counts the text, which the core keeps until the call ends, and what long lines need.
func (s *stageCaller) readParts(id reducer.CallID, body io.Reader, hold *connector.Hold) (fault reducer.StageFault, ended bool) {
	lines := newLineReader(body, hold.Grow)
	for {
		line, err := lines.next()
		if err != nil {
			return brokenReply(err), false
		}
		event := &reducer.StagePartArrived{Call: id}
		if err := event.Part.UnmarshalJSON(line); err != nil {
			return reducer.StageFault{Kind: reducer.FaultError, Message: "the endpoint's reply is malformed"}, false
		}
		if err := hold.Grow(int64(len(event.Part.Text))); err != nil {
			return brokenReply(err), false
		}
		s.post(event)
		if event.Part.Final {
			// What follows belongs to no reply, and may have no end.
			return reducer.StageFault{}, true
		}
	}
}

// brokenReply returns the fault for a reply that ended before its final part. One that is too long is not resumed: the rest
// would need as much memory.
func brokenReply(err error) reducer.StageFault {
	var memory *connector.BudgetError
	switch {
	case errors.As(err, &memory):
		return reducer.StageFault{Kind: reducer.FaultError, Message: err.Error()}
	case errors.Is(err, io.EOF):
		return reducer.StageFault{Kind: reducer.FaultConnectionLost, Message: "the reply ended before its final part"}
	default:
		return reducer.StageFault{Kind: reducer.FaultConnectionLost, Message: err.Error()}
	}
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
