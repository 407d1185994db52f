package measurer_test

import (
	"testing"
	"time"

	"geraniumline/limiter"
	"geraniumline/measurer"
)

// The figures of a limit trial are measured in windows between these times; the load changes at stepAt.
const (
	warmUp           = 10 * time.Second
	stepAt           = 20 * time.Second
	twoSecondsLater  = stepAt + 2*time.Second
	fiveSecondsLater = stepAt + 5*time.Second
	endAt            = 40 * time.Second
	// longEnd ends the trials of contracts of a few requests per second, whose figures converge slowly.
	longEnd = 600 * time.Second
)

var limitSeeds = []uint64{1, 2, 3, 4, 5}

// demandShares is the share of the demand that each entry receives.
var demandShares = [entryCount]float64{.5, .2, .1, .08, .06, .04, .02}

type demandFunc func(entry int, elapsed time.Duration) float64

func unevenDemand(perSecond float64) demandFunc {
	return func(entry int, _ time.Duration) float64 { return demandShares[entry] * perSecond }
}

func evenDemand(perSecond float64) demandFunc {
	return func(int, time.Duration) float64 { return perSecond / entryCount }
}

// movedDemand moves from one entry to another at stepAt.
func movedDemand(perSecond float64) demandFunc {
	return func(entry int, elapsed time.Duration) float64 {
		if entry == 0 && elapsed < stepAt || entry == 3 && elapsed >= stepAt {
			return perSecond
		}
		return 0
	}
}

// spreadDemand arrives at one entry until stepAt and at all entries afterwards.
func spreadDemand(perSecond float64) demandFunc {
	return func(entry int, elapsed time.Duration) float64 {
		if entry == 0 || elapsed >= stepAt {
			return perSecond
		}
		return 0
	}
}

// orphanedDemand arrives half at entry 0, which dies at stepAt; its callers switch to the other entries
// immediately.
func orphanedDemand(perSecond float64) demandFunc {
	return func(entry int, elapsed time.Duration) float64 {
		if entry == 0 {
			return perSecond / 2
		}
		if elapsed >= stepAt {
			return perSecond / (entryCount - 1)
		}
		return perSecond / 2 / (entryCount - 1)
	}
}

func partitionAtStep(sides ...int) func(tr *limitTrial) {
	return func(tr *limitTrial) {
		tr.clock.at(start.Add(stepAt), func() { copy(tr.partition, sides) })
		tr.clock.at(start.Add(fiveSecondsLater), func() { clear(tr.partition) })
	}
}

func deathAtStep(notice time.Duration) func(tr *limitTrial) {
	return func(tr *limitTrial) {
		tr.deathNotice = notice
		tr.clock.at(start.Add(stepAt), func() { tr.kill(0) })
	}
}

// limitMeasure computes one figure from a finished trial.
type limitMeasure struct {
	name  string
	read  func(tr *limitTrial) float64
	bound measurer.Limit
	goal  *measurer.Limit
	// relative divides the figure by that of one bucket for the whole system with the same arrivals.
	relative bool
}

func excess(name string, from, to time.Duration, bound, goalValue float64) limitMeasure {
	return limitMeasure{name: name, bound: atMost(bound), goal: goal(atMost(goalValue)), read: func(tr *limitTrial) float64 {
		return tr.excess(from, to)
	}}
}

func usable(name string, from, to time.Duration, bound float64) limitMeasure {
	return limitMeasure{name: name, bound: atLeast(bound), goal: goal(atLeast(0.9)), read: func(tr *limitTrial) float64 {
		return tr.usable(from, to)
	}}
}

// ofOneBucket measures the admitted requests as a share of those that one bucket for the whole system admits: with
// a burst of 2, even that bucket refuses a quarter of a random demand below the limit.
func ofOneBucket(bound float64) limitMeasure {
	m := usable("usableOfOneBucket", warmUp, longEnd, bound)
	m.relative = true
	return m
}

func slotExcess(bound float64) limitMeasure {
	return limitMeasure{name: "meanOver", bound: atMost(bound), goal: goal(atMost(0.05)), read: (*limitTrial).slotExcess}
}

func usableSlots(bound float64) limitMeasure {
	return limitMeasure{name: "usable", bound: atLeast(bound), goal: goal(atLeast(0.9)), read: (*limitTrial).usableSlots}
}

func costUse(name string, bound measurer.Limit, goal *measurer.Limit) limitMeasure {
	return limitMeasure{name: name, bound: bound, goal: goal, read: func(tr *limitTrial) float64 {
		return tr.workRate(warmUp, endAt)
	}}
}

// TestPolicyLimits measures limits that apply to the whole system while the load of one account is uneven over 7
// entries, which report their usage to each other every 200 ms. Each figure is the worst of all seeds.
func TestPolicyLimits(t *testing.T) {
	t.Parallel()
	contract := limiter.Limits{RatePerSecond: 200, Burst: 20}
	small := limiter.Limits{RatePerSecond: 2, Burst: 2}
	slots := func(n int) limiter.Limits {
		return limiter.Limits{RatePerSecond: 10000, Burst: 1000, Concurrency: n}
	}
	work := limiter.Limits{RatePerSecond: 10000, Burst: 1000, CostPerSecond: 20000}
	scenarios := []struct {
		testName string
		limits   limiter.Limits
		demand   demandFunc
		disturb  func(tr *limitTrial)
		measures []limitMeasure
	}{
		{"steadyTwice", contract, unevenDemand(400), nil, []limitMeasure{
			excess("over", warmUp, endAt, 0.01, 0.05), usable("usable", warmUp, endAt, 0.98)}},
		{"steadyBelow", contract, unevenDemand(180), nil, []limitMeasure{
			usable("usable", warmUp, endAt, 0.95)}},
		{"stepMoves", contract, movedDemand(400), nil, []limitMeasure{
			excess("over2s", stepAt, twoSecondsLater, 0.02, 0.15), excess("over5s", stepAt, fiveSecondsLater, 0.01, 0.05), usable("usable5s", stepAt, fiveSecondsLater, 0.96)}},
		{"stepSpreads", contract, spreadDemand(400), nil, []limitMeasure{
			excess("over2s", stepAt, twoSecondsLater, 0.08, 0.15), excess("over5s", stepAt, fiveSecondsLater, 0.03, 0.05), usable("usable5s", stepAt, fiveSecondsLater, 0.95)}},
		{"entryDiesTold1s", contract, orphanedDemand(400), deathAtStep(time.Second), []limitMeasure{
			excess("over2s", stepAt, twoSecondsLater, 0.02, 0.15), usable("usable5s", stepAt, fiveSecondsLater, 0.88)}},
		{"entryDiesTold3s", contract, orphanedDemand(400), deathAtStep(3 * time.Second), []limitMeasure{
			excess("over2s", stepAt, twoSecondsLater, 0.02, 0.15), usable("usable5s", stepAt, fiveSecondsLater, 0.73)}},
		{"cut3From4", contract, unevenDemand(400), partitionAtStep(0, 0, 0, 1, 1, 1, 1), []limitMeasure{
			excess("over2s", stepAt, twoSecondsLater, 0.07, 0.15), excess("over5s", stepAt, fiveSecondsLater, 0.03, 0.05), usable("usable5s", stepAt, fiveSecondsLater, 0.91)}},
		{"cutAll", contract, unevenDemand(400), partitionAtStep(0, 1, 2, 3, 4, 5, 6), []limitMeasure{
			excess("over2s", stepAt, twoSecondsLater, 0.08, 0.15), excess("over5s", stepAt, fiveSecondsLater, 0.03, 0.05), usable("usable5s", stepAt, fiveSecondsLater, 0.86)}},
		{"smallContract", small, evenDemand(1.6), nil, []limitMeasure{
			excess("over", warmUp, longEnd, 0.01, 0.05), usable("usable", warmUp, longEnd, 0.70), ofOneBucket(0.91)}},
		{"concurrency5", slots(5), unevenDemand(20), nil, []limitMeasure{slotExcess(0.05), usableSlots(0.78)}},
		{"concurrency20", slots(20), unevenDemand(80), nil, []limitMeasure{slotExcess(0.05), usableSlots(0.88)}},
		{"costTwice", work, unevenDemand(400), nil, []limitMeasure{
			costUse("use", atMost(1.03), goal(atMost(1.05))), costUse("usable", atLeast(0.95), goal(atLeast(0.9)))}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			run := func(kind gateKind) []*limitTrial {
				return runLimitTrials(kind, s.limits, s.demand, s.disturb)
			}
			trials, centralTrials := run(ours), run(central)
			var baselineTrials []limitBaseline
			if baselinesEnabled() {
				baselineTrials = []limitBaseline{
					{"evenSplit", run(evenSplit)}, {"unlimitedLocal", run(unlimitedLocal)}, {"oneBucket", centralTrials},
				}
			}
			for _, m := range s.measures {
				row := measurer.Row{
					Case: "limits/" + s.testName, Measure: m.name, Ours: m.worst(trials, centralTrials),
					Bound: m.bound, Goal: m.goal,
				}
				for _, other := range baselineTrials {
					row.Baselines = append(row.Baselines, measurer.Baseline{Name: other.name, Value: m.worst(other.trials, centralTrials)})
				}
				check(t, row)
			}
		})
	}
}

// limitBaseline holds a baseline's trials with the same arrivals.
type limitBaseline struct {
	name   string
	trials []*limitTrial
}

func runLimitTrials(kind gateKind, limits limiter.Limits, demand demandFunc, disturb func(*limitTrial)) []*limitTrial {
	var trials []*limitTrial
	for _, seed := range limitSeeds {
		tr := newLimitTrial(kind, limits, demand, seed)
		if disturb != nil {
			disturb(tr)
		}
		tr.clock.runTo(warmUp)
		tr.resetSlots()
		tr.clock.runTo(trialEnd(limits))
		tr.addInFlight(0)
		trials = append(trials, tr)
	}
	return trials
}

func trialEnd(limits limiter.Limits) time.Duration {
	if limits.RatePerSecond < 10 {
		return longEnd
	}
	return endAt
}

// worst returns the figure of the trial that is worst in the direction of the bound.
func (m limitMeasure) worst(trials, centralTrials []*limitTrial) float64 {
	worst := 0.0
	for i, tr := range trials {
		figure := m.read(tr)
		if m.relative {
			figure /= m.read(centralTrials[i])
		}
		switch {
		case i == 0:
			worst = figure
		case m.bound.Direction == measurer.AtMost:
			worst = max(worst, figure)
		default:
			worst = min(worst, figure)
		}
	}
	return worst
}
