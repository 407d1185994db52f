package tracer

import (
	"container/list"
	"context"
	"sort"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// maxSpans bounds the spans kept of one trace. A caller that sends every request under one traceparent
// would otherwise grow that trace without end.
const maxSpans = 64

// Trace is what is kept of a trace at this entry.
type Trace struct {
	TraceID string
	// Spans are in the order of their start.
	Spans []Record
	// Dropped counts the spans past the bound.
	Dropped int
}

// Record is one ended span.
type Record struct {
	Name       string
	SpanID     string
	ParentID   string // empty for the first span of a trace
	Start      time.Time
	Duration   time.Duration
	Attributes map[string]string
}

// keeper is a span processor that keeps the recent traces.
type keeper struct {
	max int

	mu       sync.Mutex
	traces   map[string]*list.Element // by trace id
	requests map[string]string        // trace id by request id
	recent   *list.List               // of *keptTrace, the oldest in front
}

type keptTrace struct {
	Trace
	requestIDs []string
}

var _ sdktrace.SpanProcessor = (*keeper)(nil)

func newKeeper(n int) *keeper {
	return &keeper{
		max:      n,
		traces:   make(map[string]*list.Element),
		requests: make(map[string]string),
		recent:   list.New(),
	}
}

// Find returns the spans kept under a trace id or a request id.
func (t *Tracer) Find(id string) (Trace, bool) {
	if t == nil {
		return Trace{}, false
	}
	return t.kept.find(id)
}

func (k *keeper) find(id string) (Trace, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if traceID, ok := k.requests[id]; ok {
		id = traceID
	}
	element, ok := k.traces[id]
	if !ok {
		return Trace{}, false
	}
	found := element.Value.(*keptTrace).Trace
	found.Spans = append([]Record(nil), found.Spans...)
	sort.SliceStable(found.Spans, func(i, j int) bool {
		return found.Spans[i].Start.Before(found.Spans[j].Start)
	})
	return found, true
}

// OnStart does nothing: only ended spans are kept.
func (k *keeper) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd keeps the span.
func (k *keeper) OnEnd(span sdktrace.ReadOnlySpan) {
	if k.max <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	kept := k.traceOf(span.SpanContext().TraceID().String())
	if len(kept.Spans) >= maxSpans {
		kept.Dropped++
		return
	}
	record := recordOf(span)
	kept.Spans = append(kept.Spans, record)
	k.index(kept, record.Attributes[requestKey])
}

// Shutdown does nothing.
func (k *keeper) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing.
func (k *keeper) ForceFlush(context.Context) error { return nil }

func (k *keeper) traceOf(id string) *keptTrace {
	if element, ok := k.traces[id]; ok {
		return element.Value.(*keptTrace)
	}
	if len(k.traces) >= k.max {
		k.forgetOldest()
	}
	kept := &keptTrace{Trace: Trace{TraceID: id}}
	k.traces[id] = k.recent.PushBack(kept)
	return kept
}

func (k *keeper) forgetOldest() {
	element := k.recent.Front()
	oldest := element.Value.(*keptTrace)
	for _, id := range oldest.requestIDs {
		if k.requests[id] == oldest.TraceID {
			delete(k.requests, id)
		}
	}
	delete(k.traces, oldest.TraceID)
	k.recent.Remove(element)
}

// index lets the trace be found by the request id. A trace has at most maxSpans of them.
func (k *keeper) index(kept *keptTrace, requestID string) {
	if requestID == "" || k.requests[requestID] == kept.TraceID {
		return
	}
	k.requests[requestID] = kept.TraceID
	kept.requestIDs = append(kept.requestIDs, requestID)
}

func recordOf(span sdktrace.ReadOnlySpan) Record {
	record := Record{
		Name:       span.Name(),
		SpanID:     span.SpanContext().SpanID().String(),
		Start:      span.StartTime(),
		Duration:   span.EndTime().Sub(span.StartTime()),
		Attributes: make(map[string]string, len(span.Attributes())),
	}
	if span.Parent().IsValid() {
		record.ParentID = span.Parent().SpanID().String()
	}
	for _, attribute := range span.Attributes() {
		record.Attributes[string(attribute.Key)] = attribute.Value.String()
	}
	return record
}
