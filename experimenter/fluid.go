package experimenter

import (
	"cmp"
	"math"
	"slices"
)

// availableShare returns the share of a pool's capacity that faults leave at a time, given in seconds.
func availableShare(s *Scenario, pool string, at float64) float64 {
	share := 1.0
	for _, f := range s.Faults {
		elapsedMillis := at*1000 - float64(f.AtMillis)
		if f.Pool != pool || elapsedMillis < 0 || elapsedMillis >= float64(f.ForMillis) {
			continue
		}
		affectedShare := float64(f.SharePercent) / 100
		if f.Effect == faultSlow && f.FactorPercent > 0 {
			affectedShare *= 1 - 100/float64(f.FactorPercent)
		}
		share *= 1 - affectedShare
	}
	return share
}

// arrivalRate returns a kind's arrivals per second at a time, given in seconds.
func arrivalRate(s *Scenario, k *Kind, at float64) float64 {
	rate := float64(k.PerMinute) / 60
	for _, b := range s.Bursts {
		elapsedMillis := at*1000 - float64(b.AtMillis)
		if (b.Kind == "" || b.Kind == k.Name) && elapsedMillis >= 0 && elapsedMillis < float64(b.ForMillis) {
			rate *= float64(b.Percent) / 100
		}
	}
	return rate
}

// secondsPerRequest returns the endpoint time that a request of the kind needs on average in a pool if all calls are full.
func secondsPerRequest(k *Kind, p *Pool) float64 {
	total := 0.0
	for _, stage := range k.Stages {
		if stage.Pool == p.Name {
			piece := millis(p.CallOverheadMillis).Seconds()/float64(p.Batch) + micros(p.PieceMicros).Seconds()*float64(stage.WorkPercent)/100
			total += float64(stage.Pieces) * float64(stage.SharePercent) / 100 * piece
		}
	}
	return total
}

// maxRequests returns how many requests of the kind the pools' spare endpoint time suffices for.
func maxRequests(s *Scenario, k *Kind, spare []float64) float64 {
	count := math.Inf(1)
	for i := range s.Pools {
		if n := secondsPerRequest(k, &s.Pools[i]); n > 0 {
			count = min(count, spare[i]/n)
		}
	}
	return count
}

func consume(s *Scenario, k *Kind, spare []float64, served float64) {
	for i := range s.Pools {
		spare[i] -= served * secondsPerRequest(k, &s.Pools[i])
	}
}

// orderByWorth returns the indexes of the kinds, ordered by worth per share of the pool that they use most, highest first.
func orderByWorth(s *Scenario) []int {
	order := make([]int, len(s.Kinds))
	cost := make([]float64, len(s.Kinds))
	for i := range s.Kinds {
		order[i] = i
		for j := range s.Pools {
			cost[i] = max(cost[i], secondsPerRequest(&s.Kinds[i], &s.Pools[j])/float64(s.Pools[j].Endpoints))
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(cost[a]*float64(s.Kinds[b].Worth), cost[b]*float64(s.Kinds[a].Worth))
	})
	return order
}

// boundStepSeconds is the time step of UpperBound: a tenth of the shortest objectives.
const boundStepSeconds = 0.1

// UpperBound returns the maximum worth that a scenario's stages allow, as a share of the worth if every request were answered on
// time. It is a fluid approximation with full calls, busy endpoints, unlimited result space and perfect knowledge. Requests use
// the capacity available from their arrival to their objective; kinds with more worth per pool time are served first.
func UpperBound(s Scenario) float64 {
	order := orderByWorth(&s)
	spare := make([]float64, len(s.Pools))
	backlog := make([]float64, len(s.Kinds))
	earned, possible := 0.0, 0.0
	for at := 0.0; at < float64(s.Seconds); at += boundStepSeconds {
		for i, p := range s.Pools {
			spare[i] = float64(p.Endpoints) * boundStepSeconds * availableShare(&s, p.Name, at)
		}
		for _, i := range order {
			k := &s.Kinds[i]
			rate := arrivalRate(&s, k, at)
			offered := rate * boundStepSeconds
			possible += offered * float64(k.Worth)
			queued := min(backlog[i], rate*millis(k.ObjectiveMillis).Seconds())
			served := min(offered+queued, maxRequests(&s, k, spare))
			consume(&s, k, spare, served)
			backlog[i] = offered + queued - served
			earned += served * float64(k.Worth)
		}
	}
	if possible == 0 {
		return 0
	}
	return min(1, earned/possible)
}
