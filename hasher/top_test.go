package hasher

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTopMovesOnlyWhatANameHad(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	firsts := make(map[string]int)
	for seed := range uint64(7000) {
		top := Top(seed, names, 3)
		require.Len(t, top, 3)
		firsts[top[0]]++
		less := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == top[1] })
		require.Equal(t, []string{top[0], top[2]}, Top(seed, less, 3)[:2])
	}
	for name, n := range firsts {
		require.InDelta(t, 1000, n, 150, name)
	}
	require.Empty(t, Top(1, nil, 3))
	require.Empty(t, Top(1, names, 0))
	require.Len(t, Top(1, names, 9), 7)
}

func BenchmarkTop(b *testing.B) {
	names := make([]string, 2400)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	for seed := 0; b.Loop(); seed++ {
		Top(uint64(seed), names, 3)
	}
}
