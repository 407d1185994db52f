package addresser

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/detector"
)

const accounts = 43_000

// fleet returns n live members, assigned to the zones in turn.
func fleet(n, zones int) []detector.Member {
	out := make([]detector.Member, n)
	for i := range out {
		out[i] = detector.Member{
			Name:          "entry-" + strconv.Itoa(i),
			Zone:          "zone-" + strconv.Itoa(i%zones),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			State:         detector.Live,
		}
	}
	return out
}

func account(i int) string { return "club-" + strconv.Itoa(i) }

func newAddresser() *Addresser {
	return New(Config{SubsetSize: 3, Spares: 2, TTL: 30 * time.Second})
}

func TestAddressesSpreadOverZonesAndEntries(t *testing.T) {
	scenarios := []struct {
		testName       string
		entries, zones int
		// firstBound and primaryBound bound the accounts of an entry, as a multiple of the mean: as the first
		// address, and as any primary. They are four standard deviations of a uniform draw above the mean.
		// An entry in a zone with 2 of 7 entries has more as a primary: 1/2 of the accounts, while the mean is 3/7.
		firstBound, primaryBound float64
		spareZone                bool
	}{
		{"7 entries in 3 zones", 7, 3, 1.05, 1.19, false},
		{"70 entries in 3 zones", 70, 3, 1.16, 1.09, false},
		{"70 entries in 10 zones", 70, 10, 1.16, 1.09, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			members := fleet(s.entries, s.zones)
			a := newAddresser()
			first, primary := make(map[string]int), make(map[string]int)
			for i := range accounts {
				list := a.AddressesFor(account(i), members)
				require.Len(t, list.Addresses, 5)
				first[list.Addresses[0].Address]++
				zones := make(map[string]bool)
				for _, x := range list.Addresses[:3] {
					require.False(t, x.Spare)
					zones[x.Zone] = true
					primary[x.Address]++
				}
				require.Len(t, zones, 3, "primaries are in different zones")
				for _, x := range list.Addresses[3:] {
					require.True(t, x.Spare)
					require.Equal(t, s.spareZone, !zones[x.Zone])
				}
			}
			firstRatio, primaryRatio := imbalance(first, s.entries), imbalance(primary, s.entries)
			t.Logf("%d accounts: max/mean %.3f as first address, %.3f as any primary", accounts, firstRatio, primaryRatio)
			require.LessOrEqual(t, firstRatio, s.firstBound)
			require.LessOrEqual(t, primaryRatio, s.primaryBound)
		})
	}
}

// imbalance returns the highest load of an entry as a multiple of the mean.
func imbalance(load map[string]int, entries int) float64 {
	sum, most := 0, 0
	for _, n := range load {
		sum += n
		most = max(most, n)
	}
	return float64(most) * float64(entries) / float64(sum)
}

// An entry leaves. Accounts whose addresses didn't include it must keep the same addresses in the same order, or the
// caches of all entries would go cold at each restart. The other accounts must keep nearly all other addresses.
func TestLeaveMovesOnlyItsOwnAccounts(t *testing.T) {
	for _, entries := range []int{7, 70} {
		t.Run(strconv.Itoa(entries)+" entries", func(t *testing.T) {
			before := fleet(entries, 3)
			after := slices.Clone(before)
			after[4].State = detector.Stopping
			leaver := after[4].CallerAddress
			a := newAddresser()
			moved, kept := 0, 0
			for i := range 5000 {
				x, y := a.AddressesFor(account(i), before), a.AddressesFor(account(i), after)
				if slices.ContainsFunc(x.Addresses, func(z Address) bool { return z.Address == leaver }) {
					moved++
					kept += common(x, y)
					continue
				}
				require.Equal(t, x, y)
			}
			t.Logf("%d of 5000 accounts used the entry; they keep %.2f of their 4 other addresses on average", moved, float64(kept)/float64(moved))
			require.Greater(t, float64(kept)/float64(moved), 3.9)
		})
	}
}

// common counts the addresses that are in both lists.
func common(x, y AddressList) int {
	n := 0
	for _, z := range x.Addresses {
		if slices.ContainsFunc(y.Addresses, func(o Address) bool { return o.Address == z.Address }) {
			n++
		}
	}
	return n
}

func TestMembersInTheBestStateAreUsed(t *testing.T) {
	live, leaving := detector.Member{State: detector.Live}, detector.Member{State: detector.Live, Leaving: true}
	scenarios := []struct {
		testName string
		members  []detector.Member
		want     []string
	}{
		{"live before all others", []detector.Member{live, leaving, {State: detector.Suspect}, {State: detector.Dead}}, []string{"0"}},
		{"live on a leaving VM before suspects", []detector.Member{leaving, {State: detector.Suspect}}, []string{"0"}},
		{"suspects if there is no other member", []detector.Member{{State: detector.Suspect}, {State: detector.Dead}}, []string{"0"}},
		{"never stopping, stopped or dead members", []detector.Member{{State: detector.Stopping}, {State: detector.Stopped}, {State: detector.Dead}}, nil},
		{"no members", nil, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for i := range s.members {
				s.members[i].Name, s.members[i].CallerAddress = strconv.Itoa(i), strconv.Itoa(i)
			}
			list := newAddresser().AddressesFor("wards", s.members)
			var got []string
			for _, x := range list.Addresses {
				got = append(got, x.Address)
			}
			require.Equal(t, s.want, got)
			require.Equal(t, 30*time.Second, list.TTL)
		})
	}
}

func BenchmarkAddressesFor(b *testing.B) {
	for _, n := range []int{7, 50, 200, 2400} {
		members := fleet(n, 3)
		a := newAddresser()
		b.Run(strconv.Itoa(n)+" members", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a.AddressesFor("wards", members)
			}
		})
	}
}
