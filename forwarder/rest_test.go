package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/regulator"
)

// Guards against requests to an endpoint that has refused this entry and asked it for a rest period.
func TestAnEndpointGetsTheRestThatItAskedFor(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 11)
	m.setEndpoints("a", "b")
	refuse := func(rest time.Duration) {
		m.nodes["entry-0"].applyNotice(endpointChange("a").Endpoint, regulator.Notice{Rest: rest}, m.now)
	}
	refuse(3 * time.Second)
	refuse(time.Second)
	require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50))
	require.Len(t, m.countChosen("entry-1", 50), 2, "the notice applies to one entry only")
	m.now = m.now.Add(3*time.Second - time.Millisecond)
	require.Equal(t, map[string]int{"b": 50}, m.countChosen("entry-0", 50), "a later refusal does not shorten it")
	m.now = m.now.Add(time.Millisecond)
	require.Len(t, m.countChosen("entry-0", 50), 2)
}

// Guards against an endpoint that stays out of use because it mistakenly asked for a rest period of a year.
func TestATimeOfRestIsBounded(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 12)
	m.setEndpoints("a", "b")
	m.nodes["entry-0"].applyNotice(endpointChange("a").Endpoint, regulator.Notice{Rest: 365 * 24 * time.Hour}, m.now)
	require.Len(t, m.countChosen("entry-0", 50), 1)
	m.now = m.now.Add(regulator.DefaultMaxRest)
	require.Len(t, m.countChosen("entry-0", 50), 2)
}
