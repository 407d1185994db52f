package router

import "time"

// A leaving endpoint receives no new work from the first sign on: a mark in the VM list, its own
// refusal or report, or a peer's heartbeat. Later VMs reuse addresses, so each sign is cleared by
// newer evidence from the same source and none remains attached to an address:
//   - the mark of the VM list, when the list shows the address as live;
//   - the endpoint's own sign, when a clearly later report does not repeat it;
//   - a peer's heartbeat, when the next ones no longer contain it. Peers report only what they
//     observed themselves: if they passed on what other peers report, a mark would circulate
//     between entries forever.

// observedLeaving reports whether the VM list or the endpoint itself shows that it is leaving.
func (e *endpoint) observedLeaving() bool { return e.listLeaving || e.selfLeaving }

// updateLeaving applies the leaving flag of a load report. The report may be older than a refusal
// that arrived before it, and the endpoint's clock may differ, so only a clearly later report
// clears the flag.
func (r *Router) updateLeaving(e *endpoint, report LoadReport, now time.Time) {
	if report.Leaving {
		e.selfLeaving = true
		e.selfLeavingAt = now
		return
	}
	if e.selfLeaving && report.AsOf.After(e.selfLeavingAt.Add(reportSkew)) {
		e.selfLeaving = false
	}
}
