// Package performer carries out the core's effects and brings it the events: one goroutine reduces,
// others speak HTTP to callers, operators, endpoints and the platform, and TCP to peers.
// It holds no policy.
package performer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/reducer"
)

const (
	// eventQueue is how many events may wait for the reducer before those who bring them wait.
	eventQueue = 4096
	// tickEvery is the core's resolution of time while it has requests, idleTickEvery while it has none: an idle
	// entry's cost is mostly that of being woken.
	tickEvery     = 10 * time.Millisecond
	idleTickEvery = 50 * time.Millisecond
)

// Performer is one entry's loop and its connections.
type Performer struct {
	cfg     Config
	core    *reducer.Core
	events  chan reducer.Event
	replies *replies
	stages  *stages
	orders  *orders
	log     *zap.Logger
	exited  chan struct{}
	ids     idSource

	// published are the counts that the registry has already, publishedAt when it got them.
	published    reducer.Counters
	publishedAt  time.Time
	billedAt     time.Time
	reduced      metrics.Counter
	reduceMicros metrics.Histogram
	// ctx ends the work that effects started.
	ctx context.Context
}

// New makes a performer around a core. Run starts it.
func New(cfg Config, core *reducer.Core) *Performer {
	p := &Performer{
		cfg:     cfg,
		core:    core,
		events:  make(chan reducer.Event, eventQueue),
		replies: newReplies(),
		log:     cfg.Log,
		exited:  make(chan struct{}),

		reduced:      cfg.Meter.Counter(meter.EventsReduced),
		reduceMicros: cfg.Meter.Histogram(meter.ReduceMicros),
	}
	p.stages = newStages(cfg, p.Post, p.replies)
	p.orders = newOrders(cfg, p.Post)
	return p
}

// Post brings the core an event. It waits while too many events wait already, so that load is
// held back at its sources.
func (p *Performer) Post(event reducer.Event) {
	select {
	case p.events <- event:
	case <-p.exited:
	}
}

// Run reduces events until ctx ends or the core has ended its planned stop.
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
				return nil
			}
			p.perform(effect)
		}
		if wanted := p.pace(); wanted != every {
			every = wanted
			ticker.Reset(every)
		}
	}
}

// pace is how often the core wants to be told that time passes.
func (p *Performer) pace() time.Duration {
	if p.core.Busy() {
		return tickEvery
	}
	return idleTickEvery
}

// measure notes the time of one event's reduction, and publishes counts now and then.
func (p *Performer) measure(event reducer.Event, start time.Time) {
	p.reduced.Inc(1)
	if _, tick := event.(reducer.Ticked); tick {
		p.reduceMicros.Update(time.Since(start).Microseconds())
		p.publish(start)
	}
}

// perform starts one effect. It never waits.
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
