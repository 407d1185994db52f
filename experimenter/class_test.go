package experimenter

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/switcher"
)

func withoutClassLoads(t *testing.T) switcher.Disabled {
	disabled, err := switcher.Disable(string(switcher.ClassLoads))
	require.NoError(t, err)
	return disabled
}

// Guards against urgent requests that count as late at a middle stage, and go behind less urgent ones, because those wait at the
// last stage. The stages have the capacity for all urgent requests. The less urgent ones must not starve for it.
func TestUrgentRequestsAreOnTimeInAnOverloadByOthers(t *testing.T) {
	s, err := LoadScenario("lastStageShort")
	require.NoError(t, err)
	const urgent = 1
	played := func(disabled switcher.Disabled) (missed, earned float64) {
		for seed := range uint64(2) {
			r := Run(s, seed, disabled)
			k := r.Kinds[urgent]
			require.Zero(t, s.Kinds[urgent].Priority)
			missed += 1 - float64(k.OnTime)/float64(k.Requests)
			earned += r.Earned
			requireNoneStarved(t, r)
		}
		return missed / 2, earned / 2
	}
	missed, earned := played(switcher.Disabled{})
	missedWithout, earnedWithout := played(withoutClassLoads(t))
	t.Logf("missed %.3f, %.3f without; earned %.3f, %.3f without", missed, missedWithout, earned, earnedWithout)
	require.Less(t, missed, missedWithout)
	require.Greater(t, earned, earnedWithout)
}

// requireNoneStarved requires that each kind is served at least a quarter as often as all requests.
func requireNoneStarved(t *testing.T, r *Result) {
	asked, served := 0, 0
	for _, k := range r.Kinds {
		asked += k.Requests
		served += k.OnTime + k.Late
	}
	for _, k := range r.Kinds {
		require.Greater(t, 4*float64(k.OnTime+k.Late)/float64(k.Requests), float64(served)/float64(asked), k.Name)
	}
}

// Where all requests have one priority, or no pool has a backlog, the mechanism must change nothing.
func TestClassLoadsChangeNothingWithoutContention(t *testing.T) {
	for name, change := range map[string]func(s *Scenario){
		"calm": func(*Scenario) {},
		"overCapacity": func(s *Scenario) {
			for i := range s.Kinds {
				s.Kinds[i].Priority = 1
			}
		},
	} {
		s, err := LoadScenario(name)
		require.NoError(t, err)
		change(&s)
		s.Seconds = min(s.Seconds, 20)
		played := func(disabled switcher.Disabled) string {
			r := Run(s, 3, disabled)
			r.Disabled = nil
			text, err := json.Marshal(r)
			require.NoError(t, err)
			return string(text)
		}
		require.Equal(t, played(withoutClassLoads(t)), played(switcher.Disabled{}), name)
	}
}
