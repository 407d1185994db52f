package locator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPositionsAreOrderedByEraThenOffset(t *testing.T) {
	ordered := []Position{None, {}, At(0, 9), At(1, 0), At(1, 3), At(2, 1)}
	for i, p := range ordered {
		for j, q := range ordered {
			require.Equal(t, i < j, p.Before(q), "%v and %v", p, q)
			require.Equal(t, ordered[max(i, j)], Later(p, q))
		}
	}
	require.Equal(t, "2/1", At(2, 1).String())
}
