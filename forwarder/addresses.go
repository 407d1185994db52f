package forwarder

import (
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/detector"
)

const (
	// maxAddresses is the largest number of addresses that a caller accepts in one response.
	maxAddresses = 64
	// startupPeriod is how long after its start an entry may not have discovered its peers. Its responses have the
	// short startupTTL until then, so that callers do not stay with the few entries it knows.
	startupPeriod = 2 * time.Second
	startupTTL    = 500 * time.Millisecond
)

// nearestMembers returns the entries in the caller's region if there are any: a body that may not leave its home
// regions must not be sent to an entry that is neither there nor in the caller's region. Otherwise it returns the
// entries in the host's home regions, or else all.
func (f *Forwarder) nearestMembers(members []*detector.Member, region string, homes []string) []*detector.Member {
	for _, regions := range [][]string{{region}, homes} {
		var matching []*detector.Member
		for _, m := range members {
			if at := f.cfg.Regions[m.Zone]; at != "" && slices.Contains(regions, at) {
				matching = append(matching, m)
			}
		}
		if len(matching) > 0 {
			return matching
		}
	}
	return members
}

// Addresses returns the addresses of entries that callers of a host in a region should use, and how long callers may
// cache them.
func (f *Forwarder) Addresses(host, region string, now time.Time) ([]string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live, stopping []*detector.Member
	for m := range f.detector.All() {
		switch m.State {
		case detector.Live:
			live = append(live, m)
		case detector.Stopping:
			stopping = append(stopping, m)
		}
	}
	if len(live) == 0 {
		// Entries in a planned stop still serve requests, and are used if there are no others.
		live = stopping
	}
	if f.catalog != nil {
		live = f.nearestMembers(live, region, f.catalog.AllowedRegions(host))
	}
	addresses := make([]string, len(live))
	for i, m := range live {
		addresses[i] = m.CallerAddress
	}
	ttl := f.cfg.AddressTTL
	if now.Sub(f.startTime) < startupPeriod {
		ttl = min(ttl, startupTTL)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return slices.Clip(addresses[:min(len(addresses), maxAddresses)]), ttl
}
