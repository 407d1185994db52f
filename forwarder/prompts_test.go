package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/registrar"
	"geraniumline/selector"
)

func longPrompt(id uint64) []selector.Part {
	return []selector.Part{{ID: id, Tokens: 4000}, {ID: id + 1, Tokens: 3000}, {ID: id + 2, Tokens: 100}}
}

func TestPlacementsAreReportedForAMoment(t *testing.T) {
	var p prompts
	at := time.Unix(1000, 0)
	choice := selector.Choice{Endpoint: registrar.Endpoint{ID: "a", Started: time.UnixMilli(5)}}
	p.add(&choice, longPrompt(1), at)
	p.add(&choice, []selector.Part{{ID: 9, Tokens: 5000}}, at)
	list := p.report(at.Add(observationWindow))
	require.Len(t, list, 1, "a prompt without shared parts is not reported")
	require.Equal(t, "a", list[0].ID)
	require.Equal(t, int64(5), list[0].StartedMillis)
	require.Equal(t, selector.SharedPrefixes(longPrompt(1)), list[0].Prefixes)
	require.Empty(t, p.report(at.Add(observationWindow+time.Millisecond)))
	for range 2 * maxObservations {
		p.add(&choice, longPrompt(1), at)
	}
	require.Len(t, p.report(at), maxObservations)
}

// Guards against placements of a restarted peer that are dropped, since it numbers them from the start.
func TestPlacementsAreAppliedOnce(t *testing.T) {
	var sender, receiver prompts
	at := time.Unix(1000, 0)
	choice := selector.Choice{Endpoint: registrar.Endpoint{ID: "a"}}
	sender.add(&choice, longPrompt(1), at)
	sender.add(&choice, longPrompt(2), at)
	require.Len(t, receiver.unapplied("peer", 1, sender.report(at)), 2)
	require.Empty(t, receiver.unapplied("peer", 1, sender.report(at)))
	sender.add(&choice, longPrompt(3), at)
	require.Len(t, receiver.unapplied("peer", 1, sender.report(at)), 1)
	var restarted prompts
	restarted.add(&choice, longPrompt(4), at)
	require.Len(t, receiver.unapplied("peer", 2, restarted.report(at)), 1)
	receiver.forget(func(string) bool { return false })
	require.Empty(t, receiver.applied)
}

// Guards against relying on placements that nobody reports: an entry that hears no peers takes prompts for cached at their
// homes.
func TestAnEntryWithoutPeersReliesOnHomes(t *testing.T) {
	m, rnd := newLossyMesh(t, 8, 3)
	run := func(d time.Duration) {
		for end := m.now.Add(d); m.now.Before(end); {
			m.step(tickInterval)
			m.deliver(0.1, rnd)
		}
	}
	run(3 * time.Second)
	require.True(t, m.nodes["entry-0"].selector.PromptsKnown())
	for name := range m.nodes {
		m.cut[name] = name != "entry-0"
	}
	run(4 * time.Second)
	require.False(t, m.nodes["entry-0"].selector.PromptsKnown())
}
