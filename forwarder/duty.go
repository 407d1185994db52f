package forwarder

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"geraniumline/detector"
	"geraniumline/hasher"
)

// linkWeight is the capacity that a Mbit/s of a VM's link counts for. A collecting entry's frames and calls take some
// 5 Mbit/s at a processor's quarter core.
const linkWeight = 50

// CapacityOf puts a VM's processor, in cores, and its link into one figure, in thousandths of a core: what it can carry is
// bound by the lesser.
func CapacityOf(cores, linkMbps float64) int {
	return int(min(1000*cores, linkWeight*linkMbps))
}

// owner gives the entry that a duty falls to: of the live ones on large VMs the one with the highest rank. VMs of under
// half the largest one's capacity get duties only if no other is left: a duty's work does not shrink with its VM. The lock
// is held.
func (f *Forwarder) owner(duty string, avoid []string) (string, bool) {
	seed := xxhash.Sum64String(duty)
	live := make([]string, 0, len(f.capacities))
	largest := 0
	for _, m := range f.detector.Members() {
		if m.State != detector.Live || slices.Contains(avoid, m.Name) {
			continue
		}
		live = append(live, m.Name)
		largest = max(largest, f.capacities[m.Name])
	}
	best, bestRank := "", uint64(0)
	for _, name := range live {
		rank := hasher.Mix(seed ^ xxhash.Sum64String(name))
		if 2*f.capacities[name] >= largest && (best == "" || rank > bestRank) {
			best, bestRank = name, rank
		}
	}
	return best, best != ""
}
