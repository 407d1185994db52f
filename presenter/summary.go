// Package presenter renders a Status for people: as an HTML page for a browser, and as tables for a terminal.
package presenter

import (
	"cmp"
	"slices"

	"geraniumline/operatorserver"
)

// Maximum number of endpoints and client accounts that a page or a table lists. A large system has thousands of
// them; the worst are listed and the rest are only counted. The JSON format contains all of them.
const (
	maxEndpoints = 200
	maxAccounts  = 200
)

// goodAttainment and fairAttainment are the thresholds at which the colour of an attainment changes.
const (
	goodAttainment = 0.99
	fairAttainment = 0.9
)

// zoneEntries holds the entries of one availability zone.
type zoneEntries struct {
	Zone    string
	Entries []operatorserver.EntryStatus
}

// poolTotals counts the endpoints of one pool by state, and their calls in flight and in queue.
type poolTotals struct {
	Pool     string
	Live     int
	NotLive  int
	InFlight int
	Queued   int
}

// summary is a Status with its entries grouped by availability zone, its endpoints totalled by pool, and the worst
// endpoints and accounts.
type summary struct {
	operatorserver.Status
	Zones           []zoneEntries
	Pools           []poolTotals
	ListedEndpoints []operatorserver.EndpointStatus
	MoreEndpoints   int
	ListedAccounts  []operatorserver.AccountStatus
	MoreAccounts    int
}

func summarise(status operatorserver.Status) summary {
	s := summary{Status: status}
	s.Zones = groupByZone(status.Entries)
	s.Pools = totalByPool(status.Endpoints)
	s.ListedEndpoints, s.MoreEndpoints = firstOf(worstEndpoints(status.Endpoints), maxEndpoints)
	s.ListedAccounts, s.MoreAccounts = firstOf(worstAccounts(status.Accounts), maxAccounts)
	return s
}

func groupByZone(entries []operatorserver.EntryStatus) []zoneEntries {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b operatorserver.EntryStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	var zones []zoneEntries
	for _, e := range sorted {
		if len(zones) == 0 || zones[len(zones)-1].Zone != e.Zone {
			zones = append(zones, zoneEntries{Zone: e.Zone})
		}
		last := &zones[len(zones)-1]
		last.Entries = append(last.Entries, e)
	}
	return zones
}

func totalByPool(endpoints []operatorserver.EndpointStatus) []poolTotals {
	sorted := slices.Clone(endpoints)
	slices.SortStableFunc(sorted, func(a, b operatorserver.EndpointStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	var pools []poolTotals
	for _, e := range sorted {
		if len(pools) == 0 || pools[len(pools)-1].Pool != e.Pool {
			pools = append(pools, poolTotals{Pool: e.Pool})
		}
		last := &pools[len(pools)-1]
		last.InFlight += e.InFlight
		last.Queued += e.Queued
		if e.State == operatorserver.EndpointStatusStateLive {
			last.Live++
		} else {
			last.NotLive++
		}
	}
	return pools
}

// worstEndpoints returns the endpoints sorted by liveness, those that are not live first, then by pool and address.
func worstEndpoints(endpoints []operatorserver.EndpointStatus) []operatorserver.EndpointStatus {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b operatorserver.EndpointStatus) int {
		return cmp.Or(
			cmp.Compare(liveness(a), liveness(b)),
			cmp.Compare(a.Pool, b.Pool),
			cmp.Compare(a.Address, b.Address),
		)
	})
	return sorted
}

func liveness(e operatorserver.EndpointStatus) int {
	if e.State == operatorserver.EndpointStatusStateLive {
		return 1
	}
	return 0
}

// worstAccounts returns the accounts sorted by attainment, the lowest first, then by name.
func worstAccounts(accounts []operatorserver.AccountStatus) []operatorserver.AccountStatus {
	sorted := slices.Clone(accounts)
	slices.SortFunc(sorted, func(a, b operatorserver.AccountStatus) int {
		return cmp.Or(cmp.Compare(a.Attainment, b.Attainment), cmp.Compare(a.Account, b.Account))
	})
	return sorted
}

func firstOf[T any](items []T, n int) (first []T, more int) {
	if len(items) <= n {
		return items, 0
	}
	return items[:n], len(items) - n
}
