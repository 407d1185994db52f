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
	// entryPool is the name under which the platform's list shows entries.
	entryPool = "entry"
	// platformTimeout bounds one reading of the list of VMs.
	platformTimeout = 2 * time.Second
)

// startReaders starts the goroutines that follow the log, the list of VMs and the endpoints' loads.
func (p *Performer) startReaders(ctx context.Context) {
	for _, stream := range []reducer.Stream{reducer.StreamConfig, reducer.StreamClaims, reducer.StreamLeases} {
		go p.follow(ctx, stream)
	}
	go p.listVMs(ctx)
}

// follow tails one stream of the log.
func (p *Performer) follow(ctx context.Context, stream reducer.Stream) {
	sink := func(page appender.Page) {
		p.cfg.Meter.Counter(meter.LogReads, string(stream)).Inc(1)
		p.Post(logReadOf(stream, page))
	}
	status := func(err error) {
		if err != nil {
			p.cfg.Meter.Counter(meter.LogReadErrors, string(stream)).Inc(1)
			p.Post(reducer.LogFailed{Stream: stream, Reason: err.Error()})
		}
	}
	p.cfg.Appender.Tail(ctx, string(stream), 0, sink, status)
}

func logReadOf(stream reducer.Stream, page appender.Page) reducer.LogRead {
	return reducer.LogRead{
		Stream:  stream,
		Records: page.Records,
		First:   page.First,
		Next:    page.Next,
		Era:     page.Era,
		AtEnd:   len(page.Records) < appender.DefaultPageRecords,
	}
}

// append carries out an append and tells the core how it ended.
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

// appendResult tells what an append's error says of the record.
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

// ReceivePeerMessage brings the core a peer's message. It is the messenger's handler.
func (p *Performer) ReceivePeerMessage(from string, message carrier.Message) {
	p.Post(reducer.PeerMessageArrived{From: from, Message: message})
}

// ReportPeerRefused tells the core that no process listens at a peer address. It does not wait: the messenger's senders
// must go on, and the event comes again with their next try.
func (p *Performer) ReportPeerRefused(address string) {
	select {
	case p.events <- reducer.PeerRefused{Address: address}:
	default:
	}
}

// listVMs reads the platform's list of VMs over and over. It lags, so it is only a hint.
func (p *Performer) listVMs(ctx context.Context) {
	endpoints := newEndpointReader(p)
	everyVM := time.NewTicker(p.cfg.VMListEvery)
	defer everyVM.Stop()
	everyLoad := time.NewTicker(p.cfg.LoadReportEvery)
	defer everyLoad.Stop()
	p.readVMs(ctx, endpoints)
	for {
		select {
		case <-ctx.Done():
			return
		case <-everyVM.C:
			p.readVMs(ctx, endpoints)
		case <-everyLoad.C:
			endpoints.read(ctx, time.Now())
		}
	}
}

func (p *Performer) readVMs(ctx context.Context, endpoints *endpointReader) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := p.cfg.VMs.ListVms(ctx)
	if err != nil {
		return
	}
	event := vmsListedOf(list)
	endpoints.listed(event.Endpoints, time.Now())
	p.Post(event)
}

func vmsListedOf(list *platformserver.VmList) reducer.VMsListed {
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
