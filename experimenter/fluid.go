package experimenter

import (
	"cmp"
	"math"
	"slices"
)

// soundShare is the part of a pool that no fault strikes at a time.
func soundShare(s *Scenario, pool string, at float64) float64 {
	share := 1.0
	for _, f := range s.Faults {
		since := at*1000 - float64(f.AtMillis)
		if f.Pool != pool || since < 0 || since >= float64(f.ForMillis) {
			continue
		}
		struck := float64(f.SharePercent) / 100
		if f.Effect == slow && f.FactorPercent > 0 {
			struck *= 1 - 100/float64(f.FactorPercent)
		}
		share *= 1 - struck
	}
	return share
}

// rateAt is a kind's arrivals a second.
func rateAt(s *Scenario, k *Kind, at float64) float64 {
	rate := float64(k.PerMinute) / 60
	for _, b := range s.Bursts {
		since := at*1000 - float64(b.AtMillis)
		if (b.Kind == "" || b.Kind == k.Name) && since >= 0 && since < float64(b.ForMillis) {
			rate *= float64(b.Percent) / 100
		}
	}
	return rate
}

// need is what one request of the kind takes of a pool's endpoints in full calls, in seconds.
func need(k *Kind, p *Pool) float64 {
	total := 0.0
	for _, stage := range k.Stages {
		if stage.Pool == p.Name {
			piece := millis(p.CallOverheadMillis).Seconds()/float64(p.Batch) + micros(p.PieceMicros).Seconds()*float64(stage.WorkPercent)/100
			total += float64(stage.Pieces) * float64(stage.SharePercent) / 100 * piece
		}
	}
	return total
}

// fits is how many requests of the kind the pools' spare time takes.
func fits(s *Scenario, k *Kind, spare []float64) float64 {
	most := math.Inf(1)
	for i := range s.Pools {
		if n := need(k, &s.Pools[i]); n > 0 {
			most = min(most, spare[i]/n)
		}
	}
	return most
}

func take(s *Scenario, k *Kind, spare []float64, served float64) {
	for i := range s.Pools {
		spare[i] -= served * need(k, &s.Pools[i])
	}
}

// byWorth orders kinds by what they are worth for the time of the pool that they need most of.
func byWorth(s *Scenario) []int {
	order := make([]int, len(s.Kinds))
	dear := make([]float64, len(s.Kinds))
	for i := range s.Kinds {
		order[i] = i
		for j := range s.Pools {
			dear[i] = max(dear[i], need(&s.Kinds[i], &s.Pools[j])/float64(s.Pools[j].Endpoints))
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(dear[a]*float64(s.Kinds[b].Worth), dear[b]*float64(s.Kinds[a].Worth))
	})
	return order
}

// boundStep is the step of Bound in seconds: a tenth of the shortest objectives.
const boundStep = 0.1

// UpperBound is the most worth that a scenario's stages allow, as a share of what all requests on time would be worth: full
// calls, every endpoint busy, space without end, a fluid in place of requests, and perfect knowledge. What comes is served
// out of the capacity of the same time or of its objective after it; kinds go by their worth for a pool's time.
func UpperBound(s Scenario) float64 {
	order := byWorth(&s)
	spare := make([]float64, len(s.Pools))
	backlog := make([]float64, len(s.Kinds))
	earned, owed := 0.0, 0.0
	for at := 0.0; at < float64(s.Seconds); at += boundStep {
		for i, p := range s.Pools {
			spare[i] = float64(p.Endpoints) * boundStep * soundShare(&s, p.Name, at)
		}
		for _, i := range order {
			k := &s.Kinds[i]
			rate := rateAt(&s, k, at)
			offered := rate * boundStep
			owed += offered * float64(k.Worth)
			waits := min(backlog[i], rate*millis(k.ObjectiveMillis).Seconds())
			served := min(offered+waits, fits(&s, k, spare))
			take(&s, k, spare, served)
			backlog[i] = offered + waits - served
			earned += served * float64(k.Worth)
		}
	}
	if owed == 0 {
		return 0
	}
	return min(1, earned/owed)
}
