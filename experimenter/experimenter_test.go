package experimenter

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/switcher"
)

func TestShippedScenariosAreSound(t *testing.T) {
	require.GreaterOrEqual(t, len(Shipped()), 12)
	for _, name := range Shipped() {
		s, err := Named(name)
		require.NoError(t, err, name)
		require.Equal(t, name, s.Name)
		require.NotEmpty(t, s.Purpose)
	}
}

func BenchmarkSmall(b *testing.B) { benchmark(b, "threeStages") }

func BenchmarkEighty(b *testing.B) { benchmark(b, "eightyEntries") }

func benchmark(b *testing.B, name string) {
	s, err := Named(name)
	require.NoError(b, err)
	for b.Loop() {
		Run(s, 1, switcher.Off{})
	}
}

func TestOneSeedGivesTheSameRun(t *testing.T) {
	s, err := Named("threeStagesLost")
	require.NoError(t, err)
	s.Seconds = 14
	text := func(seed uint64) string {
		data, err := json.Marshal(Run(s, seed, switcher.Off{}))
		require.NoError(t, err)
		return string(data)
	}
	require.Equal(t, text(3), text(3))
	require.NotEqual(t, text(3), text(4))
}
