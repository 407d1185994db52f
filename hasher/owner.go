package hasher

import "github.com/cespare/xxhash/v2"

// Rank tells how many of the names come before one in the order of who a duty falls to. The name itself need not be among
// them.
func Rank(duty string, names []string, name string) int {
	seed := xxhash.Sum64String(duty)
	own := Mix(seed ^ xxhash.Sum64String(name))
	n := 0
	for _, other := range names {
		if other != name && Mix(seed^xxhash.Sum64String(other)) > own {
			n++
		}
	}
	return n
}

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
