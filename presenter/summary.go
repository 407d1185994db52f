// Package presenter shows a Status to people: as an HTML page for a browser, and as tables for a terminal.
package presenter

import (
	"cmp"
	"slices"

	"geraniumline/operatorserver"
)

// What a page or a table lists one by one. A large system has thousands of endpoints and client
// accounts; past these the worst are listed and the rest counted. The JSON form has them all.
const (
	maxEndpoints = 200
	maxAccounts  = 200
)

// goodAttainment and fairAttainment are where the colour of an attainment changes.
const (
	goodAttainment = 0.99
	fairAttainment = 0.9
)

// zoneEntries are the entries of one availability zone.
type zoneEntries struct {
	Zone    string
	Entries []operatorserver.EntryStatus
}

// poolEndpoints are the endpoints of one pool.
type poolEndpoints struct {
	Pool     string
	Live     int
	NotLive  int
	InFlight int
	Queued   int
}

// summary is a Status put in order for reading.
type summary struct {
	operatorserver.Status
	Zones          []zoneEntries
	Pools          []poolEndpoints
	Listed         []operatorserver.EndpointStatus
	MoreEndpoints  int
	ListedAccounts []operatorserver.AccountStatus
	MoreAccounts   int
}

func summarise(status operatorserver.Status) summary {
	s := summary{Status: status}
	s.Zones = byZone(status.Entries)
	s.Pools = byPool(status.Endpoints)
	s.Listed, s.MoreEndpoints = firstOf(worstEndpoints(status.Endpoints), maxEndpoints)
	s.ListedAccounts, s.MoreAccounts = firstOf(worstAccounts(status.Accounts), maxAccounts)
	return s
}

func byZone(entries []operatorserver.EntryStatus) []zoneEntries {
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

func byPool(endpoints []operatorserver.EndpointStatus) []poolEndpoints {
	sorted := slices.Clone(endpoints)
	slices.SortStableFunc(sorted, func(a, b operatorserver.EndpointStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	var pools []poolEndpoints
	for _, e := range sorted {
		if len(pools) == 0 || pools[len(pools)-1].Pool != e.Pool {
			pools = append(pools, poolEndpoints{Pool: e.Pool})
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

// worstEndpoints puts those that are not live first, then goes by pool and address.
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

// worstAccounts puts the lowest attainment first.
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
