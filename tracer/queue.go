package tracer

import (
	"context"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// One export sends at most batchSize spans and waits at most exportTimeout for the collector.
const (
	batchSize     = 256
	exportTimeout = 5 * time.Second
)

// queue is a span processor that hands spans to an exporter from one goroutine.
//
// A collector that is down or slow must not slow requests: OnEnd never waits. When the queue is full the
// span is dropped and counted, so memory is bounded by the queue's size and a batch.
type queue struct {
	exporter sdktrace.SpanExporter
	dropped  func(int)
	exported func(int)

	spans chan sdktrace.ReadOnlySpan
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once
}

var _ sdktrace.SpanProcessor = (*queue)(nil)

func newQueue(cfg Config, exporter sdktrace.SpanExporter) *queue {
	q := &queue{
		exporter: exporter,
		dropped:  orNothing(cfg.OnDropped),
		exported: orNothing(cfg.OnExported),
		spans:    make(chan sdktrace.ReadOnlySpan, max(cfg.QueueSize, 1)),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	go q.run()
	return q
}

func orNothing(count func(int)) func(int) {
	if count == nil {
		return func(int) {}
	}
	return count
}

// OnStart does nothing: only ended spans are exported.
func (q *queue) OnStart(context.Context, sdktrace.ReadWriteSpan) {}

// OnEnd puts the span into the queue, or drops and counts it when the queue is full.
func (q *queue) OnEnd(span sdktrace.ReadOnlySpan) {
	select {
	case q.spans <- span:
	default:
		q.dropped(1)
	}
}

// ForceFlush does nothing: the queue is always being emptied.
func (q *queue) ForceFlush(context.Context) error { return nil }

// Shutdown sends what waits, until ctx ends.
func (q *queue) Shutdown(ctx context.Context) error {
	q.once.Do(func() { close(q.stop) })
	select {
	case <-q.done:
		return q.exporter.Shutdown(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *queue) run() {
	defer close(q.done)
	for {
		select {
		case span := <-q.spans:
			q.export(q.gather(span))
		case <-q.stop:
			q.empty()
			return
		}
	}
}

// gather takes what else waits already, up to a batch.
func (q *queue) gather(first sdktrace.ReadOnlySpan) []sdktrace.ReadOnlySpan {
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

// empty sends what waits at the stop. After one failed export the rest is dropped.
func (q *queue) empty() {
	for {
		select {
		case span := <-q.spans:
			if !q.export(q.gather(span)) {
				q.dropped(len(q.spans))
				return
			}
		default:
			return
		}
	}
}

func (q *queue) export(batch []sdktrace.ReadOnlySpan) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	if err := q.exporter.ExportSpans(ctx, batch); err != nil {
		q.dropped(len(batch))
		return false
	}
	q.exported(len(batch))
	return true
}
