package publisher

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

func compareObjects(a, b Object) int {
	return cmp.Or(strings.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
}

func sortedNames(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}
