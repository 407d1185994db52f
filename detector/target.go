package detector

import (
	"slices"
	"time"
)

// hint is a peer address that was named by the VM list or by the settings.
type hint struct {
	zone     string
	leaving  bool
	seed     bool
	namedAt  time.Time
	probedAt time.Time
}

// Hint takes a line of the VM list. The list lags, so it never makes a member live or dead:
// it only names an address to send heartbeats to, and marks a member whose VM is leaving.
func (d *Detector) Hint(peerAddress, zone string, leaving bool, now time.Time) {
	h, ok := d.hints[peerAddress]
	if !ok {
		h = &hint{}
		d.hints[peerAddress] = h
	}
	h.zone = zone
	h.leaving = leaving
	h.namedAt = now
	d.markLeaving(peerAddress, leaving)
}

// Targets gives the peer addresses to send the next heartbeat to: all members that are not dead, and now and then
// the dead ones, the hints and the seeds, so that a healed partition and a new VM are found.
func (d *Detector) Targets(now time.Time) []string {
	known := make(map[string]bool, len(d.order)+1)
	known[d.self.PeerAddress] = true
	var out []string
	for _, address := range d.greet {
		if !known[address] {
			known[address] = true
			out = append(out, address)
		}
	}
	d.greet = nil
	for _, r := range d.order {
		address := r.member.PeerAddress
		if known[address] || !d.reachable(r, now) {
			continue
		}
		known[address] = true
		out = append(out, address)
	}
	for address, h := range d.hints {
		if known[address] || now.Sub(h.probedAt) < d.cfg.ProbeEvery {
			continue
		}
		h.probedAt = now
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// reachable tells whether a member gets the next heartbeat, and notes a probe of a dead one.
func (d *Detector) reachable(r *record, now time.Time) bool {
	switch r.member.State {
	case Stopped:
		return false
	case Dead:
		if now.Sub(r.probedAt) < d.cfg.ProbeEvery {
			return false
		}
		r.probedAt = now
	}
	return true
}

func (d *Detector) markLeaving(peerAddress string, leaving bool) {
	if peerAddress == d.self.PeerAddress {
		d.self.Leaving = leaving
		return
	}
	for _, r := range d.order {
		if r.member.PeerAddress == peerAddress {
			r.member.Leaving = leaving
		}
	}
}

// dropHints forgets addresses that the VM list has not named for ForgetAfter. Seeds stay.
func (d *Detector) dropHints(now time.Time) {
	for address, h := range d.hints {
		if h.seed || now.Sub(h.namedAt) <= d.cfg.ForgetAfter {
			continue
		}
		delete(d.hints, address)
		d.markLeaving(address, false)
	}
}
