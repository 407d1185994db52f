package router

import (
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

// PeerLoads takes a peer's calls in flight and its word on endpoints. It replaces the peer's earlier
// word in time that grows with what the peer lists, not with the pools.
func (r *Router) PeerLoads(name string, loads []carrier.EndpointLoad, now time.Time) {
	p, known := r.peers[name]
	if !known {
		p = &peer{}
		r.peers[name] = p
	}
	r.withdraw(p)
	for i := range loads {
		e, known := r.endpoints[loads[i].Address]
		if !known {
			continue
		}
		load := peerLoad{endpoint: e, calls: max(int(loads[i].InFlight), 0), leaving: loads[i].Leaving, ejected: loads[i].Ejected}
		p.loads = append(p.loads, load)
		r.count(load, 1)
	}
}

// withdraw takes back all that a peer said.
func (r *Router) withdraw(p *peer) {
	for _, load := range p.loads {
		r.count(load, -1)
	}
	clear(p.loads)
	p.loads = p.loads[:0]
}

func (r *Router) count(load peerLoad, sign int) {
	e := load.endpoint
	if e.forgotten {
		return
	}
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

// PeerGone forgets a dead peer's calls in flight.
func (r *Router) PeerGone(name string) {
	p, known := r.peers[name]
	if !known {
		return
	}
	r.withdraw(p)
	delete(r.peers, name)
}

// Loads is what this entry tells its peers: its calls in flight, and its own word on endpoints.
func (r *Router) Loads(_ time.Time) []carrier.EndpointLoad {
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
