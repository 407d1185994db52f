package experimenter

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/switcher"
)

func TestShippedScenariosAreSound(t *testing.T) {
	require.GreaterOrEqual(t, len(ScenarioNames()), 12)
	for _, name := range ScenarioNames() {
		s, err := LoadScenario(name)
		require.NoError(t, err, name)
		require.Equal(t, name, s.Name)
		require.NotEmpty(t, s.Purpose)
	}
}

// A burst of requests with large results, whose space binds. Given back only with the first event they lie there while the whole
// prompt is read, and the endpoints stand idle for want of space; given back once the engine has them more requests are on time.
func TestSpaceIsGivenBackInABurst(t *testing.T) {
	s, err := LoadScenario("spaceShort")
	require.NoError(t, err)
	earned := func(off switcher.Disabled) (sum float64) {
		for seed := range uint64(6) {
			sum += Run(s, seed, off).Earned
		}
		return sum / 6
	}
	off, err := switcher.Disable(string(switcher.FetchedFreed))
	require.NoError(t, err)
	with, without := earned(switcher.Disabled{}), earned(off)
	t.Logf("earned %.3f, %.3f without", with, without)
	require.Greater(t, with, without)
}

func BenchmarkSmall(b *testing.B) { benchmark(b, "threeStages") }

func BenchmarkEighty(b *testing.B) { benchmark(b, "eightyEntries") }

func benchmark(b *testing.B, name string) {
	s, err := LoadScenario(name)
	require.NoError(b, err)
	for b.Loop() {
		Run(s, 1, switcher.Disabled{})
	}
}

func TestOneSeedGivesTheSameRun(t *testing.T) {
	s, err := LoadScenario("threeStagesLost")
	require.NoError(t, err)
	s.Seconds = 14
	text := func(seed uint64) string {
		data, err := json.Marshal(Run(s, seed, switcher.Disabled{}))
		require.NoError(t, err)
		return string(data)
	}
	require.Equal(t, text(3), text(3))
	require.NotEqual(t, text(3), text(4))
}
