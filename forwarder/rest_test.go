package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/regulator"
)

// Guards against requests to an endpoint that has turned this entry away and asked it for rest.
func TestAnEndpointGetsTheRestThatItAskedFor(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 11)
	m.listEverywhere("a", "b")
	refuse := func(rest time.Duration) {
		m.nodes["entry-0"].applyNotice(endpointAt("a").Endpoint, regulator.Notice{Rest: rest}, m.now)
	}
	refuse(3 * time.Second)
	refuse(time.Second)
	require.Equal(t, map[string]int{"b": 50}, m.chosenAt("entry-0", 50))
	require.Len(t, m.chosenAt("entry-1", 50), 2, "it asked the other entry only")
	m.now = m.now.Add(3*time.Second - time.Millisecond)
	require.Equal(t, map[string]int{"b": 50}, m.chosenAt("entry-0", 50), "a later refusal does not shorten it")
	m.now = m.now.Add(time.Millisecond)
	require.Len(t, m.chosenAt("entry-0", 50), 2)
}

// Guards against an endpoint that is out of use for good since it has asked for a year by mistake.
func TestATimeOfRestIsBounded(t *testing.T) {
	m, _ := newLossyMesh(t, 2, 12)
	m.listEverywhere("a", "b")
	m.nodes["entry-0"].applyNotice(endpointAt("a").Endpoint, regulator.Notice{Rest: 365 * 24 * time.Hour}, m.now)
	require.Len(t, m.chosenAt("entry-0", 50), 1)
	m.now = m.now.Add(regulator.DefaultMaxRest)
	require.Len(t, m.chosenAt("entry-0", 50), 2)
}
