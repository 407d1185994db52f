package measurer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"geraniumline/measurer"
	"geraniumline/scheduler"
)

// mixedLoad returns the load of three accounts, each with urgent, normal and relaxed requests, that together offer
// the given multiple of the capacity.
func mixedLoad(times float64) []accountLoad {
	accounts := []struct {
		account string
		weight  float64
	}{{"large", 10}, {"middle", 5}, {"small", 1}}
	classes := []struct {
		urgency  scheduler.Urgency
		part     float64
		deadline time.Duration
	}{
		{scheduler.Urgent, 0.2, 4 * time.Second},
		{scheduler.Normal, 0.6, normalDeadline},
		{scheduler.Relaxed, 0.2, 20 * time.Second},
	}
	var load []accountLoad
	for _, a := range accounts {
		for _, c := range classes {
			perSecond := times * siteCapacity() * a.weight / 16 * c.part
			load = append(load, accountLoad{
				account: a.account, weight: a.weight, urgency: c.urgency, deadline: c.deadline,
				perSecond: func(time.Duration) float64 { return perSecond },
			})
		}
	}
	return load
}

func goodput(s *site) float64 {
	answered := s.tally(siteFrom, siteTo, "").inTime
	return float64(answered) / (siteTo - siteFrom).Seconds() / siteCapacity()
}

func offeredAttainment(s *site) float64 { return s.tally(siteFrom, siteTo, "").attainment() }

func admittedAttainment(s *site) float64 {
	return s.tally(siteFrom, siteTo, "").admittedAttainment()
}

func wastedShare(s *site) float64 { return s.tally(siteFrom, siteTo, "").wastedShare() }

// costPerAnswer returns the work per request answered in time, in endpoint milliseconds.
func costPerAnswer(s *site) float64 {
	t := s.tally(siteFrom, siteTo, "")
	return t.work / float64(max(t.inTime, 1))
}

func urgentAttainment(s *site) float64 {
	var t tally
	for _, j := range s.jobs {
		if at := j.arrived.Sub(start); at >= siteFrom && at < siteTo && j.source.urgency == scheduler.Urgent {
			t.add(j)
		}
	}
	return t.attainment()
}

// refusalP99 returns the time in seconds within which 99 in 100 of the requests that did no work were refused.
// Requests that waited and then failed count with their wait.
func refusalP99(s *site) float64 {
	var waits []time.Duration
	for _, j := range s.jobs {
		at := j.arrived.Sub(start)
		if at < siteFrom || at >= siteTo || j.outcome == inTime || j.spent > 0 {
			continue
		}
		waits = append(waits, j.ended.Sub(j.arrived))
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100].Seconds()
}

// TestPolicyDeadlines measures which requests are answered in time from below to far above capacity, with one
// deadline over four stages. Figures are means over the seeds.
func TestPolicyDeadlines(t *testing.T) {
	t.Parallel()
	candidates := []candidate{oursCandidate, fifoCandidate, boundedCandidate, fairCandidate}
	bounds := map[float64]struct{ admitted, goodput, wasted, urgent float64 }{
		0.8: {0.999, 0.75, 0.005, 0.999},
		1.0: {0.998, 0.95, 0.01, 0.99},
		1.5: {0.995, 0.97, 0.02, 0.99},
		3:   {0.993, 0.97, 0.02, 0.99},
		10:  {0.99, 0.97, 0.02, 0.36},
	}
	best := 0.0
	var atTen [][]*site
	for _, times := range []float64{0.5, 0.8, 1.0, 1.5, 3, 10} {
		runs := runCandidates(candidates, func(c candidate) []*site { return runSites(c, mixedLoad(times)) })
		for i, run := range runs {
			best = max(best, mean(run, goodput))
			t.Log(curve(candidates[i].name, times, run))
		}
		atTen = runs
		bound, measured := bounds[times]
		if !measured {
			continue
		}
		row := func(measure string, read func(*site) float64, bound measurer.Limit, goal *measurer.Limit) {
			check(t, measurer.Row{Case: fmt.Sprintf("deadlines/load%gx", times), Measure: measure, Ours: mean(runs[0], read),
				Baselines: baselines(read, candidates, runs), Bound: bound, Goal: goal})
		}
		row("admittedAttainment", admittedAttainment, atLeast(bound.admitted), goal(atLeast(0.99)))
		row("goodput", goodput, atLeast(bound.goodput), nil)
		row("wasted", wastedShare, atMost(bound.wasted), goal(atMost(0.03)))
		row("urgentAttainment", urgentAttainment, atLeast(bound.urgent), nil)
		row("refusalP99Seconds", refusalP99, atMost(0.001), goal(atMost(0.02)))
	}
	ofBest := func(s *site) float64 { return goodput(s) / best }
	check(t, measurer.Row{Case: "deadlines/load10x", Measure: "goodputOfBest", Ours: mean(atTen[0], ofBest),
		Baselines: baselines(ofBest, candidates, atTen), Bound: atLeast(0.95), Goal: goal(atLeast(0.95))})
}

// curve returns a line for the plot of attainment and cost against load.
func curve(name string, times float64, run []*site) string {
	return measurer.Point{
		Policy: name, Load: times,
		Attainment: mean(run, offeredAttainment), Cost: mean(run, costPerAnswer), Goodput: mean(run, goodput),
	}.String()
}

// TestPolicyWrongCapacity makes the entry assume twice or half the real capacity of the pools, as when endpoints
// slow down or other entries use them less. Figures are means over the seeds.
func TestPolicyWrongCapacity(t *testing.T) {
	t.Parallel()
	scenarios := []struct {
		testName          string
		capacityFactor    float64
		admitted, goodput float64
	}{
		{"believedTwice", 2, 0.99, 0.97},
		{"believedHalf", 0.5, 0.99, 0.97},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			c := candidate{"ours", func() dispatcher {
				p := newPolicy()
				p.capacityFactor = s.capacityFactor
				return p
			}}
			load := mixedLoad(3)
			candidates := []candidate{c, {"rightCapacity", oursCandidate.make}}
			runs := runCandidates(candidates, func(c candidate) []*site { return runSites(c, load) })
			row := func(measure string, read func(*site) float64, bound measurer.Limit, goal *measurer.Limit) {
				check(t, measurer.Row{Case: "deadlines/" + s.testName, Measure: measure, Ours: mean(runs[0], read),
					Baselines: baselines(read, candidates, runs), Bound: bound, Goal: goal})
			}
			row("admittedAttainment", admittedAttainment, atLeast(s.admitted), goal(atLeast(0.99)))
			row("goodput", goodput, atLeast(s.goodput), nil)
		})
	}
}
