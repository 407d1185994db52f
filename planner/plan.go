// Package planner plans the stages of one request: when each stage is requested, the inputs, preferred zone and due time of
// its pieces, which results are recomputed, and which are freed. It is pure: the current time and the state of the pools are
// passed in.
package planner

import (
	"math"
	"slices"
	"time"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/switcher"
)

// maxRecomputes is the maximum number of times that a request's lost stage results are recomputed.
const maxRecomputes = 2

// Config describes a request whose stages are planned.
type Config struct {
	// Origin is the entry that handles the request, Request the request's ID.
	Origin  string
	Request string
	Stages  []cataloger.Stage
	// PieceCounts holds the number of pieces of each stage; stages beyond its end have one piece.
	PieceCounts []int
	// Key is the input of pieces of first stages.
	Key string
	// Priority is the request's priority, RoutePriority that of its route.
	Priority      int
	RoutePriority int
	Account       string
	// Regions are the regions where the stages may run; empty allows all.
	Regions []string
	// Due is the time until which the first event is on time. The caller disconnects if it has no event by
	// FirstEventDeadline.
	Due                time.Time
	FirstEventDeadline time.Time
	// HomeZone is the zone of the model engine that caches the prompt's shared parts.
	HomeZone string
	// ModelTime is the predicted time of the model engine after the last stage.
	ModelTime time.Duration
	// Disabled holds the policy mechanisms that are switched off.
	Disabled switcher.Disabled
}

// View provides the current state of the stages' pools.
type View interface {
	// Pool returns the settings of a service's endpoints.
	Pool(service string) (cataloger.StagePool, bool)
	// Load returns the most recent load of a service's pool for pieces of a rank, or the zero value if there is none.
	Load(service string, rank int) Load
}

// Load is the load of a pool for pieces of one priority, as reported by the entry that collects for it.
type Load struct {
	// Wait is how long a piece that arrives now would wait for its call.
	Wait time.Duration
	// Turnaround is the mean time that groups of pieces take there.
	Turnaround time.Duration
	// Ahead is set if the priority takes less time than the mean of all, since its pieces go before others.
	Ahead bool
	// ShortOfSpace is set if the pool lacks space for results.
	ShortOfSpace bool
	// OverloadedFor is how long more pieces have been arriving than the pool can process.
	OverloadedFor time.Duration
}

// LoadOf returns the load of a pool that this entry collects for, for all priorities together.
func LoadOf(p *collector.Pool, now time.Time) Load {
	return Load{Wait: max(0, p.PredictedWait(now)), Turnaround: p.Turnaround(), ShortOfSpace: p.ShortOfSpace(now), OverloadedFor: p.OverloadedFor(now)}
}

// LoadFor returns the load of a pool that this entry collects for, for pieces of one rank.
func LoadFor(p *collector.Pool, rank int, now time.Time) Load {
	return LoadOf(p, now).ForClass(p.PredictedWaitOf(rank, now), p.TurnaroundOf(rank, now))
}

// ForClass returns the load with the wait and turnaround of one priority. A priority that waits less than others is not
// overloaded: a refused caller need not wait for the end of the others' surge.
func (l Load) ForClass(wait, turnaround time.Duration) Load {
	wait = max(0, wait)
	if wait < l.Wait {
		l.OverloadedFor = 0
	}
	l.Ahead = turnaround < l.Turnaround
	l.Wait, l.Turnaround = wait, turnaround
	return l
}

// ClassOf returns the load for one rank from a reported load and the loads by class that were reported with it, sorted by
// class. A class that was not reported waits as long as the next more urgent one, since none of its own pieces wait.
func ClassOf(all Load, classes []collector.ClassLoad, rank int) Load {
	load, class := all, collector.Class(rank)
	for _, c := range classes {
		switch {
		case c.Class < class:
			load = all.ForClass(c.Wait, all.Turnaround)
		case c.Class == class:
			return all.ForClass(c.Wait, c.Turnaround)
		default:
			return load.ForClass(load.Wait, min(load.Turnaround, c.Turnaround))
		}
	}
	return load
}

// ReleasedResults holds results of one stage that are no longer needed.
type ReleasedResults struct {
	Service string
	Stage   int
	Results []collector.ResultRef
}

// stage is the progress of one stage of a request.
type stage struct {
	// pieceCount is the number of its pieces, missing the number of those without a result.
	pieceCount int
	missing    int
	// results and zones hold the results and their availability zones by segment.
	results []collector.ResultRef
	zones   []string
	// requested is set while its pieces are requested, since requestedAt.
	requested   bool
	requestedAt time.Time
	// inputsFetched is set once endpoints have fetched its inputs, freed once its results were freed.
	inputsFetched bool
	freed         bool
}

// Plan tracks the stages of one request.
type Plan struct {
	cfg        Config
	stages     []stage
	recomputes int
}

// New returns the plan of a request with no stage done.
func New(cfg Config) *Plan {
	p := &Plan{cfg: cfg, stages: make([]stage, len(cfg.Stages))}
	for i := range p.stages {
		p.stages[i].pieceCount = 1
		if i < len(cfg.PieceCounts) {
			p.stages[i].pieceCount = cfg.PieceCounts[i]
		}
		p.stages[i].reset()
	}
	return p
}

// reset discards the stage's results.
func (t *stage) reset() {
	*t = stage{
		pieceCount: t.pieceCount,
		missing:    t.pieceCount,
		results:    make([]collector.ResultRef, t.pieceCount),
		zones:      make([]string, t.pieceCount),
	}
}

// leastUrgent is a rank that waits for all others.
const leastUrgent = math.MaxInt32

// Rank returns the priority of the request's pieces, as collector.Rank does.
func (p *Plan) Rank() int {
	if p.cfg.Disabled.Has(switcher.RouteRank) {
		return collector.Rank(p.cfg.Priority, p.cfg.Priority)
	}
	return collector.Rank(p.cfg.Priority, p.cfg.RoutePriority)
}

// load returns the load that the request's pieces meet at a stage.
func (p *Plan) load(stage int, view View) Load { return view.Load(p.Service(stage), p.Rank()) }

// Service returns the service of a stage.
func (p *Plan) Service(stage int) string { return p.cfg.Stages[stage].Service }

// ResultZones returns the zones of a stage's results by piece.
func (p *Plan) ResultZones(stage int) []string { return p.stages[stage].zones }

// StageDone reports whether all pieces of a stage have results.
func (p *Plan) StageDone(stage int) bool { return p.stages[stage].missing == 0 }

// Done reports whether all stages are done.
func (p *Plan) Done() bool {
	for i := range p.stages {
		if !p.StageDone(i) {
			return false
		}
	}
	return true
}

// pieceCounts returns the numbers of pieces of all stages.
func (p *Plan) pieceCounts() []int {
	counts := make([]int, len(p.stages))
	for i := range p.stages {
		counts[i] = p.stages[i].pieceCount
	}
	return counts
}

// finalStages returns the stages whose results are inputs of the request itself.
func (p *Plan) finalStages() []int {
	route := cataloger.Route{Stages: p.cfg.Stages}
	return route.FinalStages(p.pieceCounts())
}

// Next returns the stages whose pieces should be requested now: those whose inputs are complete, except stages whose results
// would only be stored until other stages are done. If there are such exceptions, again is true and Next should be called
// again later.
func (p *Plan) Next(view View, now time.Time) (next []int, again bool) {
	for i := range p.stages {
		t := &p.stages[i]
		if t.requested || t.missing == 0 || !p.inputsReady(i) {
			continue
		}
		if p.tooEarly(i, view, now) {
			again = true
			continue
		}
		next = append(next, i)
	}
	return next, again
}

func (p *Plan) inputsReady(stage int) bool {
	for _, input := range p.cfg.Stages[stage].DependsOn {
		if p.stages[input].missing > 0 {
			return false
		}
	}
	return true
}

// StartStage returns the pieces of a stage to request and marks the stage as requested.
func (p *Plan) StartStage(stage int, view View, now time.Time) collector.Group {
	t := &p.stages[stage]
	t.requested = true
	t.requestedAt = now
	cfg := &p.cfg.Stages[stage]
	g := collector.Group{
		ID:          collector.GroupID{Origin: p.cfg.Origin, Request: p.cfg.Request, Stage: stage},
		Due:         p.cfg.Due.Add(-p.cfg.ModelTime - p.usualTimeAfter(stage, view)),
		Deadline:    p.LatestModelStart().Add(-p.minTimeAfter(stage, view)),
		Priority:    p.Rank(),
		Account:     p.cfg.Account,
		Regions:     p.cfg.Regions,
		ResultBytes: cfg.ResultBytes,
		HoldsSpace:  p.inputsHoldSpace(stage, view),
	}
	g.PreferredZone, g.CrossZoneBytes = p.preferredZone(stage)
	for n, result := range t.results {
		if result.Handle == "" {
			g.Segments = append(g.Segments, n)
		}
	}
	g.LatestDue = p.cfg.Due.Add(-p.cfg.ModelTime - p.fastestTimeAfter(stage, view))
	if len(cfg.DependsOn) == 0 {
		// Later stages process the most urgent groups first, so their current turnaround says little about a late group. Based
		// on it, first stages would put most groups last in a surge.
		g.Key = p.cfg.Key
		g.LatestDue = p.cfg.Due.Add(-p.cfg.ModelTime - p.minTimeAfter(stage, view))
	}
	p.addInputs(&g, stage, view)
	return g
}

func (p *Plan) addInputs(g *collector.Group, stage int, view View) {
	for _, input := range p.cfg.Stages[stage].DependsOn {
		for _, result := range p.stages[input].results {
			g.Inputs = append(g.Inputs, result.Handle)
			g.InputBytes += p.cfg.Stages[input].ResultBytes
		}
		shortOfSpace := p.load(input, view).ShortOfSpace && !p.cfg.Disabled.Has(switcher.FetchedFreed)
		g.NotifyInputsFetched = g.NotifyInputsFetched || shortOfSpace
	}
}

// AddResult stores a piece's result and returns the results to free.
func (p *Plan) AddResult(stage int, d collector.Deliver) []ReleasedResults {
	t := &p.stages[stage]
	if t.results[d.Segment].Handle != "" {
		return p.resultsToFree(stage, collector.ResultRef{Handle: d.Result.Handle, Address: d.Address})
	}
	t.results[d.Segment] = collector.ResultRef{Handle: d.Result.Handle, Address: d.Address}
	t.zones[d.Segment] = d.Zone
	t.missing--
	if t.missing > 0 {
		return nil
	}
	return p.freeInputs(stage)
}

// InputsFetched records that the inputs of a stage were fetched and returns the results to free. The inputs are needed again
// only if a piece fails, about one in a hundred, and are then recomputed. While the stage has more waiting pieces than fit in
// its next calls, the inputs are kept: the space that they occupy keeps the previous stage from producing more than this one
// can use, for groups that will be late.
func (p *Plan) InputsFetched(stage int, view View) []ReleasedResults {
	if view.Load(p.Service(stage), leastUrgent).Wait > 0 {
		return nil
	}
	p.stages[stage].inputsFetched = true
	return p.freeInputs(stage)
}

// RecomputeInputs resets a stage's inputs, which have expired, so that they are recomputed, and then the missing pieces of the
// stage itself. Otherwise a request that waited for longer than results are kept would fail although there is time left. It
// returns the stages that are no longer requested, the results to free, and whether the recomputation is allowed.
func (p *Plan) RecomputeInputs(stage int) (ended []int, freed []ReleasedResults, allowed bool) {
	if p.recomputes >= maxRecomputes {
		return nil, nil, false
	}
	p.recomputes++
	p.stages[stage].requested = false
	p.stages[stage].inputsFetched = false
	ended, freed = p.resetInputs(stage)
	return append(ended, stage), freed, true
}

// FinalFetchDelay returns how long after the request was sent the model engine is assumed to have fetched the results of the
// final stages, and whether space for them is so short that they should be freed then.
func (p *Plan) FinalFetchDelay(view View) (delay time.Duration, shortOfSpace bool) {
	for _, i := range p.finalStages() {
		pool, known := view.Pool(p.Service(i))
		if !known {
			continue
		}
		bytes := p.cfg.Stages[i].ResultBytes * int64(p.stages[i].pieceCount)
		delay = max(delay, collector.FetchDelay(&pool, bytes))
		shortOfSpace = shortOfSpace || p.load(i, view).ShortOfSpace
	}
	return delay, shortOfSpace && !p.cfg.Disabled.Has(switcher.FetchedFreed)
}

// FinalResultsFreed reports whether results of final stages were freed. They must then be recomputed before the request can
// be sent to another endpoint.
func (p *Plan) FinalResultsFreed() bool {
	return slices.ContainsFunc(p.finalStages(), func(i int) bool { return p.stages[i].freed })
}

// RecomputeFinalResults resets the final stages whose results were freed, so that they are recomputed, and sets new due times.
// It returns the stages that are no longer requested, the results to free, and whether the recomputation is allowed.
func (p *Plan) RecomputeFinalResults(due, firstEventDeadline time.Time) (ended []int, freed []ReleasedResults, allowed bool) {
	if p.recomputes >= maxRecomputes {
		return nil, nil, false
	}
	p.recomputes++
	p.cfg.Due, p.cfg.FirstEventDeadline = due, firstEventDeadline
	for _, stage := range p.finalStages() {
		if !p.stages[stage].freed {
			continue
		}
		ended = append(ended, stage)
		p.stages[stage].reset()
		if slices.ContainsFunc(p.cfg.Stages[stage].DependsOn, func(i int) bool { return p.stages[i].freed }) {
			moreEnded, moreFreed := p.resetInputs(stage)
			ended = append(ended, moreEnded...)
			freed = append(freed, moreFreed...)
		}
	}
	return ended, freed, true
}

// MayRecompute reports whether RecomputeFinalResults is allowed.
func (p *Plan) MayRecompute() bool { return p.recomputes < maxRecomputes }

// RefundRecompute makes a recomputation not count, since its results were not used.
func (p *Plan) RefundRecompute() { p.recomputes = max(0, p.recomputes-1) }

// resetInputs resets the stages that produce a stage's inputs, and recursively their inputs if those were freed.
func (p *Plan) resetInputs(stage int) (ended []int, freed []ReleasedResults) {
	for _, input := range p.cfg.Stages[stage].DependsOn {
		ended = append(ended, input)
		freed = append(freed, p.free(input)...)
		p.stages[input].reset()
		if slices.ContainsFunc(p.cfg.Stages[input].DependsOn, func(i int) bool { return p.stages[i].freed }) {
			moreEnded, moreFreed := p.resetInputs(input)
			ended = append(ended, moreEnded...)
			freed = append(freed, moreFreed...)
		}
	}
	return ended, freed
}

// freeInputs returns those inputs of a stage that no unfinished stage still has to fetch.
func (p *Plan) freeInputs(stage int) []ReleasedResults {
	var freed []ReleasedResults
	for _, input := range p.cfg.Stages[stage].DependsOn {
		if !p.needed(input) {
			freed = append(freed, p.free(input)...)
		}
	}
	return freed
}

// needed reports whether an unfinished stage still has to fetch the results of this one.
func (p *Plan) needed(stage int) bool {
	for i, next := range p.cfg.Stages {
		t := &p.stages[i]
		if t.missing > 0 && !t.inputsFetched && slices.Contains(next.DependsOn, stage) {
			return true
		}
	}
	return false
}

func (p *Plan) free(stage int) []ReleasedResults {
	t := &p.stages[stage]
	if t.freed {
		return nil
	}
	t.freed = true
	return p.resultsToFree(stage, t.results...)
}

// resultsToFree lists a stage's results as ReleasedResults, leaving out pieces without a result.
func (p *Plan) resultsToFree(stage int, results ...collector.ResultRef) []ReleasedResults {
	results = slices.DeleteFunc(slices.Clone(results), func(r collector.ResultRef) bool { return r.Handle == "" })
	if len(results) == 0 {
		return nil
	}
	return []ReleasedResults{{Service: p.Service(stage), Stage: stage, Results: results}}
}

// FreeFinalResults returns the results of the final stages, to be freed.
func (p *Plan) FreeFinalResults() []ReleasedResults {
	var freed []ReleasedResults
	for _, stage := range p.finalStages() {
		freed = append(freed, p.free(stage)...)
	}
	return freed
}

// FreeAll returns all results that have not been freed: none of them is needed any more.
func (p *Plan) FreeAll() []ReleasedResults {
	var freed []ReleasedResults
	for i := range p.stages {
		freed = append(freed, p.free(i)...)
	}
	return freed
}

// RequestInputs returns the handles of the results that are inputs of the request itself.
func (p *Plan) RequestInputs() []string {
	var handles []string
	for _, stage := range p.finalStages() {
		for _, r := range p.stages[stage].results {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// InputBytesByZone returns the size in bytes of the request's own inputs by availability zone.
func (p *Plan) InputBytesByZone() map[string]int64 {
	zones := make(map[string]int64)
	for _, stage := range p.finalStages() {
		for _, zone := range p.stages[stage].zones {
			zones[zone] += p.cfg.Stages[stage].ResultBytes
		}
	}
	return zones
}
