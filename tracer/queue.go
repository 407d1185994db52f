package tracer

import (
	"context"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// One export sends at most batchSize spans and waits for the trace collector for at most exportTimeout.
const (
	batchSize     = 256
	exportTimeout = 5 * time.Second
)

// exportQueue is a span processor that passes spans to an exporter from a single goroutine.
//
// A collector that is down or slow must not delay requests, so OnEnd never blocks. If the queue is full, the span
// is dropped and counted, so memory use is bounded by the queue's size plus one batch.
type exportQueue struct {
	exporter   sdktrace.SpanExporter
	onDropped  func(int)
	onExported func(int)

	spans    chan sdktrace.ReadOnlySpan
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

var _ sdktrace.SpanProcessor = (*exportQueue)(nil)

func newExportQueue(cfg Config, exporter sdktrace.SpanExporter) *exportQueue {
	q := &exportQueue{
		exporter:   exporter,
		onDropped:  orNoop(cfg.OnDropped),
		onExported: orNoop(cfg.OnExported),
		spans:      make(chan sdktrace.ReadOnlySpan, max(cfg.QueueSize, 1)),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
	}
	go q.run()
	return q
}

func orNoop(callback func(int)) func(int) {
	if callback == nil {
		return func(int) {}
	}
	return callback
}

// OnStart does nothing: only ended spans are exported.
func (q *exportQueue) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd queues the span, or drops and counts it if the queue is full.
func (q *exportQueue) OnEnd(span sdktrace.ReadOnlySpan) {
	select {
	case q.spans <- span:
	default:
		q.onDropped(1)
	}
}

// ForceFlush does nothing: the goroutine exports queued spans continuously.
func (q *exportQueue) ForceFlush(context.Context) error { return nil }

// Shutdown exports the queued spans and shuts the exporter down. It returns ctx's error if ctx ends first.
func (q *exportQueue) Shutdown(ctx context.Context) error {
	q.stopOnce.Do(func() { close(q.stop) })
	select {
	case <-q.done:
		return q.exporter.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *exportQueue) run() {
	defer close(q.done)
	for {
		select {
		case span := <-q.spans:
			q.export(q.nextBatch(span))
		case <-q.stop:
			q.drain()
			return
		}
	}
}

// nextBatch returns first and the spans that are already queued, at most batchSize in total.
func (q *exportQueue) nextBatch(first sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
	batch := []sdktrace.ReadOnlySpan{first}
	for len(batch) < batchSize {
		select {
		case span := <-q.spans:
			batch = append(batch, span)
		default:
			return batch
		}
	}
	return batch
}

// drain exports the spans that are queued at shutdown. After a failed export the rest is dropped.
func (q *exportQueue) drain() {
	for {
		select {
		case span := <-q.spans:
			if !q.export(q.nextBatch(span)) {
				q.onDropped(len(q.spans))
				return
			}
		default:
			return
		}
	}
}

func (q *exportQueue) export(batch []sdktrace.ReadOnlySpan) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if err := q.exporter.ExportSpans(ctx, batch); err != nil {
		q.onDropped(len(batch))
		return false
	}
	q.onExported(len(batch))
	return true
}
