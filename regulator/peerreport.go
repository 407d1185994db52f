package regulator

import (
	"maps"
	"time"
)

// PeerReportTTL is how long a peer's report that an endpoint is unreachable has an effect. It covers the time until the
// store removes the registration of a process that has ended, and the delay of a heartbeat.
const PeerReportTTL = 3 * time.Second

// PeerReports holds the endpoints of one pool that peers have reported as unreachable. Without the reports, each of many
// entries would find out for itself about each endpoint that a crash took down, at the cost of a call. Its zero value
// holds no reports.
type PeerReports struct {
	// byPeer holds the time of each peer's newest report on each endpoint.
	byPeer map[string]map[string]time.Time
}

// Record records a peer's report that an endpoint was unreachable at the given time. It reports whether the peer is
// credible: a peer to which over half of a pool is unreachable has probably lost its own network.
func (r *PeerReports) Record(peer, endpoint string, at time.Time, poolSize int, now time.Time) bool {
	if !now.Before(at.Add(PeerReportTTL)) {
		return false
	}
	if r.byPeer == nil {
		r.byPeer = make(map[string]map[string]time.Time)
	}
	reports := r.byPeer[peer]
	if reports == nil {
		reports = make(map[string]time.Time)
		r.byPeer[peer] = reports
	}
	if at.After(reports[endpoint]) {
		reports[endpoint] = at
	}
	maps.DeleteFunc(reports, func(_ string, at time.Time) bool { return !now.Before(at.Add(PeerReportTTL)) })
	return MinorityUnreachable(len(reports), poolSize)
}

// Prune discards the reports that have no effect any more.
func (r *PeerReports) Prune(now time.Time) {
	for peer, reports := range r.byPeer {
		maps.DeleteFunc(reports, func(_ string, at time.Time) bool { return !now.Before(at.Add(PeerReportTTL)) })
		if len(reports) == 0 {
			delete(r.byPeer, peer)
		}
	}
}

// MinorityUnreachable reports whether so few endpoints of a pool are unreachable to an entry that the cause lies with
// them and not with the entry.
func MinorityUnreachable(unreachable, poolSize int) bool { return 2*unreachable <= poolSize }
