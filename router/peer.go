package router

import (
	"math"
	"time"

	"geraniumline/carrier"
)

// peer holds the last heartbeat of another entry.
type peer struct {
	loads []peerLoad
}

type peerLoad struct {
	endpoint *endpoint
	calls    int
	leaving  bool
	ejected  bool
}

// UpdatePeerLoads replaces the calls in flight and the endpoint states that a peer reported before.
// Its cost grows with the number of reported endpoints, not with the size of the pools.
func (r *Router) UpdatePeerLoads(name string, loads []carrier.EndpointLoad, now time.Time) {
	p, known := r.peers[name]
	if !known {
		p = &peer{}
		r.peers[name] = p
	}
	r.revertPeerLoads(p, now)
	for i := range loads {
		e, known := r.endpoints[loads[i].Address]
		if !known {
			continue
		}
		load := peerLoad{endpoint: e, calls: max(int(loads[i].InFlight), 0), leaving: loads[i].Leaving, ejected: loads[i].Ejected}
		p.loads = append(p.loads, load)
		r.addPeerLoad(load, 1, now)
	}
}

// revertPeerLoads removes everything that a peer reported from the endpoints' counts.
func (r *Router) revertPeerLoads(p *peer, now time.Time) {
	for _, load := range p.loads {
		r.addPeerLoad(load, -1, now)
	}
	clear(p.loads)
	p.loads = p.loads[:0]
}

// heartbeatInterval is the approximate age of a peer's report.
const heartbeatInterval = 200 * time.Millisecond

// smoothPeerCalls moves the smoothed count of peers' calls towards the last reported count, for the
// time since the previous update.
//
// If calls are shorter than the heartbeat interval, the calls counted by a heartbeat have ended by
// the time the count is used. Entries that all follow the newest count then send to the endpoints
// that were lightly loaded a moment ago, and overload them until the next heartbeat. For such calls
// the mean over many heartbeats is more accurate; for long calls the newest count is.
func (e *endpoint) smoothPeerCalls(now time.Time) {
	elapsed := now.Sub(e.smoothedAt)
	if elapsed <= 0 {
		return
	}
	e.smoothedAt = now
	if e.smoothedPeerCalls == float64(e.peerCalls) {
		return
	}
	e.smoothedPeerCalls += (float64(e.peerCalls) - e.smoothedPeerCalls) * (1 - math.Exp(-float64(elapsed)/e.pool.smoothingTime()))
}

// smoothingTime returns the time constant of smoothPeerCalls, in nanoseconds.
func (p *pool) smoothingTime() float64 {
	return float64(heartbeatInterval) * float64(heartbeatInterval) / max(p.callTime, float64(time.Millisecond))
}

func (r *Router) addPeerLoad(load peerLoad, sign int, now time.Time) {
	e := load.endpoint
	if e.removed {
		return
	}
	e.smoothPeerCalls(now)
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

// RemovePeer removes a dead peer and its calls in flight.
func (r *Router) RemovePeer(name string) {
	p, known := r.peers[name]
	if !known {
		return
	}
	r.revertPeerLoads(p, time.Time{})
	delete(r.peers, name)
}

// LocalLoads returns what this entry reports to its peers: its own calls in flight and its own view
// of the endpoints' states.
func (r *Router) LocalLoads(_ time.Time) []carrier.EndpointLoad {
	if len(r.active.all) == 0 {
		return nil
	}
	loads := make([]carrier.EndpointLoad, 0, len(r.active.all))
	for _, e := range r.active.all {
		loads = append(loads, carrier.EndpointLoad{
			Address:  e.address,
			InFlight: int32(e.inFlight),
			Leaving:  e.observedLeaving(),
			Ejected:  e.unhealthyIndex >= 0,
		})
	}
	return loads
}
