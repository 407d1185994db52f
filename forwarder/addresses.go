package forwarder

import (
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/detector"
)

const (
	// maxAddresses is the most addresses that a caller takes from one answer.
	maxAddresses = 64
	// youngTime is how long after its start an entry may not have heard of its peers yet; its answers are short-lived
	// until then, so that callers do not stay with the few entries it knows.
	youngTime = 2 * time.Second
	youngTTL  = 500 * time.Millisecond
)

// nearest leaves the entries in the caller's region, if there are any: a body that may not leave its homes must not be sent
// to an entry that is neither there nor where its caller is. Without one there the host's homes are next, then all.
func (f *Forwarder) nearest(members []detector.Member, region string, homes []string) []detector.Member {
	for _, regions := range [][]string{{region}, homes} {
		var near []detector.Member
		for _, m := range members {
			if at := f.cfg.Regions[m.Zone]; at != "" && slices.Contains(regions, at) {
				near = append(near, m)
			}
		}
		if len(near) > 0 {
			return near
		}
	}
	return members
}

// Addresses gives the addresses of entries that callers of a host in a region should use, and how long they may keep them.
func (f *Forwarder) Addresses(host, region string, now time.Time) ([]string, time.Duration) {
	f.mu.Lock()
	members := f.detector.Members()
	catalog := f.catalog
	f.mu.Unlock()
	var live, stopping []detector.Member
	for _, m := range members {
		switch m.State {
		case detector.Live:
			live = append(live, m)
		case detector.Stopping:
			stopping = append(stopping, m)
		}
	}
	if len(live) == 0 {
		// Entries in a planned stop still answer; with no other one that is better than nothing.
		live = stopping
	}
	if catalog != nil {
		live = f.nearest(live, region, catalog.AllowedRegions(host))
	}
	addresses := make([]string, len(live))
	for i, m := range live {
		addresses[i] = m.CallerAddress
	}
	ttl := f.cfg.AddressTTL
	if now.Sub(f.began) < youngTime {
		ttl = min(ttl, youngTTL)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return slices.Clip(addresses[:min(len(addresses), maxAddresses)]), ttl
}
