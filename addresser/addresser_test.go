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

// fleet gives n live members, dealt out over the zones.
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

func TestAnswerSpreadsOverZonesAndEntries(t *testing.T) {
	scenarios := []struct {
		testName       string
		entries, zones int
		// firstBound and primaryBound are the most accounts an entry may have, as a multiple of the mean: as the
		// first address, and as any primary. They are four standard deviations of a fair draw above the mean.
		// An entry of a zone with 2 entries of 7 has more as a primary: 1/2 of the accounts, the mean is 3/7.
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
				answer := a.AddressesFor(account(i), members)
				require.Len(t, answer.Addresses, 5)
				first[answer.Addresses[0].Address]++
				zones := make(map[string]bool)
				for _, x := range answer.Addresses[:3] {
					require.False(t, x.Spare)
					zones[x.Zone] = true
					primary[x.Address]++
				}
				require.Len(t, zones, 3, "primaries are in zones of their own")
				for _, x := range answer.Addresses[3:] {
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

func imbalance(load map[string]int, entries int) float64 {
	sum, most := 0, 0
	for _, n := range load {
		sum += n
		most = max(most, n)
	}
	return float64(most) * float64(entries) / float64(sum)
}

// An entry leaves. Callers whose answer didn't name it must get the same answer as before, in the same order, or
// the caches of all entries would go cold at each restart; the others get one new address at the least.
func TestLeaveMovesOnlyItsOwnAccounts(t *testing.T) {
	for _, entries := range []int{7, 70} {
		t.Run(strconv.Itoa(entries)+" entries", func(t *testing.T) {
			before := fleet(entries, 3)
			after := slices.Clone(before)
			after[4].State = detector.Stopping
			gone := after[4].CallerAddress
			a := newAddresser()
			moved, kept := 0, 0
			for i := range 5000 {
				x, y := a.AddressesFor(account(i), before), a.AddressesFor(account(i), after)
				if slices.ContainsFunc(x.Addresses, func(z Address) bool { return z.Address == gone }) {
					moved++
					kept += common(x, y)
					continue
				}
				require.Equal(t, x, y)
			}
			t.Logf("%d of 5000 accounts named the entry; they keep %.2f of their 4 other addresses", moved, float64(kept)/float64(moved))
			require.Greater(t, float64(kept)/float64(moved), 3.9)
		})
	}
}

func common(x, y AddressList) int {
	n := 0
	for _, z := range x.Addresses {
		if slices.ContainsFunc(y.Addresses, func(o Address) bool { return o.Address == z.Address }) {
			n++
		}
	}
	return n
}

func TestAnswerGivesTheBestStatesThereAre(t *testing.T) {
	live, leaving := detector.Member{State: detector.Live}, detector.Member{State: detector.Live, Leaving: true}
	scenarios := []struct {
		testName string
		members  []detector.Member
		want     []string
	}{
		{"live before all others", []detector.Member{live, leaving, {State: detector.Suspect}, {State: detector.Dead}}, []string{"0"}},
		{"live on a leaving VM before suspects", []detector.Member{leaving, {State: detector.Suspect}}, []string{"0"}},
		{"suspects if there is nothing else", []detector.Member{{State: detector.Suspect}, {State: detector.Dead}}, []string{"0"}},
		{"never stopping, stopped or dead ones", []detector.Member{{State: detector.Stopping}, {State: detector.Stopped}, {State: detector.Dead}}, nil},
		{"nobody", nil, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			for i := range s.members {
				s.members[i].Name, s.members[i].CallerAddress = strconv.Itoa(i), strconv.Itoa(i)
			}
			answer := newAddresser().AddressesFor("wards", s.members)
			var got []string
			for _, x := range answer.Addresses {
				got = append(got, x.Address)
			}
			require.Equal(t, s.want, got)
			require.Equal(t, 30*time.Second, answer.TTL)
		})
	}
}

func BenchmarkAnswer(b *testing.B) {
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
