// Package performer executes the core's effects and posts events to it: one goroutine runs the reducer, others speak
// HTTP to callers, operators, endpoints and the platform, and TCP to peers.
// It makes no policy decisions.
package performer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/reducer"
)

const (
	// eventQueueSize is the number of events that can be queued for the reducer before Post blocks.
	eventQueueSize = 4096
	// tickEvery is the core's time resolution while it has requests, and idleTickEvery while it has none: the cost of
	// an idle entry is mostly its wake-ups.
	tickEvery     = 10 * time.Millisecond
	idleTickEvery = 50 * time.Millisecond
)

// Performer runs one entry's event loop and its connections.
type Performer struct {
	cfg     Config
	core    *reducer.Core
	events  chan reducer.Event
	replies *replyQueues
	stages  *stageCaller
	orders  *orderSender
	log     *zap.Logger
	// exited is closed when Run returns, and stopped is set before that if the core has finished its planned stop.
	exited  chan struct{}
	stopped atomic.Bool
	ids     idSource

	// published holds the counts that were last copied to the registry, at publishedAt.
	published    reducer.Counters
	publishedAt  time.Time
	billedAt     time.Time
	reduced      metrics.Counter
	reduceMicros metrics.Histogram
	// ctx bounds the work that effects start.
	ctx context.Context
}

// New returns a Performer for a core. Run starts it.
func New(cfg Config, core *reducer.Core) *Performer {
	cfg = cfg.withDefaults()
	p := &Performer{
		cfg:     cfg,
		core:    core,
		events:  make(chan reducer.Event, eventQueueSize),
		replies: newReplyQueues(),
		log:     cfg.Log,
		exited:  make(chan struct{}),

		reduced:      cfg.Meter.Counter(meter.EventsReduced),
		reduceMicros: cfg.Meter.Histogram(meter.ReduceMicros),
	}
	p.stages = newStageCaller(cfg, p.Post, p.replies)
	p.orders = newOrderSender(cfg, p.Post)
	return p
}

// Post queues an event for the core. It blocks while the queue is full, which applies backpressure to the sources of
// the load. After Run has returned, events are dropped.
func (p *Performer) Post(event reducer.Event) {
	select {
	case p.events <- event:
	case <-p.exited:
	}
}

// Exited returns a channel that is closed when Run has returned, after which nothing is answered any more.
func (p *Performer) Exited() <-chan struct{} { return p.exited }

// Stopped reports whether the core has finished its planned stop, by which it has answered all requests that it began.
func (p *Performer) Stopped() bool { return p.stopped.Load() }

// Run processes events until ctx is done, and returns ctx.Err(), or until the core has finished its planned stop, and
// returns nil.
func (p *Performer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(p.exited)
	p.ctx = ctx
	p.stages.ctx = ctx
	p.orders.ctx = ctx
	p.startReaders(ctx)
	ticker := time.NewTicker(idleTickEvery)
	defer ticker.Stop()
	every := idleTickEvery
	for {
		var event reducer.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event = <-p.events:
		case <-ticker.C:
			event = reducer.Ticked{}
		}
		now := time.Now()
		effects := p.core.Reduce(event, now)
		p.measure(event, now)
		for _, effect := range effects {
			if _, exit := effect.(reducer.Exit); exit {
				p.stopped.Store(true)
				return nil
			}
			p.perform(effect)
		}
		if wanted := p.tickInterval(); wanted != every {
			every = wanted
			ticker.Reset(every)
		}
	}
}

// tickInterval returns how often the core needs a Ticked event.
func (p *Performer) tickInterval() time.Duration {
	if p.core.Busy() {
		return tickEvery
	}
	return idleTickEvery
}

// measure counts the event. For a tick it also records the time of the reduction and publishes the counts if due.
func (p *Performer) measure(event reducer.Event, start time.Time) {
	p.reduced.Inc(1)
	if _, tick := event.(reducer.Ticked); tick {
		p.reduceMicros.Update(time.Since(start).Microseconds())
		p.publish(start)
	}
}

// perform starts one effect. It never blocks.
func (p *Performer) perform(effect reducer.Effect) {
	switch e := effect.(type) {
	case *reducer.CallStage:
		p.stages.call(e)
	case reducer.ResumeStage:
		p.stages.resume(e)
	case reducer.CancelStage:
		p.stages.cancel(e)
	case reducer.SendPart:
		p.replies.put(e.ID, e)
	case reducer.SendAnswer:
		p.replies.put(e.ID, e)
	case reducer.SendFailure:
		p.replies.put(e.ID, e)
	case reducer.SendAddresses:
		p.replies.put(e.ID, e)
	case reducer.SendOutcome:
		p.replies.put(e.ID, e)
	case reducer.SendVerdict:
		p.replies.put(e.ID, e)
	case reducer.SendRefusal:
		p.replies.put(e.ID, e)
	case reducer.SendConfig:
		p.replies.put(e.ID, e)
	case reducer.SendHistory:
		p.replies.put(e.ID, e)
	case reducer.SendStatus:
		p.replies.put(e.ID, e)
	case reducer.SendStop:
		p.replies.put(e.ID, e)
	case reducer.Append:
		go p.append(e)
	case reducer.SendPeer:
		p.cfg.Messenger.Send(e.Address, e.Message)
	case reducer.ReadAssignment:
		go p.orders.read(e)
	case reducer.OrderEngine:
		go p.orders.order(e)
	case reducer.LogChange:
		p.log.Info(e.Message, zap.String("subject", e.Subject), zap.String("from", e.From), zap.String("to", e.To))
	}
}
