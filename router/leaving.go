package router

import "time"

// An endpoint that is leaving gets no new work from the first sign on: the VM list's mark, its own
// refusal or report, or a peer's heartbeat. An address is used again by later VMs, so each sign ends with
// evidence of its own kind, and none sticks to the address:
//   - the list's mark, when the list calls the address live;
//   - the endpoint's own report, when one of a later time does not repeat it;
//   - a peer's heartbeat, when the next ones no longer carry it. Peers tell only what they know at
//     first hand: told on, a mark would circle between entries for ever.

// firstHandLeaving tells whether this entry knows from the list or from the endpoint that it leaves.
func (e *endpoint) firstHandLeaving() bool { return e.listLeaving || e.selfLeaving }

// takeLeavingWord takes what a report says on leaving. The report may be older than a refusal that
// came before it, and its clock may differ, so that only a clearly later one ends the mark.
func (r *Router) takeLeavingWord(e *endpoint, report LoadReport, now time.Time) {
	if report.Leaving {
		e.selfLeaving = true
		e.selfLeavingAt = now
		return
	}
	if e.selfLeaving && report.AsOf.After(e.selfLeavingAt.Add(reportSkew)) {
		e.selfLeaving = false
	}
}
