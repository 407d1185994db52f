package divider

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/registrar"
)

// endpoints returns the given number of endpoints of the service in each zone.
func endpoints(service string, inZone ...int) []*registrar.Endpoint {
	var list []*registrar.Endpoint
	for zone, n := range inZone {
		for i := range n {
			list = append(list, &registrar.Endpoint{ID: fmt.Sprint(zone, "-", i), Service: service, Zone: fmt.Sprintf("z%d", zone)})
		}
	}
	return list
}

func idle(Pool) time.Duration { return 0 }

func TestPoolNamesRoundTrip(t *testing.T) {
	for _, p := range []Pool{{Service: "encode"}, {Service: "encode", Zone: "z0"}, {Service: "a@b"}, {Service: "a@b", Zone: "z0"}, {Service: "a%40b+c"}} {
		require.Equal(t, p, Parse(p.String()))
	}
	require.Equal(t, Pool{Service: "%zz"}, Parse("%zz"))
}

func FuzzParse(f *testing.F) {
	f.Add("encode", "z0")
	f.Fuzz(func(t *testing.T, service, zone string) {
		p := Pool{Service: service, Zone: zone}
		require.Equal(t, p, Parse(p.String()))
	})
}

func TestLargeServicesAreDividedByZones(t *testing.T) {
	d := New()
	setEndpoints := func(inZone ...int) int {
		list := endpoints("s", inZone...)
		d.SetEndpoints(list, list)
		return len(d.Pools("s"))
	}
	require.Equal(t, 1, setEndpoints(6, 6, 6))
	require.Equal(t, 1, setEndpoints(divideThreshold+1), "one zone")
	require.Equal(t, 1, setEndpoints(divideThreshold, minZoneEndpoints-1), "a zone with few endpoints")
	require.Equal(t, 3, setEndpoints(divideThreshold/3, divideThreshold/3, divideThreshold/3))
	require.Equal(t, 3, setEndpoints(divideThreshold/3-1, divideThreshold/3, divideThreshold/3), "one endpoint that leaves does not join the pools")
	require.Equal(t, 1, setEndpoints(2, 2, joinThreshold-5))
	d.MarkDivided("s")
	require.Equal(t, 1, setEndpoints(2, 2, joinThreshold-5), "a peer's report does not divide a small service")
	require.Equal(t, 1, setEndpoints(joinThreshold/3, joinThreshold/3, joinThreshold/3))
	d.MarkDivided("s")
	require.Equal(t, 3, setEndpoints(joinThreshold/3, joinThreshold/3, joinThreshold/3), "a peer reported it as divided")
	require.Equal(t, []Pool{{Service: "other"}}, d.Pools("other"))
}

// One zone is evacuated and receives no work. The pools of the other zones must not change: otherwise all waiting pieces
// would move to another entry just when capacity is lowest.
func TestAnEvacuationKeepsOtherZones(t *testing.T) {
	d := New()
	all := endpoints("s", 20, 20, 20)
	d.SetEndpoints(all, all[20:])
	require.Equal(t, []Pool{{"s", "z1"}, {"s", "z2"}}, d.Pools("s"))
	for draw := range uint64(100) {
		require.NotEqual(t, "z0", d.Choose(Query{Service: "s", Seed: draw, PreferredZone: "z0"}, idle).Zone)
	}
}

// Requests are distributed in proportion to the zones' endpoints, and the stages of one request run in the same zone if each
// has endpoints there.
func TestWorkIsProportionalToEndpoints(t *testing.T) {
	d := New()
	all := append(endpoints("first", 24, 12, 12), endpoints("second", 40, 20, 20)...)
	d.SetEndpoints(all, all)
	byZone := make(map[string]int)
	const draws = 10_000
	for draw := range uint64(draws) {
		first := d.Choose(Query{Service: "first", Seed: draw}, idle)
		require.Equal(t, first.Zone, d.Choose(Query{Service: "second", Seed: draw}, idle).Zone)
		byZone[first.Zone]++
	}
	require.InDelta(t, draws/2, byZone["z0"], draws/50)
	require.InDelta(t, draws/4, byZone["z1"], draws/50)
	require.Equal(t, "z2", d.Choose(Query{Service: "first", PreferredZone: "z2"}, idle).Zone)
}

// A request may be processed in only one zone, whose pool is loaded. It must still wait there.
func TestPiecesStayInAllowedZones(t *testing.T) {
	d := New()
	all := endpoints("s", 20, 20, 20)
	d.SetEndpoints(all, all)
	busy := func(p Pool) time.Duration {
		if p.Zone == "z1" {
			return time.Second
		}
		return 0
	}
	for draw := range uint64(50) {
		query := Query{Service: "s", Seed: draw, PreferredZone: "z0", ZoneAllowed: func(zone string) bool { return zone == "z1" }}
		require.Equal(t, "z1", d.Choose(query, busy).Zone)
	}
	require.Equal(t, Pool{Service: "s"}, d.Choose(Query{Service: "s", ZoneAllowed: func(string) bool { return false }}, idle))
}

// One zone has lost endpoints and its queue grows. New pieces go to the other zones only once its wait is longer by more than
// MaxExtraWait.
func TestAnOverloadedZoneIsAvoided(t *testing.T) {
	d := New()
	all := endpoints("s", 20, 20, 20)
	d.SetEndpoints(all, all)
	queue := time.Duration(0)
	wait := func(p Pool) time.Duration {
		if p.Zone == "z0" {
			return queue
		}
		return 0
	}
	query := Query{Service: "s", PreferredZone: "z0", MaxExtraWait: 100 * time.Millisecond}
	queue = 100 * time.Millisecond
	require.Equal(t, "z0", d.Choose(query, wait).Zone)
	queue = 101 * time.Millisecond
	require.NotEqual(t, "z0", d.Choose(query, wait).Zone)
}
