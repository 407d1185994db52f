package measurer_test

import (
	"testing"
	"time"

	"geraniumline/measurer"
	"geraniumline/scheduler"
)

var siteSeeds = []uint64{1, 2, 3}

// Requests that arrive from siteFrom to siteTo of a site trial are counted; the rest of the run, until siteEnd,
// lets them finish.
const (
	siteFrom = 30 * time.Second
	siteTo   = 150 * time.Second
	siteEnd  = 175 * time.Second
)

const normalDeadline = 6 * time.Second

// contracts lists the accounts of the trials and their weights.
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

// contractLoad makes each account offer a multiple of its share of the capacity.
func contractLoad(times func(account string) float64) []accountLoad {
	var load []accountLoad
	for _, c := range contracts {
		perSecond := times(c.account) * c.weight / contractWeights() * siteCapacity()
		load = append(load, accountLoad{
			account: c.account, weight: c.weight, urgency: scheduler.Normal, deadline: normalDeadline,
			perSecond: func(time.Duration) float64 { return perSecond },
		})
	}
	return load
}

// candidate is a dispatcher under test and its name in the table.
type candidate struct {
	name string
	make func() dispatcher
}

// tunedBound is the queue bound of the refusing baseline, set for this pipeline: about 2 s of work of its
// narrowest pool.
const tunedBound = 80

var (
	oursCandidate    = candidate{"ours", func() dispatcher { return newPolicy() }}
	fifoCandidate    = candidate{"firstCome", func() dispatcher { return newFIFO(0) }}
	boundedCandidate = candidate{"firstComeBound", func() dispatcher { return newFIFO(tunedBound) }}
	fairCandidate    = candidate{"fairNoRefusal", func() dispatcher {
		p := newPolicy()
		p.admitAll = true
		return p
	}}
)

func runSites(c candidate, load []accountLoad) []*site {
	var sites []*site
	for _, seed := range siteSeeds {
		s := newSite(c.make(), seed, load)
		s.clock.runTo(siteFrom)
		s.idle, s.idleBacklog = 0, 0
		s.clock.runTo(siteTo)
		s.accumulateIdle()
		s.idleUntil = s.idle
		s.clock.runTo(siteEnd)
		sites = append(sites, s)
	}
	return sites
}

// mean returns the mean of a figure over the runs of all seeds.
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

// jain returns Jain's fairness index of the accounts' answered requests per weight; 1 is fair.
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

func idleShare(s *site) float64 {
	return s.idleUntil / (siteTo - siteFrom).Seconds() / float64(pipeline[bottleneck].slots)
}

func idleBacklogShare(s *site) float64 {
	return s.idleBacklog / (siteEnd - siteFrom).Seconds() / float64(pipeline[bottleneck].slots)
}

// runCandidates runs the policy under test and, if enabled, the baselines after it.
func runCandidates(candidates []candidate, load func(c candidate) []*site) [][]*site {
	if !baselinesEnabled() {
		candidates = candidates[:1]
	}
	var runs [][]*site
	for _, c := range candidates {
		runs = append(runs, load(c))
	}
	return runs
}

// baselines returns the figures of those candidates after the first that were run.
func baselines(read func(s *site) float64, candidates []candidate, runs [][]*site) []measurer.Baseline {
	var rows []measurer.Baseline
	for i := 1; i < len(runs); i++ {
		rows = append(rows, measurer.Baseline{Name: candidates[i].name, Value: mean(runs[i], read)})
	}
	return rows
}

// TestPolicyFairShare measures whether a small account keeps its service while a large one sends ten times its
// share, and how the work is divided when all accounts exceed their shares. Figures are means over the seeds.
func TestPolicyFairShare(t *testing.T) {
	t.Parallel()
	candidates := []candidate{oursCandidate, fifoCandidate, boundedCandidate}
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
	// The same demand from every account, above its share in each case.
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
			Baselines: baselines(read, candidates, runs), Bound: bound, Goal: goal})
	}
	runs := runCandidates(candidates, func(c candidate) []*site { return runSites(c, surging) })
	small := attainmentOf("small")
	whenAlone := mean(runSites(oursCandidate, alone), small)
	ofAlone := func(s *site) float64 { return small(s) / whenAlone }
	admitted := func(s *site) float64 { return s.tally(siteFrom, siteTo, "").admittedAttainment() }
	row("fair/largeSends10x", "smallAttainment", small, atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/largeSends10x", "smallOfAlone", ofAlone, atLeast(0.99), goal(atLeast(0.95)), runs)
	row("fair/largeSends10x", "middleAttainment", attainmentOf("middle2"), atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/largeSends10x", "admittedAttainment", admitted, atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/largeSends10x", "idleSlots", idleShare, atMost(0.02), goal(atMost(0.02)), runs)
	row("fair/largeSends10x", "idleUnderBacklog", idleBacklogShare, atMost(0.001), goal(atMost(0.02)), runs)
	runs = runCandidates(candidates, func(c candidate) []*site { return runSites(c, equal) })
	row("fair/equalDemand", "jainByWeight", jain, atLeast(0.98), goal(atLeast(0.95)), runs)
	row("fair/equalDemand", "admittedAttainment", admitted, atLeast(0.99), goal(atLeast(0.99)), runs)
	row("fair/equalDemand", "idleSlots", idleShare, atMost(0.02), goal(atMost(0.02)), runs)
}
