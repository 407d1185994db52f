package measurer_test

import (
	"testing"
	"time"

	"geraniumline/measurer"
	"geraniumline/scheduler"
)

var siteSeeds = []uint64{1, 2, 3}

// The windows of a site trial: requests that arrive in them are counted, and the rest of
// the run lets them end.
const (
	siteFrom = 30 * time.Second
	siteTo   = 150 * time.Second
	siteEnd  = 175 * time.Second
)

const normalDeadline = 6 * time.Second

// contracts are the accounts of the trials and their weights.
var contracts = []struct {
	account string
	weight  float64
}{{"large", 10}, {"middle1", 5}, {"middle2", 5}, {"middle3", 5}, {"small", 1}}

func contractWeights() float64 {
	total := 0.0
	for _, c := range contracts {
		total += c.weight
	}
	return total
}

// contractLoad lets each account send a number of times its share of the capacity.
func contractLoad(times func(account string) float64) []callers {
	var load []callers
	for _, c := range contracts {
		perSecond := times(c.account) * c.weight / contractWeights() * siteCapacity()
		load = append(load, callers{
			account: c.account, weight: c.weight, urgency: scheduler.Normal, deadline: normalDeadline,
			perSecond: func(time.Duration) float64 { return perSecond },
		})
	}
	return load
}

// way is a dispatcher under trial by its name in the table.
type way struct {
	name string
	make func() dispatcher
}

// The queue bound of the refusing baseline is tuned to this pipeline by hand: about 2 s of
// work of its narrowest pool.
const tunedBound = 80

var (
	oursWay  = way{"ours", func() dispatcher { return newPolicy() }}
	fifoWay  = way{"firstCome", func() dispatcher { return newFirstCome(0) }}
	boundWay = way{"firstComeBound", func() dispatcher { return newFirstCome(tunedBound) }}
	fairWay  = way{"fairNoRefusal", func() dispatcher {
		p := newPolicy()
		p.admitAll = true
		return p
	}}
)

func runSites(w way, load []callers) []*site {
	var sites []*site
	for _, seed := range siteSeeds {
		s := newSite(w.make(), seed, load)
		s.clock.runTo(siteFrom)
		s.idle, s.idleBacklog = 0, 0
		s.clock.runTo(siteTo)
		s.measure()
		s.idleUntil = s.idle
		s.clock.runTo(siteEnd)
		sites = append(sites, s)
	}
	return sites
}

// mean is the mean of a figure over the seeds' runs.
func mean(sites []*site, read func(s *site) float64) float64 {
	total := 0.0
	for _, s := range sites {
		total += read(s)
	}
	return total / float64(len(sites))
}

func attainmentOf(account string) func(s *site) float64 {
	return func(s *site) float64 { return s.tally(siteFrom, siteTo, account).attainment() }
}

// jain is Jain's index over the accounts' answered requests by weight: 1 is fair.
func jain(s *site) float64 {
	sum, squares := 0.0, 0.0
	for _, c := range contracts {
		x := float64(s.tally(siteFrom, siteTo, c.account).inTime) / c.weight
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / float64(len(contracts)) / squares
}

func idlePart(s *site) float64 {
	return s.idleUntil / (siteTo - siteFrom).Seconds() / float64(pipeline[bottleneck].slots)
}

func idleBacklogPart(s *site) float64 {
	return s.idleBacklog / (siteEnd - siteFrom).Seconds() / float64(pipeline[bottleneck].slots)
}

// runWays runs ours and, if asked for, the baselines after it.
func runWays(ways []way, load func(w way) []*site) [][]*site {
	if !withBaselines() {
		ways = ways[:1]
	}
	var runs [][]*site
	for _, w := range ways {
		runs = append(runs, load(w))
	}
	return runs
}

// baselines gives the figures of the ways after the first, of those that were run.
func baselines(read func(s *site) float64, ways []way, runs [][]*site) []measurer.Baseline {
	var rows []measurer.Baseline
	for i := 1; i < len(runs); i++ {
		rows = append(rows, measurer.Baseline{Name: ways[i].name, Value: mean(runs[i], read)})
	}
	return rows
}

// TestPolicyFairShare measures whether a small account keeps its service while a large one
// sends ten times its share, and how the work is split when all send too much.
// Figures are means over the seeds.
func TestPolicyFairShare(t *testing.T) {
	t.Parallel()
	ways := []way{oursWay, fifoWay, boundWay}
	surging := contractLoad(func(account string) float64 {
		if account == "large" {
			return 10
		}
		return 0.8
	})
	alone := contractLoad(func(account string) float64 {
		if account == "small" {
			return 0.8
		}
		return 0
	})
	// Equal demand from all, for each above its share.
	equal := contractLoad(func(account string) float64 {
		for _, c := range contracts {
			if c.account == account {
				return 0.8 * contractWeights() / c.weight
			}
		}
		return 0
	})
	row := func(name, measure string, read func(*site) float64, bound measurer.Limit, goal *measurer.Limit, runs [][]*site) {
		check(t, measurer.Row{Case: name, Measure: measure, Ours: mean(runs[0], read),
			Baselines: baselines(read, ways, runs), Bound: bound, Goal: goal})
	}
	runs := runWays(ways, func(w way) []*site { return runSites(w, surging) })
	small := attainmentOf("small")
	whenAlone := mean(runSites(oursWay, alone), small)
	ofAlone := func(s *site) float64 { return small(s) / whenAlone }
	admitted := func(s *site) float64 { return s.tally(siteFrom, siteTo, "").admittedAttainment() }
	row("fair/largeSends10x", "smallAttainment", small, atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/largeSends10x", "smallOfAlone", ofAlone, atLeast(0.99), goal(atLeast(0.95)), runs)
	row("fair/largeSends10x", "middleAttainment", attainmentOf("middle2"), atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/largeSends10x", "admittedAttainment", admitted, atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/largeSends10x", "idleSlots", idlePart, atMost(0.02), goal(atMost(0.02)), runs)
	row("fair/largeSends10x", "idleUnderBacklog", idleBacklogPart, atMost(0.001), goal(atMost(0.02)), runs)
	runs = runWays(ways, func(w way) []*site { return runSites(w, equal) })
	row("fair/equalDemand", "jainByWeight", jain, atLeast(0.98), goal(atLeast(0.95)), runs)
	row("fair/equalDemand", "admittedAttainment", admitted, atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/equalDemand", "idleSlots", idlePart, atMost(0.02), goal(atMost(0.02)), runs)
}
