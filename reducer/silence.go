package reducer

import (
	"maps"
	"slices"
	"time"

	"geraniumline/detector"
)

// silentEntry is an entry that is taken for dead by its silence alone.
type silentEntry struct {
	peerAddress string
	since       time.Time
}

// keepPart counts a silent entry on for the limits. It may be on the far side of a cut and serve callers there;
// were its part taken up here as there, an account would get its whole contract on each side. An entry
// that has told of the end of its planned stop is gone.
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

// endParts frees the parts of silent entries that the platform's list of VMs does not name either. The list lags
// and may lack a VM that lives, but hardly one that is old enough to have been heard and is silent. A list
// that names no entry tells nothing.
func (c *Core) releaseShares(hints []EntryHint, now time.Time) {
	if len(hints) == 0 {
		return
	}
	named := map[string]bool{}
	for _, hint := range hints {
		named[hint.PeerAddress] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.silentEntries)) {
		silent := c.silentEntries[name]
		if named[silent.peerAddress] && now.Sub(silent.since) < forgetAfter {
			continue
		}
		delete(c.silentEntries, name)
		c.limiter.RemovePeer(name, now)
	}
	c.updateEntryCount(now)
}
