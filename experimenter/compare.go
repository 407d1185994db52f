package experimenter

import (
	"math"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"

	"geraniumline/switcher"
)

// confidence is the factor of the standard error for a 95% interval.
const confidence = 1.96

// Modelled tells whether the model has what a mechanism works on. Entries of the model know of each other at once, engines
// and endpoints never hang, and there are no plain calls.
func Modelled(m switcher.Mechanism) bool {
	switch m {
	case switcher.OneCollector, switcher.SettledDuty, switcher.DutyFollowed, switcher.Hedging, switcher.Ejection:
		return false
	default:
		return true
	}
}

// RunSeeds plays a scenario with the seeds 1 to n, on half of the processors. Done is called after each run.
func RunSeeds(s Scenario, n int, off switcher.Disabled, done func()) []*Result {
	results := make([]*Result, n)
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var group sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		group.Go(func() {
			results[i] = Run(s, uint64(i+1), off)
			<-slots
			done()
		})
	}
	group.Wait()
	return results
}

// Comparison is how two series differ that were played with the same seeds.
type Comparison struct {
	N          int     `json:"n"`
	MeanA      float64 `json:"meanA"`
	MeanB      float64 `json:"meanB"`
	Difference float64 `json:"difference"`
	// Interval is half of the width of the difference's 95% interval.
	Interval float64 `json:"interval"`
	// Won is how many seeds earned more in B.
	Won int `json:"won"`
}

// Compare pairs two series by their seeds.
func Compare(a, b []*Result) Comparison {
	bySeed := make(map[uint64]*Result, len(a))
	for _, r := range a {
		bySeed[r.Seed] = r
	}
	var c Comparison
	var first, second, differences []float64
	for _, r := range b {
		other, paired := bySeed[r.Seed]
		if !paired {
			continue
		}
		first = append(first, other.Earned)
		second = append(second, r.Earned)
		differences = append(differences, r.Earned-other.Earned)
		if r.Earned > other.Earned {
			c.Won++
		}
	}
	c.N = len(differences)
	if c.N == 0 {
		return c
	}
	c.MeanA, c.MeanB = stat.Mean(first, nil), stat.Mean(second, nil)
	c.Difference = stat.Mean(differences, nil)
	if c.N > 1 {
		c.Interval = confidence * stat.StdDev(differences, nil) / math.Sqrt(float64(c.N))
	}
	return c
}
