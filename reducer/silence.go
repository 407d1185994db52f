package reducer

import (
	"maps"
	"slices"
	"time"

	"geraniumline/detector"
)

// silentEntry is an entry that is considered dead only because it is silent.
type silentEntry struct {
	peerAddress string
	since       time.Time
}

// retainShare keeps the share of the limits of an entry that is only silent. It may be on the other side of a network
// partition and serve callers there. If its share were redistributed on both sides, an account would get its
// whole contract on each. The share of an entry that has reported the end of its planned stop is released.
func (c *Core) retainShare(t detector.Transition, now time.Time) {
	name := t.Member.Name
	switch t.To {
	case detector.Dead:
		if t.ConnectionRefused {
			c.limiter.RemovePeer(name, now)
			return
		}
		c.silentEntries[name] = silentEntry{peerAddress: t.Member.PeerAddress, since: now}
	case detector.Stopped:
		delete(c.silentEntries, name)
		c.limiter.RemovePeer(name, now)
	default:
		delete(c.silentEntries, name)
	}
}

// releaseShares releases the shares of silent entries that the platform's list of VMs does not contain either. The
// list lags and may lack a live VM, but hardly one that is old enough to have sent heartbeats and is now silent.
// A list without any entries is ignored.
func (c *Core) releaseShares(hints []EntryHint, now time.Time) {
	if len(hints) == 0 {
		return
	}
	listed := map[string]bool{}
	for _, hint := range hints {
		listed[hint.PeerAddress] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.silentEntries)) {
		silent := c.silentEntries[name]
		if listed[silent.peerAddress] && now.Sub(silent.since) < forgetAfter {
			continue
		}
		delete(c.silentEntries, name)
		c.limiter.RemovePeer(name, now)
	}
	c.updateEntryCount(now)
}
