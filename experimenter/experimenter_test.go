package experimenter

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/switcher"
)

func TestShippedScenariosAreValid(t *testing.T) {
	require.GreaterOrEqual(t, len(ScenarioNames()), 12)
	for _, name := range ScenarioNames() {
		s, err := LoadScenario(name)
		require.NoError(t, err, name)
		require.Equal(t, name, s.Name)
		require.NotEmpty(t, s.Purpose)
	}
}

// In a burst of requests with large results, result space is the bottleneck. If results are freed only at the first event, they
// occupy space while the whole prompt is read, and endpoints are idle for lack of space. If they are freed once the engine has
// fetched them, more requests are on time.
func TestFetchedResultsAreFreedInABurst(t *testing.T) {
	s, err := LoadScenario("spaceShort")
	require.NoError(t, err)
	earned := func(disabled switcher.Disabled) (sum float64) {
		for seed := range uint64(6) {
			sum += Run(s, seed, disabled).Earned
		}
		return sum / 6
	}
	disabled, err := switcher.Disable(string(switcher.FetchedFreed))
	require.NoError(t, err)
	with, without := earned(switcher.Disabled{}), earned(disabled)
	t.Logf("earned %.3f, %.3f without", with, without)
	require.Greater(t, with, without)
}

func BenchmarkThreeStages(b *testing.B) { benchmark(b, "threeStages") }

func BenchmarkEightyEntries(b *testing.B) { benchmark(b, "eightyEntries") }

func benchmark(b *testing.B, name string) {
	s, err := LoadScenario(name)
	require.NoError(b, err)
	for b.Loop() {
		Run(s, 1, switcher.Disabled{})
	}
}

func TestRunsWithTheSameSeedAreIdentical(t *testing.T) {
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
