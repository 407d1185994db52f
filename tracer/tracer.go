// Package tracer makes OpenTelemetry spans of a request's hops, keeps the recent ones in bounded memory,
// and exports them without ever holding up a request.
package tracer

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// The keys of the attributes that every span has.
const (
	serviceKey = "service.name"
	entryKey   = "service.instance.id"
	zoneKey    = "cloud.availability_zone"
	regionKey  = "cloud.region"
	requestKey = "geraniumline.request.id"
	service    = "geraniumline"
)

// maxTextBytes bounds one attribute's value; the rest is cut by the SDK.
const maxTextBytes = 256

// Config says what is kept and exported. A zero Kept keeps nothing, an empty OTLPURL exports nothing.
type Config struct {
	// Entry, Zone and Region are written on each exported span.
	Entry  string
	Zone   string
	Region string
	// MaxTraces is how many recent traces are kept for Find.
	MaxTraces int
	// OTLPURL is where spans are sent by OTLP over HTTP.
	OTLPURL string
	// QueueSize is how many spans may wait to be sent.
	QueueSize int
	// Exporter takes the place of the OTLP exporter where it is set.
	Exporter sdktrace.SpanExporter
	// OnDropped and OnExported are told of spans lost and sent; each may be nil.
	OnDropped  func(spans int)
	OnExported func(spans int)
}

// Tracer makes spans. A nil *Tracer makes nil spans, whose methods do nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	kept     *keeper
}

// New returns a Tracer. Where spans are exported it starts one goroutine, which Close ends.
func New(cfg Config) (*Tracer, error) {
	exporter := cfg.Exporter
	if exporter == nil && cfg.OTLPURL != "" {
		made, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(cfg.OTLPURL))
		if err != nil {
			return nil, fmt.Errorf("make the trace exporter: %w", err)
		}
		exporter = made
	}
	kept := newKeeper(cfg.MaxTraces)
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String(serviceKey, service),
			attribute.String(entryKey, cfg.Entry),
			attribute.String(zoneKey, cfg.Zone),
			attribute.String(regionKey, cfg.Region),
		)),
		sdktrace.WithRawSpanLimits(limits()),
		sdktrace.WithSpanProcessor(kept),
	}
	if exporter != nil {
		options = append(options, sdktrace.WithSpanProcessor(newQueue(cfg, exporter)))
	}
	provider := sdktrace.NewTracerProvider(options...)
	return &Tracer{provider: provider, tracer: provider.Tracer(service), kept: kept}, nil
}

func limits() sdktrace.SpanLimits {
	limits := sdktrace.NewSpanLimits()
	limits.AttributeValueLengthLimit = maxTextBytes
	limits.AttributeCountLimit = 32
	limits.EventCountLimit = 8
	limits.LinkCountLimit = 1
	return limits
}

// Close sends what waits in the queue, until ctx ends.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Start begins the first span of a request at this entry. It carries on the caller's traceparent where
// that is well formed, and begins a new trace otherwise.
func (t *Tracer) Start(traceparent, name, requestID string, now time.Time) *Span {
	if t == nil {
		return nil
	}
	carrier := propagation.MapCarrier{traceparentKey: traceparent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	return t.start(ctx, name, requestID, now)
}

func (t *Tracer) start(ctx context.Context, name, requestID string, now time.Time) *Span {
	ctx, span := t.tracer.Start(ctx, name,
		trace.WithTimestamp(now),
		trace.WithAttributes(attribute.String(requestKey, requestID)))
	return &Span{tracer: t, ctx: ctx, span: span, requestID: requestID}
}
