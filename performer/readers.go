package performer

import (
	"context"
	"errors"
	"time"

	"geraniumline/appender"
	"geraniumline/carrier"
	"geraniumline/claimer"
	"geraniumline/meter"
	"geraniumline/platformserver"
	"geraniumline/reducer"
	"geraniumline/router"
)

const (
	// entryPool is the pool name of entries in the platform's list of VMs.
	entryPool = "entry"
	// platformTimeout limits one request for the list of VMs.
	platformTimeout = 2 * time.Second
)

// startReaders starts the goroutines that read the log, the list of VMs and the endpoints' loads.
func (p *Performer) startReaders(ctx context.Context) {
	for _, stream := range []reducer.Stream{reducer.StreamConfig, reducer.StreamClaims, reducer.StreamLeases} {
		go p.follow(ctx, stream)
	}
	go p.listVMs(ctx)
}

// follow tails one stream of the log and posts its pages and read errors.
func (p *Performer) follow(ctx context.Context, stream reducer.Stream) {
	sink := func(page appender.Page) {
		p.cfg.Meter.Counter(meter.LogReads, string(stream)).Inc(1)
		p.Post(newLogRead(stream, page))
	}
	status := func(err error) {
		if err != nil {
			p.cfg.Meter.Counter(meter.LogReadErrors, string(stream)).Inc(1)
			p.Post(reducer.LogFailed{Stream: stream, Reason: err.Error()})
		}
	}
	p.cfg.Appender.Tail(ctx, string(stream), 0, sink, status)
}

func newLogRead(stream reducer.Stream, page appender.Page) reducer.LogRead {
	return reducer.LogRead{
		Stream:  stream,
		Records: page.Records,
		First:   page.First,
		Next:    page.Next,
		Era:     page.Era,
		AtEnd:   len(page.Records) < appender.DefaultPageRecords,
	}
}

// append performs an append to the log and posts its result.
func (p *Performer) append(e reducer.Append) {
	start := time.Now()
	_, err := p.cfg.Appender.Append(p.ctx, string(e.Stream), e.Data)
	p.cfg.Meter.Counter(meter.LogAppends, string(e.Stream)).Inc(1)
	p.cfg.Meter.Histogram(meter.LogAppendMicros, string(e.Stream)).Update(time.Since(start).Microseconds())
	if err != nil {
		p.cfg.Meter.Counter(meter.LogAppendErrors, string(e.Stream)).Inc(1)
	}
	p.Post(reducer.Appended{Stream: e.Stream, BatchID: e.BatchID, Result: appendResult(err)})
}

// appendResult returns the result that corresponds to an append's error. Unless the log refused the record, an error
// leaves it uncertain whether the record was appended.
func appendResult(err error) claimer.AppendResult {
	if err == nil {
		return claimer.AppendDone{}
	}
	var refused *appender.RefusedError
	if errors.As(err, &refused) {
		return claimer.AppendRefused{RetryAfter: refused.RetryAfter}
	}
	return claimer.AppendUncertain{}
}

// ReceivePeerMessage posts a peer's message to the core. It is the messenger's handler.
func (p *Performer) ReceivePeerMessage(from string, message carrier.Message) {
	p.Post(reducer.PeerMessageArrived{From: from, Message: message})
}

// ReportPeerRefused posts to the core that no process listens at a peer address. It never blocks the messenger's senders:
// if the queue is full, the event is dropped, and the next connection attempt reports it again.
func (p *Performer) ReportPeerRefused(address string) {
	select {
	case p.events <- reducer.PeerConnectionRefused{Address: address}:
	default:
	}
}

// listVMs periodically reads the platform's list of VMs and polls the endpoints. The list lags, so it is only a hint.
func (p *Performer) listVMs(ctx context.Context) {
	endpoints := newEndpointPoller(p)
	vmTicker := time.NewTicker(p.cfg.VMListEvery)
	defer vmTicker.Stop()
	loadTicker := time.NewTicker(p.cfg.LoadReportEvery)
	defer loadTicker.Stop()
	p.readVMs(ctx, endpoints)
	for {
		select {
		case <-ctx.Done():
			return
		case <-vmTicker.C:
			p.readVMs(ctx, endpoints)
		case <-loadTicker.C:
			endpoints.startRound(ctx, time.Now())
		}
	}
}

func (p *Performer) readVMs(ctx context.Context, endpoints *endpointPoller) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := p.cfg.VMs.ListVms(ctx)
	if err != nil {
		return
	}
	event := newVMsListed(list)
	endpoints.updateList(event.Endpoints, time.Now())
	p.Post(event)
}

func newVMsListed(list *platformserver.VmList) reducer.VMsListed {
	var event reducer.VMsListed
	for _, vm := range list.Vms {
		leaving := vm.State == platformserver.VMStateLeaving
		if vm.Pool == entryPool {
			event.Entries = append(event.Entries, reducer.EntryHint{PeerAddress: vm.Address, Zone: vm.Zone, Leaving: leaving})
			continue
		}
		event.Endpoints = append(event.Endpoints, router.VM{Address: vm.Address, Zone: vm.Zone, Pool: vm.Pool, Leaving: leaving})
	}
	return event
}
