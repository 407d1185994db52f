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

const testAddress = "10.0.0.1:80"

func newRouter(vms ...router.VM) *router.Router {
	r := router.New(router.Config{Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetPool("engines", slots, true)
	r.UpdateVMs(vms, start)
	return r
}

func testVM(leaving bool) router.VM {
	return router.VM{Address: testAddress, Pool: "engines", Leaving: leaving}
}

func after(d time.Duration) time.Time { return start.Add(d) }

// Guards against a leaving endpoint that still receives calls, whichever source reported it. Later
// VMs reuse the address, so each sign must be cleared by evidence of its own kind and not by an
// older report. A flag that remained attached to the address would keep the new VM idle forever.
func TestLeavingEndpoint(t *testing.T) {
	peerReports := func(r *router.Router, leaving bool, now time.Time) {
		r.UpdatePeerLoads("peer", []carrier.EndpointLoad{{Address: testAddress, Leaving: leaving}}, now)
	}
	tests := []struct {
		testName string
		steps    func(r *router.Router)
		free     bool
	}{
		{"marked in the list", func(r *router.Router) { r.UpdateVMs([]router.VM{testVM(true)}, after(1)) }, false},
		{"shown as live in the list again", func(r *router.Router) {
			r.UpdateVMs([]router.VM{testVM(true)}, after(1))
			r.UpdateVMs([]router.VM{testVM(false)}, after(2))
		}, true},
		{"refused as leaving, the list lags", func(r *router.Router) {
			r.CallEnded(testAddress, router.CallEnd{Result: router.RefusedLeaving}, after(1))
			r.UpdateVMs([]router.VM{testVM(false)}, after(2))
		}, false},
		{"refused as leaving, then an older report", func(r *router.Router) {
			r.CallEnded(testAddress, router.CallEnd{Result: router.RefusedLeaving}, after(time.Second))
			r.UpdateLoad(testAddress, router.LoadReport{AsOf: after(0)}, after(3*time.Second))
		}, false},
		{"refused as leaving, then a later report of a new VM", func(r *router.Router) {
			r.CallEnded(testAddress, router.CallEnd{Result: router.RefusedLeaving}, after(time.Second))
			r.UpdateLoad(testAddress, router.LoadReport{AsOf: after(3 * time.Second)}, after(4*time.Second))
		}, true},
		{"reported by a peer", func(r *router.Router) { peerReports(r, true, after(1)) }, false},
		{"no longer reported by the peer", func(r *router.Router) {
			peerReports(r, true, after(1))
			peerReports(r, false, after(2))
		}, true},
		{"reporting peer is removed", func(r *router.Router) {
			peerReports(r, true, after(1))
			r.RemovePeer("peer")
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			r := newRouter(testVM(false))
			tt.steps(r)
			require.Equal(t, tt.free, r.HasFree("engines", after(5*time.Second)))
		})
	}
	t.Run("a peer's report is not forwarded", func(t *testing.T) {
		r := newRouter(testVM(false))
		peerReports(r, true, after(1))
		require.Empty(t, r.LocalLoads(after(2)))
	})
}

// The VM list lags and may omit a live VM. An endpoint must be removed only if it shows no sign of
// life itself.
func TestRemovesSilentEndpoint(t *testing.T) {
	r := newRouter(testVM(false))
	r.UpdateLoad(testAddress, router.LoadReport{AsOf: after(8 * time.Second)}, after(8*time.Second))
	r.UpdateVMs(nil, after(12*time.Second))
	require.Len(t, r.Endpoints(start), 1)
	r.UpdateVMs(nil, after(19*time.Second))
	require.Empty(t, r.Endpoints(start))
	require.False(t, r.HasFree("engines", after(19*time.Second)))
	require.Zero(t, r.Capacity("engines", 1, start))
}

// An endpoint's process dies while no call is in flight, and the next request for its load is
// refused. The endpoint must be shown as ejected and receive no calls at once, and be probed when
// it answers again.
func TestRefusedLoadRequestEjects(t *testing.T) {
	other := router.VM{Address: "10.0.0.2:80", Pool: "engines"}
	r := newRouter(testVM(false), other)
	require.True(t, r.MarkUnreachable(testAddress, after(time.Second)))
	require.False(t, r.MarkUnreachable(testAddress, after(2*time.Second)), "the ejection is reported once")
	require.Equal(t, "ejected", r.Endpoints(after(2 * time.Second))[0].State)
	for range 20 {
		address, found := r.Choose(router.Query{Pool: "engines", NoProbe: true}, after(2*time.Second))
		require.True(t, found)
		require.Equal(t, other.Address, address)
	}
	r.UpdateLoad(testAddress, router.LoadReport{AsOf: after(3 * time.Second)}, after(3*time.Second))
	require.Equal(t, "probing", r.Endpoints(after(3 * time.Second))[0].State)
	address, found := r.Choose(router.Query{Pool: "engines"}, after(3*time.Second))
	require.True(t, found)
	require.Equal(t, testAddress, address)
}

// Cache events arrive late and with gaps. Without a gap, a prompt is sent to the endpoint that
// holds its prefix, in preference to endpoints with as many calls. After a gap the cache is
// unknown, and the prompt must still be sent to some endpoint.
func TestCacheEventsWithGap(t *testing.T) {
	prompt := fmt.Sprintf("%0640d", 7)
	stored := func(seq int64) []router.CacheEvent {
		return []router.CacheEvent{{Seq: seq, Kind: router.CacheStored, Hash: xxhash.Sum64String(prompt[:512])}}
	}
	var vms []router.VM
	for i := range 10 {
		vms = append(vms, router.VM{Address: address(i), Pool: "engines"})
	}
	countChoices := func(sendEvents func(*router.Router, string)) map[string]int {
		r := newRouter(vms...)
		for i := range 10 {
			sendEvents(r, address(i))
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
	withEvents := countChoices(func(r *router.Router, a string) {
		if a == holder {
			r.ApplyCacheEvents(a, stored(0), 1, start)
		}
	})
	withoutEvents := countChoices(func(*router.Router, string) {})
	withGap := countChoices(func(r *router.Router, a string) {
		if a == holder {
			r.ApplyCacheEvents(a, stored(0), 1, start)
			r.ApplyCacheEvents(a, nil, 5, start)
		}
	})
	require.Greater(t, withEvents[holder], withoutEvents[holder]+30)
	require.Equal(t, withoutEvents, withGap)
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

// routeCall makes all decisions for one call: it chooses an endpoint and records the start and the
// end of the call.
func routeCall(r *router.Router, query *router.Query, now time.Time) {
	chosen, found := r.Choose(*query, now)
	if !found {
		return
	}
	r.CallStarted(chosen, &query.Prefix, now)
	r.CallEnded(chosen, router.CallEnd{Result: router.Succeeded, Duration: time.Second, Expected: time.Second}, now)
}

// The decisions for a call must not allocate, whatever the size of the pool.
func TestDecisionsDoNotAllocate(t *testing.T) {
	for _, n := range []int{50, 10000} {
		r, addresses := benchmarkRouter(n)
		query := &router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1))}
		now := start
		var loads []carrier.EndpointLoad
		for i := range 50 {
			loads = append(loads, carrier.EndpointLoad{Address: addresses[i], InFlight: 2})
		}
		step := func() {
			now = now.Add(time.Millisecond)
			routeCall(r, query, now)
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
			query := &router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1))}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				routeCall(r, query, now)
			}
		})
	}
}

// A third of the pool refuses connections and is ejected.
func BenchmarkDecideWithThirdOut(b *testing.B) {
	for _, n := range []int{50, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, addresses := benchmarkRouter(n)
			now := start
			for _, a := range addresses[:n/3] {
				now = now.Add(time.Millisecond)
				r.CallEnded(a, router.CallEnd{Result: router.Unreachable}, now)
			}
			query := &router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1)), NoProbe: true}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				routeCall(r, query, now)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, _ := benchmarkRouter(n)
			query := router.Query{Pool: "engines", Prefix: router.PrefixOf(fmt.Sprintf("%03000d", 1))}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = r.Choose(query, start)
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

// A heartbeat lists the endpoints at which its sender has calls: 50 of them, in pools of any size.
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
