package pathfinder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	endpointA = "10.0.0.1:80"
	endpointB = "10.0.0.2:80"
	endpointC = "10.0.0.3:80"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against calls that wait for connections one endpoint after the other while all of them are unreachable.
func TestAPartitionIsSuspectedAfterTwoEndpoints(t *testing.T) {
	f := New()
	require.False(t, f.RecordFailed(endpointA, false, at(0)))
	require.False(t, f.PrefersRelay(endpointC, at(0)))
	require.True(t, f.RecordFailed(endpointB, false, at(time.Second)), "the call is relayed")
	require.True(t, f.PrefersRelay(endpointC, at(time.Second)))
	require.False(t, f.Partitioned())
	require.True(t, f.RecordRelayed(endpointB, "peer", at(time.Second)), "a peer reaches what this entry does not")
	require.True(t, f.Partitioned())
	require.False(t, f.RecordRelayed(endpointC, "peer", at(time.Second)))
	require.True(t, f.PrefersRelay(endpointC, at(time.Hour)), "until an endpoint is reached directly")
}

// Guards against an entry that takes endpoints which end one after the other for a failure of its own links.
func TestASuspicionIsCheckedAtAnotherEndpoint(t *testing.T) {
	all := slices.Values([]string{endpointA, endpointB, endpointC})
	f := New()
	f.RecordReached(endpointC, at(0))
	f.RecordFailed(endpointA, true, at(time.Second))
	_, due := f.DueCheck(all, at(time.Second))
	require.False(t, due, "one endpoint is no suspicion")
	f.RecordFailed(endpointB, true, at(time.Second))
	require.True(t, f.Suspect(at(time.Second)))
	address, due := f.DueCheck(all, at(time.Second))
	require.True(t, due)
	require.Equal(t, endpointC, address)
	_, due = f.DueCheck(all, at(time.Second+checkInterval-1))
	require.False(t, due, "not at once again")
	_, due = f.DueCheck(all, at(time.Second+checkInterval))
	require.True(t, due)
	f.RecordReached(endpointC, at(time.Second+checkInterval))
	require.False(t, f.Suspect(at(time.Second+checkInterval)))
	require.True(t, f.Proven(at(time.Second+checkInterval)))
}

// Guards against an entry that is partitioned while its open connections still work, and takes that for a sign that its
// links work.
func TestAFailedCheckLeavesTheSuspicion(t *testing.T) {
	all := slices.Values([]string{endpointA, endpointB, endpointC})
	f := New()
	f.RecordFailed(endpointA, true, at(0))
	f.RecordFailed(endpointB, true, at(0))
	address, due := f.DueCheck(all, at(0))
	require.True(t, due)
	f.RecordAnswered(address, at(0))
	require.True(t, f.Suspect(at(0)))
	f.RecordFailed(address, true, at(0))
	require.True(t, f.Suspect(at(0)))
	_, due = f.DueCheck(all, at(checkInterval))
	require.False(t, due, "no endpoint is left to check")
	f.RecordRelayed(endpointA, "peer", at(checkInterval))
	require.True(t, f.Partitioned())
	_, due = f.DueCheck(slices.Values([]string{"10.0.0.4:80"}), at(time.Second))
	require.False(t, due, "a partition is probed, not checked")
}

// Guards against relaying all calls because a single endpoint has ended.
func TestOneUnreachableEndpointIsNoPartition(t *testing.T) {
	f := New()
	require.False(t, f.RecordFailed(endpointA, false, at(0)))
	for i := range 10 {
		require.True(t, f.RecordFailed(endpointA, false, at(time.Duration(i)*time.Second)), "a peer may reach it")
		require.False(t, f.PrefersRelay(endpointB, at(time.Duration(i)*time.Second)))
	}
	f.RecordDown(endpointA)
	require.False(t, f.RecordFailed(endpointA, false, at(10*time.Second)))
}

// Guards against taking endpoints that end at different times for a partition.
func TestOldFailuresAreNoEvidence(t *testing.T) {
	f := New()
	f.RecordFailed(endpointA, false, at(0))
	require.False(t, f.RecordFailed(endpointB, false, at(failureTTL)))
	f.RecordReached(endpointC, at(failureTTL+time.Millisecond))
	require.False(t, f.RecordFailed(endpointA, false, at(failureTTL+2*time.Millisecond)), "one failure since an endpoint was reached")
}

// Guards against relaying calls to an endpoint that has ended again and again.
func TestAnEndpointThatPeersDoNotReachIsDown(t *testing.T) {
	f := New()
	require.True(t, f.RecordFailed(endpointA, true, at(0)), "a peer answers for a refused connection at once")
	f.RecordDown(endpointA)
	require.False(t, f.RecordFailed(endpointB, false, at(0)))
	require.False(t, f.Suspect(at(0)))
}

// Guards against waiting for connections to an endpoint that only peers reach, and against relaying calls to others.
func TestAnEndpointThatOnlyPeersReachGetsADetour(t *testing.T) {
	f := New()
	require.True(t, f.RecordFailed(endpointA, true, at(0)))
	require.False(t, f.RecordRelayed(endpointA, "peer", at(0)))
	f.RecordReached(endpointB, at(time.Millisecond))
	require.True(t, f.PrefersRelay(endpointA, at(time.Second)))
	require.False(t, f.PrefersRelay(endpointB, at(time.Second)))
	address, due := f.DueProbe(at(time.Second))
	require.True(t, due)
	require.Equal(t, endpointA, address)
	f.RecordReached(endpointA, at(time.Second))
	require.False(t, f.PrefersRelay(endpointA, at(time.Second)))
}

// Guards against calls that stay relayed after the partition has ended.
func TestProbesEndAPartition(t *testing.T) {
	f := New()
	f.RecordFailed(endpointA, false, at(0))
	f.RecordFailed(endpointB, false, at(0))
	f.RecordRelayed(endpointB, "peer", at(0))
	f.RecordRelayed(endpointC, "peer", at(0))
	probed := make(map[string]int)
	now := at(0)
	for ; now.Before(at(10 * probeInterval)); now = now.Add(probeInterval / 10) {
		if address, due := f.DueProbe(now); due {
			probed[address]++
			f.RecordFailed(address, false, now)
		}
	}
	require.Equal(t, map[string]int{endpointB: 5, endpointC: 5}, probed)
	require.True(t, f.RecordReached(endpointC, now))
	require.False(t, f.PrefersRelay(endpointC, now))
	require.True(t, f.PrefersRelay(endpointB, now), "until it is reached itself")
}

// Guards against endpoints that are gone and keep being probed.
func TestUnusedDetoursExpire(t *testing.T) {
	f := New()
	f.RecordFailed(endpointA, true, at(0))
	f.RecordRelayed(endpointA, "peer", at(0))
	_, due := f.DueProbe(at(detourTTL))
	require.False(t, due)
	require.Zero(t, f.Detours())
}

// Guards against calling an endpoint down on the word of an entry that may be partitioned itself.
func TestOnlyAnEntryThatReachesEndpointsIsProven(t *testing.T) {
	f := New()
	require.False(t, f.Proven(at(0)))
	f.RecordReached(endpointA, at(0))
	require.True(t, f.Proven(at(provenFor-1)))
	require.False(t, f.Proven(at(provenFor)))
	f.RecordReached(endpointA, at(provenFor))
	f.RecordFailed(endpointB, false, at(provenFor+1))
	require.True(t, f.Proven(at(provenFor+1)))
	f.RecordFailed(endpointC, false, at(provenFor+1))
	require.False(t, f.Proven(at(provenFor+1)))
}

// Guards against calls that find no relay because a whole availability zone is partitioned.
func TestRelaysAreFoundWhileMostPeersArePartitioned(t *testing.T) {
	for _, size := range []int{6, 60, 600} {
		var peers []Relay
		for i := range size {
			peers = append(peers, Relay{Address: fmt.Sprint(i), Zone: fmt.Sprint("zone-", i%3)})
		}
		// works reports whether a peer is not partitioned: two in three are, among them all of this entry's zone.
		works := func(p Relay) bool { return p.Zone == "zone-2" }
		f, random := New(), rand.New(rand.NewPCG(1, 1))
		used := make(map[string]int)
		failed := 0
		for call := range 100 {
			now := at(time.Duration(call) * 200 * time.Millisecond)
			found := false
			for attempt := 0; attempt < 3 && !found; attempt++ {
				p, ok := f.ChooseRelay(peers, "zone-0", attempt > 0, random, now)
				require.True(t, ok)
				if works(p) {
					f.RecordRelayed(endpointA, p.Address, now)
					used[p.Address]++
					found = true
				} else {
					f.RecordRelayFailed(p, now)
				}
			}
			if !found {
				failed++
			}
		}
		require.LessOrEqual(t, failed, 1, "%d peers", size)
		require.GreaterOrEqual(t, len(used), min(fewRelays, size/3), "%d peers", size)
	}
}

func TestNoRelayIsAskedTwiceForACall(t *testing.T) {
	f, random := New(), rand.New(rand.NewPCG(1, 1))
	peers := []Relay{{Address: "a", Zone: "z"}, {Address: "b", Zone: "z"}}
	asked := make(map[string]bool)
	for range peers {
		p, found := f.ChooseRelay(peers, "z", len(asked) > 0, random, at(0))
		require.True(t, found)
		asked[p.Address] = true
		f.RecordRelayFailed(p, at(0))
	}
	require.Len(t, asked, 2)
	_, found := f.ChooseRelay(peers, "z", true, random, at(relayPause-1))
	require.False(t, found)
	_, found = f.ChooseRelay(peers, "z", true, random, at(relayPause))
	require.True(t, found)
}
