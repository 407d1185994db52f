package resumer

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"geraniumline/locator"
)

// staleListTime is how long after a version was last listed an entry with an old list may still have used it. An entry that
// has restored its history can't know of such lists.
const staleListTime = 15 * time.Second

// Checkpoint is a History as stored outside the process. Clocks of VMs differ and are set, so its times are durations, which
// do not count the time between writing and reading it: everything counts as more recent than it was.
type Checkpoint struct {
	// Position is the position in the log of registrations up to which the history is complete.
	Position locator.Position
	// SinceFirstStart is set if the history reaches back to the first start of the system. Otherwise Followed is its length.
	SinceFirstStart bool
	Followed        time.Duration
	Listings        []Listing
}

// Listing is a version of a service that was last listed Age ago.
type Listing struct {
	Service string
	Version string
	Age     time.Duration
}

// Checkpoint returns the history up to a position. It returns false before the first observation.
func (h *History) Checkpoint(position locator.Position, now time.Time) (Checkpoint, bool) {
	if h.observation == 0 {
		return Checkpoint{}, false
	}
	c := Checkpoint{Position: position, SinceFirstStart: h.since.IsZero()}
	if !c.SinceFirstStart {
		c.Followed = now.Sub(h.since)
	}
	for service, versions := range h.services {
		for version, l := range versions {
			listing := Listing{Service: service, Version: version}
			if l.observation < h.observation {
				listing.Age = now.Sub(l.last)
			}
			c.Listings = append(c.Listings, listing)
		}
	}
	slices.SortFunc(c.Listings, func(a, b Listing) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return c, true
}

// Restore adds a checkpoint to a History that has been observed, and the versions that were registered between the checkpoint
// and the first observation.
func (h *History) Restore(c Checkpoint, since iter.Seq2[string, string], now time.Time) {
	for _, l := range c.Listings {
		h.addListing(l.Service, l.Version, now.Add(-max(0, l.Age-staleListTime)))
	}
	h.Note(since, now)
	followed := now.Add(-c.Followed)
	switch {
	case c.SinceFirstStart:
		h.since = time.Time{}
	case followed.Before(h.since):
		h.since = followed
	}
}

// addListing records that a version was listed at a time before the newest observation.
func (h *History) addListing(service, version string, last time.Time) {
	versions, found := h.services[service]
	if !found {
		versions = make(map[string]*listing)
		h.services[service] = versions
	}
	l, found := versions[version]
	if !found {
		versions[version] = &listing{last: last}
		return
	}
	if last.After(l.last) {
		l.last = last
	}
}

// RestorePlan is what an entry does with a checkpoint: ApplyCheckpoint, ReadSince or AwaitCheckpoint.
type RestorePlan interface{ restorePlan() }

// ApplyCheckpoint means that the entry's own observations began before the checkpoint was written.
type ApplyCheckpoint struct{}

// ReadSince means that the registrations between the two positions are missing.
type ReadSince struct{ From, To locator.Position }

// AwaitCheckpoint means that nothing is known about the time between the checkpoint and the entry's first observation.
type AwaitCheckpoint struct{}

func (ApplyCheckpoint) restorePlan() {}
func (ReadSince) restorePlan()       {}
func (AwaitCheckpoint) restorePlan() {}

// PlanRestore decides about a checkpoint. first is the position of the entry's first list of endpoints. Positions of
// different eras of the log are not connected: registrations between them may have been lost.
func PlanRestore(checkpoint, first locator.Position) RestorePlan {
	switch {
	case !checkpoint.Before(first):
		return ApplyCheckpoint{}
	case checkpoint.Era() == first.Era():
		return ReadSince{From: checkpoint, To: first}
	default:
		return AwaitCheckpoint{}
	}
}
