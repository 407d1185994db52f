package tracer

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceparentKey is the name of the W3C Trace Context header.
const traceparentKey = "traceparent"

// Span represents one hop or stage attempt of a request. The methods of a nil *Span do nothing.
type Span struct {
	tracer    *Tracer
	ctx       context.Context
	span      trace.Span
	requestID string
}

// Child starts a child span.
func (s *Span) Child(name string, now time.Time) *Span {
	if s == nil {
		return nil
	}
	return s.tracer.start(s.ctx, name, s.requestID, now)
}

// Set sets an attribute. The value must not contain a credential or any part of a request's body or answer.
func (s *Span) Set(key, value string) {
	if s == nil {
		return
	}
	s.span.SetAttributes(attribute.String(key, value))
}

// End ends the span. Only ended spans are kept and exported.
func (s *Span) End(now time.Time) {
	if s == nil {
		return
	}
	s.span.End(trace.WithTimestamp(now))
}

// Traceparent returns the value of the header that propagates the trace to the next hop.
func (s *Span) Traceparent() string {
	if s == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(s.ctx, carrier)
	return carrier.Get(traceparentKey)
}

// TraceID returns the trace id in hex.
func (s *Span) TraceID() string {
	if s == nil {
		return ""
	}
	return s.span.SpanContext().TraceID().String()
}
