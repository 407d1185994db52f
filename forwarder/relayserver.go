package forwarder

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"geraniumline/budgeter"
	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/guarder"
	"geraniumline/meter"
	"geraniumline/proxier"
	"geraniumline/registrar"
)

const (
	// maxRelayTime bounds a call for a peer that names no time limit of its own.
	maxRelayTime = time.Minute
	// relayGrace is how long a call goes on after the peer's time limit. The peer itself ends it in time and tells its
	// caller so; this limit is for peers that are gone.
	relayGrace = 500 * time.Millisecond
)

// relayReasons are the label values of calls that were not sent for a peer.
var relayReasons = map[carrier.RelayReason]string{
	carrier.RelayRefused:     "refused",
	carrier.RelayUnreachable: "unreachable",
	carrier.RelayUnproven:    "unproven",
	carrier.RelayPartitioned: "partitioned",
	carrier.RelayUnwanted:    "unwanted",
	carrier.RelayStopping:    "stopping",
	carrier.RelayNoRoom:      "noRoom",
}

// ServeRelay sends a call to an endpoint for a peer that can't reach it, and the response back. It never relays the call
// to a further peer.
func (f *Forwarder) ServeRelay(from string, call *carrier.RelayCall, s proxier.Stream) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	timeout := maxRelayTime
	if call.TimeoutMillis > 0 {
		timeout = min(timeout, time.Duration(call.TimeoutMillis)*time.Millisecond+relayGrace)
	}
	ctx, cancel := context.WithTimeout(f.endContext, timeout)
	defer cancel()
	// A peer that stops in the middle of its call must hold neither this entry nor its planned stop.
	stopClosing := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stopClosing()
	hold, admitted := f.cfg.Admission.Open(budgeter.Serving, nil, time.Now())
	defer hold.Close()
	body, err := proxier.ReadBody(s, call, func(n int64) error {
		if !admitted {
			return &guarder.HoldError{Bytes: n}
		}
		return hold.Grow(n, time.Now())
	})
	var room *proxier.RoomError
	if errors.As(err, &room) || err == nil && !admitted {
		f.refuseRelay(s, carrier.RelayNoRoom)
		return
	}
	if err != nil {
		f.log.Warn("call of a peer not read", zap.String("peer", from), zap.Error(err))
		return
	}
	endpoint, reason := f.relayTarget(call.Address, time.Now())
	if reason != 0 {
		f.refuseRelay(s, reason)
		return
	}
	go func() {
		// The peer sends nothing more, so anything that ends the read means that it no longer needs the response.
		_, _ = s.Receive()
		cancel()
	}()
	f.exchangeRelayed(ctx, from, &endpoint, &connector.Call{
		Address:    call.Address,
		Method:     call.Method,
		Target:     call.Target,
		Host:       call.Host,
		Header:     call.Header,
		Body:       body,
		EchoHeader: f.cfg.Wire.EchoHeader(),
	}, s)
}

// exchangeRelayed makes the exchange with the endpoint. If it fails after something was sent, the stream just ends, and
// the peer takes the call for one that may have run.
func (f *Forwarder) exchangeRelayed(ctx context.Context, from string, endpoint *registrar.Endpoint, call *connector.Call, s proxier.Stream) {
	startTime := time.Now()
	resp, err := f.cfg.Client.Do(ctx, call)
	f.recordDirect(call.Address, resp, err, startTime)
	var unsent *connector.UnsentError
	if errors.As(err, &unsent) {
		f.refuseRelay(s, f.unsentReason(unsent, time.Now()))
		return
	}
	if err == nil {
		defer resp.Close()
		f.readResponse(endpoint, resp)
		err = proxier.Respond(s, resp)
	}
	if err != nil {
		f.cfg.Meter.Counter(meter.ServedRelays, relayFailed).Inc(1)
		f.checkRelayedCrash(endpoint)
		f.log.Info("call of a peer failed", zap.String("peer", from), zap.String("endpoint", endpoint.ID), zap.Error(err))
		return
	}
	f.cfg.Meter.Counter(meter.ServedRelays, relayAnswered).Inc(1)
}

func (f *Forwarder) refuseRelay(s proxier.Stream, reason carrier.RelayReason) {
	f.cfg.Meter.Counter(meter.ServedRelays, relayReasons[reason]).Inc(1)
	if err := s.Send(&carrier.RelayFailure{Reason: reason}); err != nil {
		f.log.Debug("refusal of a peer's call not sent", zap.Error(err))
	}
}

// relayTarget returns the endpoint at an address, or the reason why nothing is sent there for a peer.
func (f *Forwarder) relayTarget(address string, now time.Time) (registrar.Endpoint, carrier.RelayReason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, usable := f.registry.UsableAt(address)
	switch {
	case f.stopping.Load():
		return registrar.Endpoint{}, carrier.RelayStopping
	case f.paths.Suspect(now):
		return registrar.Endpoint{}, carrier.RelayPartitioned
	case f.paths.HasDetour(address):
		return registrar.Endpoint{}, carrier.RelayUnproven
	case !usable || f.evacuatedAt(address) || f.regulator.IsLeaving(e.ID) || f.regulator.HasEnded(e.ID) || f.regulator.Resting(e.ID, now):
		return registrar.Endpoint{}, carrier.RelayUnwanted
	}
	return *e, 0
}

// unsentReason returns the reason for a call of a peer that this entry couldn't connect for either. Only an entry that
// has just reached another endpoint can tell that the cause lies with this one.
func (f *Forwarder) unsentReason(unsent *connector.UnsentError, now time.Time) carrier.RelayReason {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.paths.Suspect(now):
		return carrier.RelayPartitioned
	case !f.paths.Proven(now):
		return carrier.RelayUnproven
	case unsent.Refused():
		return carrier.RelayRefused
	default:
		return carrier.RelayUnreachable
	}
}
