// Package tracer creates OpenTelemetry spans for a request's hops, keeps recent ones in bounded memory, and exports
// them without blocking requests.
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

// Keys of the attributes of every span, and the service's name.
const (
	serviceKey = "service.name"
	entryKey   = "service.instance.id"
	zoneKey    = "cloud.availability_zone"
	regionKey  = "cloud.region"
	requestKey = "geraniumline.request.id"
	service    = "geraniumline"
)

// maxAttributeLength bounds the length of an attribute's value; the SDK truncates longer values.
const maxAttributeLength = 256

// Config configures a Tracer. With a zero MaxTraces no trace is kept; without OTLPURL and Exporter nothing is
// exported.
type Config struct {
	// Entry, Zone and Region are resource attributes of the exported spans.
	Entry  string
	Zone   string
	Region string
	// MaxTraces is the number of recent traces to keep for Find.
	MaxTraces int
	// OTLPURL is the URL of the collector that receives spans by OTLP over HTTP.
	OTLPURL string
	// QueueSize is the maximum number of spans waiting for export.
	QueueSize int
	// Exporter replaces the OTLP exporter if it is set.
	Exporter sdktrace.SpanExporter
	// OnDropped and OnExported are called with the number of spans dropped and exported; each may be nil.
	OnDropped  func(spans int)
	OnExported func(spans int)
}

// Tracer creates spans. A nil *Tracer creates nil spans, whose methods do nothing.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	store    *traceStore
}

// New returns a Tracer. If spans are exported, it starts one goroutine, which Close stops.
func New(cfg Config) (*Tracer, error) {
	exporter := cfg.Exporter
	if exporter == nil && cfg.OTLPURL != "" {
		otlpExporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(cfg.OTLPURL))
		if err != nil {
			return nil, fmt.Errorf("create the trace exporter: %w", err)
		}
		exporter = otlpExporter
	}
	store := newTraceStore(cfg.MaxTraces)
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.AlwaysSample()),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String(serviceKey, service),
			attribute.String(entryKey, cfg.Entry),
			attribute.String(zoneKey, cfg.Zone),
			attribute.String(regionKey, cfg.Region),
		)),
		sdktrace.WithRawSpanLimits(spanLimits()),
		sdktrace.WithSpanProcessor(store),
	}
	if exporter != nil {
		options = append(options, sdktrace.WithSpanProcessor(newExportQueue(cfg, exporter)))
	}
	provider := sdktrace.NewTracerProvider(options...)
	return &Tracer{provider: provider, tracer: provider.Tracer(service), store: store}, nil
}

func spanLimits() sdktrace.SpanLimits {
	limits := sdktrace.NewSpanLimits()
	limits.AttributeValueLengthLimit = maxAttributeLength
	limits.AttributeCountLimit = 32
	limits.EventCountLimit = 8
	limits.LinkCountLimit = 1
	return limits
}

// Close exports the queued spans and shuts the tracer down. It returns ctx's error if ctx ends first.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Start starts the first span of a request on this entry. It continues the trace of the caller's traceparent if
// that is well formed, and starts a new trace otherwise.
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
