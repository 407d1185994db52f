package experimenter

import (
	"math"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"

	"geraniumline/switcher"
)

// confidenceFactor is the multiple of the standard error that gives a 95% confidence interval.
const confidenceFactor = 1.96

// Modelled reports whether the simulation covers what a mechanism acts on. Simulated entries learn of each other immediately,
// engines and endpoints never hang, and there are no plain calls.
func Modelled(m switcher.Mechanism) bool {
	switch m {
	case switcher.OneCollector, switcher.SettledDuty, switcher.DutyFollowed, switcher.Hedging, switcher.Ejection:
		return false
	default:
		return true
	}
}

// RunSeeds runs a scenario with the seeds 1 to n, using half of the processors. It calls done after each run, from several
// goroutines.
func RunSeeds(s Scenario, n int, disabled switcher.Disabled, done func()) []*Result {
	results := make([]*Result, n)
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var group sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			results[i] = Run(s, uint64(i+1), disabled)
			<-slots
			done()
		})
	}
	group.Wait()
	return results
}

// Comparison is the difference between two series of runs, A and B, with the same seeds.
type Comparison struct {
	N          int     `json:"n"`
	MeanA      float64 `json:"meanA"`
	MeanB      float64 `json:"meanB"`
	Difference float64 `json:"difference"`
	// Interval is half of the width of the 95% confidence interval of Difference.
	Interval float64 `json:"interval"`
	// Won is the number of seeds for which B earned more than A.
	Won int `json:"won"`
}

// Compare compares the worth earned in two series, paired by seed. Seeds that only one of them has are ignored.
func Compare(a, b []*Result) Comparison {
	resultsA := make(map[uint64]*Result, len(a))
	for _, r := range a {
		resultsA[r.Seed] = r
	}
	var c Comparison
	var earnedA, earnedB, differences []float64
	for _, r := range b {
		other, paired := resultsA[r.Seed]
		if !paired {
			continue
		}
		earnedA = append(earnedA, other.Earned)
		earnedB = append(earnedB, r.Earned)
		differences = append(differences, r.Earned-other.Earned)
		if r.Earned > other.Earned {
			c.Won++
		}
	}
	c.N = len(differences)
	if c.N == 0 {
		return c
	}
	c.MeanA, c.MeanB = stat.Mean(earnedA, nil), stat.Mean(earnedB, nil)
	c.Difference = stat.Mean(differences, nil)
	if c.N > 1 {
		c.Interval = confidenceFactor * stat.StdDev(differences, nil) / math.Sqrt(float64(c.N))
	}
	return c
}
