package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/router"
)

const target = "10.0.0.1:80"

func newRouter(vms ...router.VM) *router.Router {
	r := router.New(router.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetPool("engines", slots, true)
	r.UpdateVMs(vms, start)
	return r
}

func listed(leaving bool) router.VM {
	return router.VM{Address: target, Pool: "engines", Leaving: leaving}
}

func at(d time.Duration) time.Time { return start.Add(d) }

// An endpoint that leaves gets no call from the first sign on, whoever gives it. A later VM gets the same
// address. The sign must end with evidence of its own kind, and not with an older word: a mark that stuck
// to the address would keep the new VM idle for ever.
func TestLeaving(t *testing.T) {
	peerSays := func(r *router.Router, leaving bool, now time.Time) {
		r.UpdatePeerLoads("peer", []carrier.EndpointLoad{{Address: target, Leaving: leaving}}, now)
	}
	tests := []struct {
		testName string
		steps    func(r *router.Router)
		free     bool
	}{
		{"list says so", func(r *router.Router) { r.UpdateVMs([]router.VM{listed(true)}, at(1)) }, false},
		{"list calls it live again", func(r *router.Router) {
			r.UpdateVMs([]router.VM{listed(true)}, at(1))
			r.UpdateVMs([]router.VM{listed(false)}, at(2))
		}, true},
		{"own refusal, the list lags", func(r *router.Router) {
			r.CallEnded(target, router.CallEnd{Result: router.RefusedLeaving}, at(1))
			r.UpdateVMs([]router.VM{listed(false)}, at(2))
		}, false},
		{"own refusal, then an older report", func(r *router.Router) {
			r.CallEnded(target, router.CallEnd{Result: router.RefusedLeaving}, at(time.Second))
			r.UpdateLoad(target, router.LoadReport{AsOf: at(0)}, at(3*time.Second))
		}, false},
		{"own refusal, then a later report of a new VM", func(r *router.Router) {
			r.CallEnded(target, router.CallEnd{Result: router.RefusedLeaving}, at(time.Second))
			r.UpdateLoad(target, router.LoadReport{AsOf: at(3 * time.Second)}, at(4*time.Second))
		}, true},
		{"a peer's word", func(r *router.Router) { peerSays(r, true, at(1)) }, false},
		{"a peer's word is taken back", func(r *router.Router) {
			peerSays(r, true, at(1))
			peerSays(r, false, at(2))
		}, true},
		{"a peer dies with its word", func(r *router.Router) {
			peerSays(r, true, at(1))
			r.RemovePeer("peer")
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			r := newRouter(listed(false))
			tt.steps(r)
			require.Equal(t, tt.free, r.HasFree("engines", at(5*time.Second)))
		})
	}
	t.Run("a peer's word is not told on", func(t *testing.T) {
		r := newRouter(listed(false))
		peerSays(r, true, at(1))
		require.Empty(t, r.LocalLoads(at(2)))
	})
}

// The list of VMs lags and may lack one that lives. It is forgotten only when it gives no sign itself.
func TestForgetsOnEvidence(t *testing.T) {
	r := newRouter(listed(false))
	r.UpdateLoad(target, router.LoadReport{AsOf: at(8 * time.Second)}, at(8*time.Second))
	r.UpdateVMs(nil, at(12*time.Second))
	require.Len(t, r.Endpoints(start), 1)
	r.UpdateVMs(nil, at(19*time.Second))
	require.Empty(t, r.Endpoints(start))
	require.False(t, r.HasFree("engines", at(19*time.Second)))
	require.Zero(t, r.Capacity("engines", 1, start))
}

// An endpoint's process dies while no call is in flight. The next question for its load is refused: it must be shown
// as out of use and get no call at once, and be tried again when it answers.
func TestRefusedQuestionEjects(t *testing.T) {
	other := router.VM{Address: "10.0.0.2:80", Pool: "engines"}
	r := newRouter(listed(false), other)
	require.True(t, r.MarkUnreachable(target, at(time.Second)))
	require.False(t, r.MarkUnreachable(target, at(2*time.Second)), "told once")
	require.Equal(t, "ejected", r.Endpoints(at(2 * time.Second))[0].State)
	for range 20 {
		address, found := r.Choose(router.Query{Pool: "engines", NoProbe: true}, at(2*time.Second))
		require.True(t, found)
		require.Equal(t, other.Address, address)
	}
	r.UpdateLoad(target, router.LoadReport{AsOf: at(3 * time.Second)}, at(3*time.Second))
	require.Equal(t, "probing", r.Endpoints(at(3 * time.Second))[0].State)
	address, found := r.Choose(router.Query{Pool: "engines"}, at(3*time.Second))
	require.True(t, found)
	require.Equal(t, target, address)
}

// Cache events come late and with gaps. Without a gap a prompt goes where its prefix is, past an endpoint
// with as many calls; after a gap nothing is known and it goes anywhere, but it goes.
func TestCacheEventsWithGap(t *testing.T) {
	prompt := fmt.Sprintf("%0640d", 7)
	stored := func(seq int64) []router.CacheEvent {
		return []router.CacheEvent{{Seq: seq, Kind: router.CacheStored, Hash: xxhash.Sum64String(prompt[:512])}}
	}
	var vms []router.VM
	for i := range 10 {
		vms = append(vms, router.VM{Address: address(i), Pool: "engines"})
	}
	share := func(feed func(*router.Router, string)) map[string]int {
		r := newRouter(vms...)
		for i := range 10 {
			feed(r, address(i))
		}
		counts := map[string]int{}
		for range 200 {
			chosen, found := r.Choose(router.Query{Pool: "engines", Prefix: router.PrefixOf(prompt)}, start)
			require.True(t, found)
			counts[chosen]++
		}
		return counts
	}
	holder := address(3)
	whole := share(func(r *router.Router, a string) {
		if a == holder {
			r.ApplyCacheEvents(a, stored(0), 1, start)
		}
	})
	none := share(func(*router.Router, string) {})
	gap := share(func(r *router.Router, a string) {
		if a == holder {
			r.ApplyCacheEvents(a, stored(0), 1, start)
			r.ApplyCacheEvents(a, nil, 5, start)
		}
	})
	require.Greater(t, whole[holder], none[holder]+30)
	require.Equal(t, none, gap)
}

func benchmarkRouter(n int) (*router.Router, []string) {
	r := router.New(router.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetPool("engines", slots, true)
	r.SetEntries(0, entryCount)
	var vms []router.VM
	var addresses []string
	for i := range n {
		vm := router.VM{Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Pool: "engines"}
		vms = append(vms, vm)
		addresses = append(addresses, vm.Address)
	}
	r.UpdateVMs(vms, start)
	return r, addresses
}

// decide is one call's decisions: where, that it began and that it ended.
func decide(r *router.Router, ask *router.Query, now time.Time) {
	chosen, found := r.Choose(*ask, now)
	if !found {
		return
	}
	r.CallStarted(chosen, &ask.Prefix, now)
	r.CallEnded(chosen, router.CallEnd{Result: router.Succeeded, Duration: time.Second, Expected: time.Second}, now)
}

// The decisions of a call allocate nothing, at any size.
func TestDecisionsDoNotAllocate(t *testing.T) {
	for _, n := range []int{50, 10000} {
		r, addresses := benchmarkRouter(n)
		ask := &router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1))}
		now := start
		var loads []carrier.EndpointLoad
		for i := range 50 {
			loads = append(loads, carrier.EndpointLoad{Address: addresses[i], InFlight: 2})
		}
		step := func() {
			now = now.Add(time.Millisecond)
			decide(r, ask, now)
			r.UpdatePeerLoads("peer", loads, now)
			r.UpdateLoad(addresses[0], router.LoadReport{AsOf: now, Running: 2, Slots: slots}, now)
		}
		for range 1000 {
			step()
		}
		require.Zero(t, testing.AllocsPerRun(1000, step))
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{50, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, _ := benchmarkRouter(n)
			ask := &router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1))}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				decide(r, ask, now)
			}
		})
	}
}

// A third of the pool refuses connections and is out.
func BenchmarkDecideWithThirdOut(b *testing.B) {
	for _, n := range []int{50, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, addresses := benchmarkRouter(n)
			now := start
			for _, a := range addresses[:n/3] {
				now = now.Add(time.Millisecond)
				r.CallEnded(a, router.CallEnd{Result: router.Unreachable}, now)
			}
			ask := &router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1)), NoProbe: true}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				decide(r, ask, now)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, _ := benchmarkRouter(n)
			ask := router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1))}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = r.Choose(ask, start)
			}
		})
	}
}

func BenchmarkPrefixOf(b *testing.B) {
	prompt := fmt.Sprintf("%04096d", 1)
	b.ReportAllocs()
	for b.Loop() {
		_ = router.PrefixOf(prompt)
	}
}

// A heartbeat names the endpoints that its sender has calls at: 50, in pools of any size.
func BenchmarkPeerLoads50(b *testing.B) {
	for _, n := range []int{50, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, addresses := benchmarkRouter(n)
			var loads []carrier.EndpointLoad
			for i := range 50 {
				loads = append(loads, carrier.EndpointLoad{Address: addresses[i], InFlight: 2})
			}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r.UpdatePeerLoads("peer", loads, now)
			}
		})
	}
}
