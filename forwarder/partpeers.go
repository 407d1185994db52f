package forwarder

import (
	"time"

	"geraniumline/carrier"
)

// partChanges returns the changes of parts to send to peers, or nil. The lock must be held.
func (f *Forwarder) partChanges(now time.Time) *carrier.PartCrashes {
	f.partPeers.BeginRound()
	f.broken.expire(now)
	f.parts.Expire(now)
	list := f.parts.Changes(now)
	if len(list) == 0 {
		return nil
	}
	return &carrier.PartCrashes{Parts: list}
}

// partTargets returns the peers that changes of parts are sent to: all whose release tracks parts, or some of many, which
// pass on what is new to them. Not all peers that heartbeats go to are known to track them. The lock must be held.
func (f *Forwarder) partTargets() []string {
	var targets []string
	for m := range f.detector.All() {
		if f.partPeers.Tracks(m.Name) && f.isRunningPeer(m) {
			targets = append(targets, m.PeerAddress)
		}
	}
	if len(targets) <= fullRoundPeers {
		return targets
	}
	f.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:heartbeatsPerRound]
}

// applyPartSum sends all parts to a peer whose checksum of them differs. The lock must be held.
func (f *Forwarder) applyPartSum(from string, sum uint32, now time.Time) []func() {
	all := f.partPeers.Receive(from, sum, f.parts, now)
	if len(all) == 0 {
		return nil
	}
	return []func(){f.sendTo(from, &carrier.PartCrashes{Parts: all})}
}

// applyPartCrashes applies a peer's parts of prompts that crash endpoints. The lock must be held.
func (f *Forwarder) applyPartCrashes(m *carrier.PartCrashes, now time.Time) {
	f.logPartChanges(f.parts.Merge(m.Parts, now))
}
