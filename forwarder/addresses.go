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

// Addresses gives callers the addresses of entries to use and how long they may keep them.
func (f *Forwarder) Addresses(now time.Time) ([]string, time.Duration) {
	f.mu.Lock()
	members := f.detector.Members()
	f.mu.Unlock()
	var live, stopping []string
	for _, m := range members {
		switch m.State {
		case detector.Live:
			live = append(live, m.CallerAddress)
		case detector.Stopping:
			stopping = append(stopping, m.CallerAddress)
		}
	}
	addresses := live
	if len(addresses) == 0 {
		// Entries in a planned stop still answer; with no other one that is better than nothing.
		addresses = stopping
	}
	ttl := f.cfg.AddressTTL
	if now.Sub(f.began) < youngTime {
		ttl = min(ttl, youngTTL)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return slices.Clip(addresses[:min(len(addresses), maxAddresses)]), ttl
}
