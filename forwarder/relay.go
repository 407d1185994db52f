package forwarder

import (
	"context"
	"errors"
	"iter"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/connector"
	"geraniumline/detector"
	"geraniumline/meter"
	"geraniumline/pathfinder"
	"geraniumline/proxier"
)

const (
	// maxRelayAttempts bounds the peers that are asked to relay one call. Peers in a partition of their own say so
	// within a round trip, and some may not reach the endpoint either. While no partition is suspected, an endpoint that
	// refuses connections has most likely ended, and one peer is asked.
	maxRelayAttempts = 4
	// minDialEvidence is the shortest canceled connection attempt that counts as failed: many round trips.
	minDialEvidence = 100 * time.Millisecond
)

// Label values of the counters of relayed calls.
const (
	relayAnswered     = "answered"
	relayFailed       = "failed"
	relayEndpointDown = "endpointDown"
	relayNoPeer       = "noPeer"
)

// noRelayError reports that no peer could relay a call. Nothing was sent to the endpoint.
type noRelayError struct{}

func (*noRelayError) Error() string { return "no peer relays the call" }

// isNotRelayed reports whether an error means that no peer could relay the call.
func isNotRelayed(err error) bool {
	var noRelay *noRelayError
	return errors.As(err, &noRelay)
}

// callBuilder returns a call to one endpoint as it is to be sent at the given time. Its header may carry the time that is
// left.
type callBuilder func(now time.Time) *connector.Call

// fixedCall returns a builder for a call that does not depend on the time.
func fixedCall(call *connector.Call) callBuilder {
	return func(time.Time) *connector.Call { return call }
}

// send sends a call to its endpoint: directly, or through a peer if this entry can't connect to endpoints. Its errors are
// those of connector.Client's Do.
func (f *Forwarder) send(ctx context.Context, build callBuilder) (*connector.Response, error) {
	startTime := time.Now()
	call := build(startTime)
	if f.prefersRelay(call.Address, startTime) {
		resp, err := f.relay(ctx, build)
		if !isNotRelayed(err) {
			return resp, err
		}
		startTime = time.Now()
		call = build(startTime)
	}
	resp, err := f.cfg.Client.Do(ctx, call)
	if !f.recordDirect(call.Address, resp, err, startTime) || ctx.Err() != nil {
		return resp, err
	}
	relayed, relayErr := f.relay(ctx, build)
	if isNotRelayed(relayErr) {
		return nil, err
	}
	return relayed, relayErr
}

func (f *Forwarder) prefersRelay(address string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paths.PrefersRelay(address, now)
}

// recordDirect records what a direct exchange shows about this entry's links. It reports whether the call, of which
// nothing was sent, should be relayed.
func (f *Forwarder) recordDirect(address string, resp *connector.Response, err error, startTime time.Time) bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var unsent *connector.UnsentError
	switch {
	case err == nil:
		if resp.Dialed() {
			f.recordReached(address, now)
		} else {
			f.paths.RecordAnswered(address, now)
		}
	case errors.As(err, &unsent):
		if errors.Is(err, context.Canceled) && now.Sub(startTime) < minDialEvidence {
			return false
		}
		relay := f.paths.RecordFailed(address, unsent.Refused(), now)
		f.checkLinks(now)
		return relay
	case errors.Is(err, syscall.ETIMEDOUT):
		f.paths.RecordFailed(address, false, now)
		f.checkLinks(now)
	}
	return false
}

// recordReached records a new direct connection to an endpoint. The lock must be held.
func (f *Forwarder) recordReached(address string, now time.Time) {
	if f.paths.RecordReached(address, now) {
		f.logNotice("endpoints are reachable directly again", zap.String("address", address))
	}
}

// relay sends a call through a peer. Its errors are those of connector.Client's Do, and *noRelayError.
func (f *Forwarder) relay(ctx context.Context, build callBuilder) (*connector.Response, error) {
	if f.openStream == nil || build(time.Now()).Body.Len() > proxier.MaxBody {
		return nil, &noRelayError{}
	}
	address := build(time.Now()).Address
	var asked []string
	var down *connector.UnsentError
	for attempts := f.relayAttempts(address, time.Now()); attempts > 0 && ctx.Err() == nil; attempts-- {
		peer, found := f.chooseRelay(asked, time.Now())
		if !found {
			break
		}
		asked = append(asked, peer.Address)
		resp, err := f.relayThrough(ctx, peer, build)
		if !isNotRelayed(err) && !errors.As(err, &down) {
			return resp, err
		}
	}
	if down != nil {
		f.recordDown(address)
		return nil, down
	}
	f.cfg.Meter.Counter(meter.RelayedCalls, relayNoPeer).Inc(1)
	return nil, &noRelayError{}
}

// relayThrough sends a call through one peer.
func (f *Forwarder) relayThrough(ctx context.Context, peer pathfinder.Relay, build callBuilder) (*connector.Response, error) {
	s, err := f.openStream(ctx, peer.Address)
	if err != nil {
		f.log.Debug("relay not reached", zap.String("peer", peer.Address), zap.Error(err))
		f.recordRelayFailed(peer)
		return nil, &noRelayError{}
	}
	now := time.Now()
	call := build(now)
	if call.OnSent != nil {
		call.OnSent()
	}
	resp, err := proxier.Send(ctx, s, call, now)
	var notSent *proxier.NotSentError
	switch {
	case err == nil:
		f.recordRelayed(call.Address, peer.Address)
		return resp, nil
	case !errors.As(err, &notSent):
		f.cfg.Meter.Counter(meter.RelayedCalls, relayFailed).Inc(1)
		return nil, err
	}
	switch notSent.Reason {
	case carrier.RelayRefused, carrier.RelayUnreachable:
		return nil, &connector.UnsentError{Address: call.Address, Err: notSent}
	case carrier.RelayPartitioned, carrier.RelayStopping:
		f.recordRelayFailed(peer)
	case carrier.RelayUnwanted, carrier.RelayUnproven, carrier.RelayNoRoom:
	}
	return nil, &noRelayError{}
}

func (f *Forwarder) recordRelayed(address, peer string) {
	f.cfg.Meter.Counter(meter.RelayedCalls, relayAnswered).Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paths.RecordRelayed(address, peer, time.Now()) {
		f.logNotice("endpoints are unreachable directly, calls go through peers", zap.String("address", address), zap.String("peer", peer))
	}
}

func (f *Forwarder) recordDown(address string) {
	f.cfg.Meter.Counter(meter.RelayedCalls, relayEndpointDown).Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paths.RecordDown(address)
}

func (f *Forwarder) recordRelayFailed(peer pathfinder.Relay) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paths.RecordRelayFailed(peer, time.Now())
}

// relayAttempts returns how many peers to ask to relay a call to an endpoint.
func (f *Forwarder) relayAttempts(address string, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paths.PrefersRelay(address, now) {
		return maxRelayAttempts
	}
	return 1
}

// chooseRelay returns a live peer to relay a call that was not asked before.
func (f *Forwarder) chooseRelay(asked []string, now time.Time) (pathfinder.Relay, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var peers []pathfinder.Relay
	for m := range f.detector.All() {
		if m.Name != f.cfg.Name && m.State == detector.Live && !slices.Contains(asked, m.PeerAddress) {
			peers = append(peers, pathfinder.Relay{Address: m.PeerAddress, Zone: m.Zone})
		}
	}
	return f.paths.ChooseRelay(peers, f.cfg.Zone, len(asked) > 0, f.random, now)
}

// checkLinks connects to another endpoint if this entry's links are suspected to have failed. The lock must be held.
func (f *Forwarder) checkLinks(now time.Time) {
	if address, due := f.paths.DueCheck(f.addressesInService(), now); due {
		go f.probePath(context.Background(), address)
	}
}

// addressesInService yields the addresses of all endpoints outside of evacuated zones, from a random one on. The lock must be
// held.
func (f *Forwarder) addressesInService() iter.Seq[string] {
	return func(yield func(string) bool) {
		all := f.registry.Usable()
		if len(all) == 0 {
			return
		}
		first := f.random.IntN(len(all))
		for i := range all {
			address := all[(first+i)%len(all)].Address
			if !f.evacuatedAt(address) && !yield(address) {
				return
			}
		}
	}
}

// probePaths connects to an endpoint if calls are relayed, in order to detect that the direct path works again, or if this
// entry's links are suspected to have failed.
func (f *Forwarder) probePaths(ctx context.Context, now time.Time) {
	f.mu.Lock()
	f.checkLinks(now)
	address, due := f.paths.DueProbe(now)
	if due {
		if _, listed := f.registry.UsableAt(address); !listed {
			f.paths.RecordDown(address)
			due = false
		}
	}
	f.mu.Unlock()
	if !due {
		return
	}
	go f.probePath(ctx, address)
}

// probePath connects to an endpoint and records what this shows about this entry's links.
func (f *Forwarder) probePath(ctx context.Context, address string) {
	err := f.cfg.Client.Probe(ctx, address)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.paths.RecordFailed(address, false, now)
		return
	}
	f.recordReached(address, now)
}

// updatePathGauges sets the gauges of calls that go through peers. The lock must be held.
func (f *Forwarder) updatePathGauges() {
	partitioned := int64(0)
	if f.paths.Partitioned() {
		partitioned = 1
	}
	f.cfg.Meter.Gauge(meter.Partitioned).Update(partitioned)
	f.cfg.Meter.Gauge(meter.EndpointDetours).Update(int64(f.paths.Detours()))
}
