package router

import (
	"math"
	"time"

	"geraniumline/carrier"
)

// peer is what another entry said in its last heartbeat.
type peer struct {
	loads []peerLoad
}

type peerLoad struct {
	endpoint *endpoint
	calls    int
	leaving  bool
	ejected  bool
}

// UpdatePeerLoads takes a peer's calls in flight and its opinion of endpoints. It replaces the peer's earlier
// report in time that grows with what the peer lists, not with the pools.
func (r *Router) UpdatePeerLoads(name string, loads []carrier.EndpointLoad, now time.Time) {
	p, known := r.peers[name]
	if !known {
		p = &peer{}
		r.peers[name] = p
	}
	r.withdraw(p, now)
	for i := range loads {
		e, known := r.endpoints[loads[i].Address]
		if !known {
			continue
		}
		load := peerLoad{endpoint: e, calls: max(int(loads[i].InFlight), 0), leaving: loads[i].Leaving, ejected: loads[i].Ejected}
		p.loads = append(p.loads, load)
		r.count(load, 1, now)
	}
}

// withdraw takes back all that a peer said.
func (r *Router) withdraw(p *peer, now time.Time) {
	for _, load := range p.loads {
		r.count(load, -1, now)
	}
	clear(p.loads)
	p.loads = p.loads[:0]
}

// heartbeatEvery is about how old a peer's report is.
const heartbeatEvery = 200 * time.Millisecond

// settle moves the smoothed count of peers' calls towards their last report since it was last changed.
//
// Where calls are shorter than heartbeats are apart, the calls that a heartbeat counted have ended when
// it is used. Entries that all follow the newest count then send to the endpoints that were light a
// moment ago, and make them the heavy ones of the next heartbeat. Such counts are worth their mean over
// many heartbeats; where calls are long the newest is right.
func (e *endpoint) settle(now time.Time) {
	past := now.Sub(e.peerMeanAt)
	if past <= 0 {
		return
	}
	e.peerMeanAt = now
	if e.peerMean == float64(e.peerCalls) {
		return
	}
	e.peerMean += (float64(e.peerCalls) - e.peerMean) * (1 - math.Exp(-float64(past)/e.pool.settleTime()))
}

// settleTime is the time constant of settle, in nanoseconds.
func (p *pool) settleTime() float64 {
	return float64(heartbeatEvery) * float64(heartbeatEvery) / max(p.callTime, float64(time.Millisecond))
}

func (r *Router) count(load peerLoad, sign int, now time.Time) {
	e := load.endpoint
	if e.forgotten {
		return
	}
	e.settle(now)
	e.peerCalls += sign * load.calls
	e.pool.calls += sign * load.calls
	if load.leaving {
		e.peerLeaving += sign
	}
	if load.ejected {
		e.peerEjected += sign
	}
	r.refresh(e)
}

// RemovePeer forgets a dead peer's calls in flight.
func (r *Router) RemovePeer(name string) {
	p, known := r.peers[name]
	if !known {
		return
	}
	r.withdraw(p, time.Time{})
	delete(r.peers, name)
}

// LocalLoads is what this entry tells its peers: its calls in flight, and its own opinion of endpoints.
func (r *Router) LocalLoads(_ time.Time) []carrier.EndpointLoad {
	if len(r.active.all) == 0 {
		return nil
	}
	loads := make([]carrier.EndpointLoad, 0, len(r.active.all))
	for _, e := range r.active.all {
		loads = append(loads, carrier.EndpointLoad{
			Address:  e.address,
			InFlight: int32(e.inFlight),
			Leaving:  e.firstHandLeaving(),
			Ejected:  e.outIndex >= 0,
		})
	}
	return loads
}
