package forwarder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/locator"
	"geraniumline/registrar"
	"geraniumline/selector"
)

func timingOf(id string) selector.Timing {
	return selector.Timing{Endpoint: registrar.Endpoint{ID: id}, LogRatio: 0.5}
}

func TestTimingsAreReportedForAMoment(t *testing.T) {
	var own timings
	now := time.Now()
	for i := range 3 * maxObservations {
		own.add(timingOf(fmt.Sprint(i)), now)
	}
	report := own.report(now.Add(observationWindow))
	require.Len(t, report, maxObservations)
	require.Equal(t, carrier.EndpointTiming{ID: "383", Sequence: 384, LogRatio: 500}, report[maxObservations-1])
	require.Empty(t, own.report(now.Add(observationWindow+1)))
}

// Guards against counting an observation once per report, and against ignoring a peer that has restarted.
func TestPeersTimingsAreCountedOnce(t *testing.T) {
	var peer, receiver timings
	now := time.Now()
	peer.add(timingOf("a"), now)
	require.Len(t, receiver.unapplied("peer", 1, peer.report(now)), 1)
	require.Empty(t, receiver.unapplied("peer", 1, peer.report(now)))
	peer.add(timingOf("b"), now)
	fresh := receiver.unapplied("peer", 1, peer.report(now))
	require.Len(t, fresh, 1)
	require.Equal(t, "b", fresh[0].ID)
	require.Len(t, receiver.unapplied("other", 1, peer.report(now)), 2)

	var restarted timings
	restarted.add(timingOf("c"), now)
	require.Len(t, receiver.unapplied("peer", 2, restarted.report(now)), 1)
	receiver.forget(func(string) bool { return false })
	require.Empty(t, receiver.applied)
}

// Guards against a slow endpoint that no entry finds because each of them sees it a few times a minute.
func TestEntriesFindASlowEndpointTogether(t *testing.T) {
	const (
		entries, endpoints = 40, 10
		slow               = "i-0000000003"
	)
	m := newMesh(t, entries)
	rnd := rand.New(rand.NewPCG(1, 2))
	all := endpointList(endpoints)
	var ids []string
	for _, c := range all {
		ids = append(ids, c.ID)
	}
	for i := range entries {
		f := m.nodes[fmt.Sprintf("entry-%d", i)]
		f.ReplaceEndpoints(all, locator.At(0, endpoints), m.now)
	}
	m.simulatedTime = true
	parts := []selector.Part{{ID: 1, Tokens: 4000}}
	// Each entry sends a call every four seconds, and sees an endpoint once in 40.
	for range 20 * entries / 4 {
		m.step(100 * time.Millisecond)
		f := m.nodes[fmt.Sprintf("entry-%d", rnd.IntN(entries))]
		id := ids[rnd.IntN(endpoints)]
		others := slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
		choice, found := f.selector.Choose(selector.Query{Service: "geranium-pool", Parts: parts, Exclude: others}, m.now)
		require.True(t, found)
		took := 120 * time.Millisecond
		if id == slow {
			took *= 2
		}
		f.observeFirstEvent(choice, took, m.now)
	}
	m.sendHeartbeats(8)
	for name, f := range m.nodes {
		changes := f.selector.UpdateSpeeds(m.now)
		require.Len(t, changes, 1, name)
		require.Equal(t, slow, changes[0].Endpoint.ID)
		require.True(t, changes[0].Slow)
	}
}
