package hasher

import "github.com/cespare/xxhash/v2"

// Rank returns the number of names that rank above name for the key. The name itself need not be among the names.
func Rank(key string, names []string, name string) int {
	seed := xxhash.Sum64String(key)
	own := Mix(seed ^ xxhash.Sum64String(name))
	n := 0
	for _, other := range names {
		if other != name && Mix(seed^xxhash.Sum64String(other)) > own {
			n++
		}
	}
	return n
}

// Owner returns the name with the highest rank for the key, or false if there are no names. All callers with the same
// names get the same result, and adding or removing a name moves only the keys that it owns.
func Owner(key string, names []string) (string, bool) {
	seed := xxhash.Sum64String(key)
	best, bestRank := "", uint64(0)
	for _, name := range names {
		if rank := Mix(seed ^ xxhash.Sum64String(name)); best == "" || rank > bestRank {
			best, bestRank = name, rank
		}
	}
	return best, best != ""
}
