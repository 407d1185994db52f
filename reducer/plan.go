package reducer

import (
	"slices"
	"time"

	"geraniumline/admitter"
	"geraniumline/publisher"
	"geraniumline/scheduler"
)

// plan is the data that the core derives once from a pipeline in force.
type plan struct {
	pipeline   *publisher.Pipeline
	sideEffect bool
	// stageNames are the names "pipeline/stage" under which the admitter keeps its measurements.
	stageNames    []string
	pendingStages []admitter.PendingStage
}

func newPlan(pipeline *publisher.Pipeline) *plan {
	p := &plan{
		pipeline:      pipeline,
		sideEffect:    pipeline.HasSideEffect(),
		pendingStages: make([]admitter.PendingStage, len(pipeline.Stages)),
	}
	for _, stage := range pipeline.Stages {
		p.stageNames = append(p.stageNames, pipeline.Name+"/"+stage.Name)
	}
	return p
}

// findPlan returns the plan of a pipeline, or a failure if it does not exist or the contract does not name it.
func (c *Core) findPlan(contract *publisher.Contract, name string) (*plan, *Failure) {
	pipeline, known := c.fold.Pipeline(name)
	if !known {
		return nil, &Failure{Code: CodeUnknownPipeline, Message: "no pipeline has this name", State: StateNotRun}
	}
	if !slices.Contains(contract.Pipelines, name) {
		return nil, &Failure{Code: CodeNotInContract, Message: "the contract does not name this pipeline", State: StateNotRun}
	}
	p, cached := c.plans[name]
	if cached && p.pipeline == pipeline {
		return p, nil
	}
	p = newPlan(pipeline)
	c.plans[name] = p
	return p, nil
}

// pendingStages describes the stages from a given one on for the admitter. The slice belongs to the plan and is valid
// until the next call.
func (c *Core) pendingStages(p *plan, contract *publisher.Contract, from int, now time.Time) []admitter.PendingStage {
	item := scheduler.Item{Account: contract.Account, Weight: contract.Weight, Urgency: contractUrgency(contract, p.pipeline.Name)}
	for i := from; i < len(p.pendingStages); i++ {
		stage := &p.pipeline.Stages[i]
		ahead := c.scheduler.WorkAhead(stage.Pool, item)
		p.pendingStages[i] = admitter.PendingStage{
			Stage:          p.stageNames[i],
			Pool:           stage.Pool,
			Expected:       time.Duration(stage.ExpectedMillis) * time.Millisecond,
			WorkAhead:      ahead.Current,
			WorstWorkAhead: ahead.WorstCase,
			Capacity:       c.poolCapacity(stage.Pool, now),
		}
	}
	return p.pendingStages[from:]
}

// poolCapacity returns the capacity of a pool that this entry can expect to use, in endpoint milliseconds per
// millisecond: the measured drain rate while stages were queued here, or else an even share of the pool's slots.
// An even share is wrong at every entry if callers are spread unevenly over the entries.
func (c *Core) poolCapacity(pool string, now time.Time) float64 {
	if drain := c.scheduler.DrainRate(pool, now); drain > 0 {
		return drain
	}
	return c.router.Capacity(pool, c.liveEntries, now)
}

// expectedCost returns the expected cost of all stages, in endpoint milliseconds.
func (c *Core) expectedCost(p *plan) float64 {
	total := 0.0
	for i := range p.pipeline.Stages {
		total += c.expectedStageCost(p, i)
	}
	return total
}

// expectedStageCost returns the expected cost of one stage, in endpoint milliseconds.
func (c *Core) expectedStageCost(p *plan, stage int) float64 {
	return c.admitter.ExpectedCost(p.stageNames[stage], float64(p.pipeline.Stages[stage].ExpectedMillis))
}
