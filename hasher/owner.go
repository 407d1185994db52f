package hasher

import "github.com/cespare/xxhash/v2"

// Owner names the one of all names that a duty falls to: the one with the highest rank. All who know the same names agree,
// and a name that comes or goes moves only its own duties.
func Owner(duty string, names []string) (string, bool) {
	seed := xxhash.Sum64String(duty)
	best, bestRank := "", uint64(0)
	for _, name := range names {
		if rank := Mix(seed ^ xxhash.Sum64String(name)); best == "" || rank > bestRank {
			best, bestRank = name, rank
		}
	}
	return best, best != ""
}
