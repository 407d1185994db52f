package hasher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns up to n of the names, those with the highest ranks for the seed first. Adding or removing a name changes the
// result by that name only.
func Top(seed uint64, names []string, n int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	var top []ranked
	for _, name := range names {
		r := ranked{name: name, rank: Mix(seed ^ xxhash.Sum64String(name))}
		at, _ := slices.BinarySearchFunc(top, r, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
		if at < n {
			top = slices.Insert(top, at, r)[:min(len(top)+1, n)]
		}
	}
	result := make([]string, len(top))
	for i, r := range top {
		result[i] = r.name
	}
	return result
}
