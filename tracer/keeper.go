package tracer

import (
	"container/list"
	"context"
	"sort"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// maxSpans bounds the spans kept per trace. Otherwise a caller that sends every request under one traceparent would
// make that trace grow without limit.
const maxSpans = 64

// Trace holds the spans of a trace that this entry has stored.
type Trace struct {
	TraceID string
	// Spans are ordered by start time.
	Spans []Record
	// Dropped is the number of spans beyond maxSpans.
	Dropped int
}

// Record holds the data of one ended span.
type Record struct {
	Name       string
	SpanID     string
	ParentID   string // empty for the first span of a trace
	Start      time.Time
	Duration   time.Duration
	Attributes map[string]string
}

// traceStore is a span processor that keeps the most recent traces in memory.
type traceStore struct {
	maxTraces int

	mu       sync.Mutex
	traces   map[string]*list.Element // by trace id
	traceIDs map[string]string        // by request id
	order    *list.List               // of *storedTrace, oldest first
}

type storedTrace struct {
	Trace
	requestIDs []string
}

var _ sdktrace.SpanProcessor = (*traceStore)(nil)

func newTraceStore(maxTraces int) *traceStore {
	return &traceStore{
		maxTraces: maxTraces,
		traces:    make(map[string]*list.Element),
		traceIDs:  make(map[string]string),
		order:     list.New(),
	}
}

// Find returns the trace with the given trace id or request id, and reports whether it is stored.
func (t *Tracer) Find(id string) (Trace, bool) {
	if t == nil {
		return Trace{}, false
	}
	return t.store.find(id)
}

func (s *traceStore) find(id string) (Trace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if traceID, ok := s.traceIDs[id]; ok {
		id = traceID
	}
	element, ok := s.traces[id]
	if !ok {
		return Trace{}, false
	}
	found := element.Value.(*storedTrace).Trace
	found.Spans = append([]Record(nil), found.Spans...)
	sort.SliceStable(found.Spans, func(i, j int) bool {
		return found.Spans[i].Start.Before(found.Spans[j].Start)
	})
	return found, true
}

// OnStart does nothing: only ended spans are stored.
func (s *traceStore) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd stores the span, or counts it as dropped if its trace has maxSpans spans.
func (s *traceStore) OnEnd(span sdktrace.ReadOnlySpan) {
	if s.maxTraces <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.traceFor(span.SpanContext().TraceID().String())
	if len(stored.Spans) >= maxSpans {
		stored.Dropped++
		return
	}
	record := recordOf(span)
	stored.Spans = append(stored.Spans, record)
	s.indexRequest(stored, record.Attributes[requestKey])
}

// Shutdown does nothing.
func (s *traceStore) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing.
func (s *traceStore) ForceFlush(context.Context) error { return nil }

func (s *traceStore) traceFor(id string) *storedTrace {
	if element, ok := s.traces[id]; ok {
		return element.Value.(*storedTrace)
	}
	if len(s.traces) >= s.maxTraces {
		s.evictOldest()
	}
	stored := &storedTrace{Trace: Trace{TraceID: id}}
	s.traces[id] = s.order.PushBack(stored)
	return stored
}

func (s *traceStore) evictOldest() {
	element := s.order.Front()
	oldest := element.Value.(*storedTrace)
	for _, id := range oldest.requestIDs {
		if s.traceIDs[id] == oldest.TraceID {
			delete(s.traceIDs, id)
		}
	}
	delete(s.traces, oldest.TraceID)
	s.order.Remove(element)
}

// indexRequest makes the trace available by request id. A trace has at most maxSpans request ids.
func (s *traceStore) indexRequest(stored *storedTrace, requestID string) {
	if requestID == "" || s.traceIDs[requestID] == stored.TraceID {
		return
	}
	s.traceIDs[requestID] = stored.TraceID
	stored.requestIDs = append(stored.requestIDs, requestID)
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
