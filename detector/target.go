package detector

import (
	"slices"
	"strings"
	"time"
)

// hint is a peer address from the VM list or from the settings.
type hint struct {
	zone     string
	leaving  bool
	seed     bool
	listedAt time.Time
	probedAt time.Time
}

// AddHint records one row of the VM list. The list lags, so it never makes a member live or dead: it only supplies an
// address to send heartbeats to, and marks members whose VM is leaving.
func (d *Detector) AddHint(peerAddress, zone string, leaving bool, now time.Time) {
	h, ok := d.hints[peerAddress]
	if !ok {
		h = &hint{}
		d.hints[peerAddress] = h
	}
	h.zone = zone
	h.leaving = leaving
	h.listedAt = now
	d.markLeaving(peerAddress, leaving)
}

// Targets returns the peer addresses to send the next heartbeat to: members that aren't dead, and at intervals dead
// members, hints and seeds, so that healed partitions and new VMs are discovered.
func (d *Detector) Targets(now time.Time) []string {
	t := targets{seen: make(map[string]bool, len(d.sorted)+1)}
	t.seen[d.self.PeerAddress] = true
	if d.usesFullMesh() {
		for _, p := range d.newPeers {
			t.add(p.address)
		}
		d.newPeers = nil
		t.addAll(d.reachable())
	} else {
		t.addAll(d.gossipTargets(now))
	}
	for _, p := range d.probes(now) {
		t.add(p.address)
		*p.probedAt = now
	}
	slices.Sort(t.addresses)
	return t.addresses
}

// targets is a list of addresses without duplicates.
type targets struct {
	addresses []string
	seen      map[string]bool
}

func (t *targets) add(address string) {
	if t.seen[address] {
		return
	}
	t.seen[address] = true
	t.addresses = append(t.addresses, address)
}

func (t *targets) addAll(records []*record) {
	for _, r := range records {
		t.add(r.member.PeerAddress)
	}
}

// reachable returns the members that receive heartbeats.
func (d *Detector) reachable() []*record {
	out := make([]*record, 0, len(d.sorted))
	for _, r := range d.sorted {
		if r.receivesHeartbeats() {
			out = append(out, r)
		}
	}
	return out
}

func (r *record) receivesHeartbeats() bool {
	return r.member.State != Dead && r.member.State != Stopped
}

// probe is an address at which an entry may or may not run.
type probe struct {
	address  string
	probedAt *time.Time
}

// probes returns the addresses that are due for a probe, least recently probed first. Above MaxFullMesh their number
// is limited; otherwise the loss of an availability zone would increase the traffic.
func (d *Detector) probes(now time.Time) []probe {
	due := append(d.deadProbes(now), d.hintProbes(now)...)
	if d.usesFullMesh() || len(due) <= d.cfg.Fanout {
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
	for _, r := range d.sorted {
		if r.member.State == Dead && now.Sub(r.probedAt) >= d.cfg.ProbeInterval {
			due = append(due, probe{address: r.member.PeerAddress, probedAt: &r.probedAt})
		}
	}
	return due
}

// hintProbes returns the hints that are due for a probe, except those at whose address a known member already
// receives heartbeats.
func (d *Detector) hintProbes(now time.Time) []probe {
	var due []probe
	for address, h := range d.hints {
		if now.Sub(h.probedAt) >= d.cfg.ProbeInterval {
			due = append(due, probe{address: address, probedAt: &h.probedAt})
		}
	}
	return slices.DeleteFunc(due, func(p probe) bool { return d.reachableAt(p.address) })
}

// reachableAt reports whether this entry or a member that receives heartbeats has the peer address.
func (d *Detector) reachableAt(address string) bool {
	return address == d.self.PeerAddress || slices.ContainsFunc(d.sorted, func(r *record) bool {
		return r.member.PeerAddress == address && r.receivesHeartbeats()
	})
}

func (d *Detector) markLeaving(peerAddress string, leaving bool) {
	if peerAddress == d.self.PeerAddress {
		d.self.Leaving = leaving
		return
	}
	for _, r := range d.sorted {
		if r.member.PeerAddress == peerAddress {
			r.member.Leaving = leaving
		}
	}
}

// dropHints removes addresses that the VM list hasn't contained for ForgetAfter. Seeds are kept.
func (d *Detector) dropHints(now time.Time) {
	for address, h := range d.hints {
		if h.seed || now.Sub(h.listedAt) <= d.cfg.ForgetAfter {
			continue
		}
		delete(d.hints, address)
		d.markLeaving(address, false)
	}
}
