package tracer

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceparentKey is the header of the W3C Trace Context.
const traceparentKey = "traceparent"

// Span is one hop or stage attempt of a request. A nil *Span does nothing.
type Span struct {
	tracer    *Tracer
	ctx       context.Context
	span      trace.Span
	requestID string
}

// Child begins a span inside this one.
func (s *Span) Child(name string, now time.Time) *Span {
	if s == nil {
		return nil
	}
	return s.tracer.start(s.ctx, name, s.requestID, now)
}

// Set writes an attribute. It must hold no credential and no part of a request's body or answer.
func (s *Span) Set(key, value string) {
	if s == nil {
		return
	}
	s.span.SetAttributes(attribute.String(key, value))
}

// End ends the span. Only an ended span is kept and exported.
func (s *Span) End(now time.Time) {
	if s == nil {
		return
	}
	s.span.End(trace.WithTimestamp(now))
}

// Traceparent returns the header that carries the trace on to the next hop.
func (s *Span) Traceparent() string {
	if s == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(s.ctx, carrier)
	return carrier.Get(traceparentKey)
}

// TraceID returns the trace's id in hex.
func (s *Span) TraceID() string {
	if s == nil {
		return ""
	}
	return s.span.SpanContext().TraceID().String()
}
