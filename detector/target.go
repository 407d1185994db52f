package detector

import (
	"slices"
	"strings"
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

// AddHint takes a line of the VM list. The list lags, so it never makes a member live or dead:
// it only names an address to send heartbeats to, and marks a member whose VM is leaving.
func (d *Detector) AddHint(peerAddress, zone string, leaving bool, now time.Time) {
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

// Targets gives the peer addresses to send the next heartbeat to: members that are not dead, and now and then
// the dead ones, the hints and the seeds, so that a healed partition and a new VM are found.
func (d *Detector) Targets(now time.Time) []string {
	t := targets{taken: make(map[string]bool, len(d.order)+1)}
	t.taken[d.self.PeerAddress] = true
	for _, address := range d.greet {
		t.add(address)
	}
	d.greet = nil
	if d.fullMesh() {
		t.addAll(d.reachable())
	} else {
		t.addAll(d.gossip(now))
	}
	for _, p := range d.probes(now) {
		t.add(p.address)
		*p.probedAt = now
	}
	slices.Sort(t.addresses)
	return t.addresses
}

// targets is a list of addresses without doubles.
type targets struct {
	addresses []string
	taken     map[string]bool
}

func (t *targets) add(address string) {
	if t.taken[address] {
		return
	}
	t.taken[address] = true
	t.addresses = append(t.addresses, address)
}

func (t *targets) addAll(records []*record) {
	for _, r := range records {
		t.add(r.member.PeerAddress)
	}
}

// reachable gives the members that heartbeats are sent to.
func (d *Detector) reachable() []*record {
	out := make([]*record, 0, len(d.order))
	for _, r := range d.order {
		if r.member.State != Dead && r.member.State != Stopped {
			out = append(out, r)
		}
	}
	return out
}

// probe is an address that may or may not be an entry's.
type probe struct {
	address  string
	probedAt *time.Time
}

// probes gives the addresses that are due to be tried, those that have waited longest first. When the system is too
// large for a full mesh their number is bounded, or the loss of an availability zone would raise the traffic.
func (d *Detector) probes(now time.Time) []probe {
	due := append(d.deadProbes(now), d.hintProbes(now)...)
	if d.fullMesh() || len(due) <= d.cfg.Fanout {
		return due
	}
	slices.SortFunc(due, func(x, y probe) int {
		if c := x.probedAt.Compare(*y.probedAt); c != 0 {
			return c
		}
		return strings.Compare(x.address, y.address)
	})
	return due[:d.cfg.Fanout]
}

func (d *Detector) deadProbes(now time.Time) []probe {
	var due []probe
	for _, r := range d.order {
		if r.member.State == Dead && now.Sub(r.probedAt) >= d.cfg.ProbeInterval {
			due = append(due, probe{address: r.member.PeerAddress, probedAt: &r.probedAt})
		}
	}
	return due
}

// hintProbes gives the hints that are due and at whose address no member is known that gets heartbeats anyway.
func (d *Detector) hintProbes(now time.Time) []probe {
	var due []probe
	for address, h := range d.hints {
		if now.Sub(h.probedAt) >= d.cfg.ProbeInterval {
			due = append(due, probe{address: address, probedAt: &h.probedAt})
		}
	}
	if len(due) == 0 {
		return nil
	}
	known := d.knownAddresses()
	return slices.DeleteFunc(due, func(p probe) bool { return known[p.address] })
}

// knownAddresses gives the peer addresses of this entry and of the members that heartbeats are sent to.
func (d *Detector) knownAddresses() map[string]bool {
	out := map[string]bool{d.self.PeerAddress: true}
	for _, r := range d.reachable() {
		out[r.member.PeerAddress] = true
	}
	return out
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
