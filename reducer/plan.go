package reducer

import (
	"slices"
	"time"

	"geraniumline/admitter"
	"geraniumline/publisher"
	"geraniumline/scheduler"
)

// plan is what the core works out once of a pipeline in force.
type plan struct {
	pipeline   *publisher.Pipeline
	sideEffect bool
	// stageNames are "pipeline/stage", under which the admitter measures.
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

// planOf finds the plan of a pipeline that the contract allows.
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

// asks describes the stages from a stage on to the admitter. The slice is the plan's own, valid until the next call.
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

// capacity is the work in endpoint milliseconds a millisecond that this entry may count on in a pool: what the
// pool was found to take while stages waited here, else an even part of its slots. When callers come to
// some entries more than to others, an even part is wrong at each of them.
func (c *Core) poolCapacity(pool string, now time.Time) float64 {
	if drain := c.scheduler.DrainRate(pool, now); drain > 0 {
		return drain
	}
	return c.router.Capacity(pool, c.liveEntries, now)
}

// expectedCost is the cost of all stages, in endpoint milliseconds.
func (c *Core) expectedCost(p *plan) float64 {
	total := 0.0
	for i := range p.pipeline.Stages {
		total += c.expectedStageCost(p, i)
	}
	return total
}

// expectedStageCost is the cost of one stage, in endpoint milliseconds.
func (c *Core) expectedStageCost(p *plan, stage int) float64 {
	return c.admitter.ExpectedCost(p.stageNames[stage], float64(p.pipeline.Stages[stage].ExpectedMillis))
}
