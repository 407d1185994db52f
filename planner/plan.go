// Package planner decides how the stages of one request are done: which stage is asked for when, what its pieces need, where
// they should be made, when they are due, what is made again, and whose results are given back. It is pure: the present time
// and what is known of the pools are given to it.
package planner

import (
	"slices"
	"time"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/switcher"
)

// maxRemakes is how often a request's lapsed stage results are made again.
const maxRemakes = 2

// Config says what a request's stages are planned by.
type Config struct {
	// Origin is the entry that has the request, Request its id.
	Origin  string
	Request string
	Stages  []cataloger.Stage
	// Counts are the numbers of the stages' pieces; a stage that has none named has one.
	PieceCounts []int
	// Key is the input of the first stages' pieces.
	Key      string
	Priority int
	Account  string
	// Regions are those where the stages may be done; empty where all are.
	Regions []string
	// Due is when the first event is on time, FirstBy when the caller leaves that has none.
	Due                time.Time
	FirstEventDeadline time.Time
	// HomeZone is where the model engine that holds the prompt's shared parts is.
	HomeZone string
	// ModelTime is what the model engine is predicted to take after the last stage.
	ModelTime time.Duration
	// Off are the mechanisms of policy that are switched off.
	Off switcher.Disabled
}

// View is what is known of the stages' pools at present.
type View interface {
	// Pool says how a service's endpoints take calls.
	Pool(service string) (cataloger.StagePool, bool)
	// Load is the newest load known of a service's pool; zero where there is none.
	Load(service string) Load
}

// Load is what is said of a pool at the entry that collects for it.
type Load struct {
	// Wait is how long a piece that comes now would wait for its call.
	Wait time.Duration
	// Turnaround is how long groups of pieces take there.
	Turnaround time.Duration
	// Short tells that it is short of space for results.
	ShortOfSpace bool
	// Over is for how long more has come there than can be made.
	OverloadedFor time.Duration
}

// LoadOf gives the load of a pool at the entry that collects for it.
func LoadOf(p *collector.Pool, now time.Time) Load {
	return Load{Wait: max(0, p.PredictedWait(now)), Turnaround: p.Turnaround(), ShortOfSpace: p.ShortOfSpace(now), OverloadedFor: p.OverloadedFor(now)}
}

// ReleasedResults are results of one stage that nothing needs any more.
type ReleasedResults struct {
	Service string
	Stage   int
	Results []collector.ResultRef
}

// stage is how far one stage of a request is.
type stage struct {
	// count is the number of its pieces, missing how many have no result.
	count   int
	missing int
	// made and zones hold the results and where they lie, by segment.
	made  []collector.ResultRef
	zones []string
	// asked is set while its pieces are asked for, since askedAt.
	asked   bool
	askedAt time.Time
	// read is set once endpoints have fetched its inputs, freed once its results were given back.
	read  bool
	freed bool
}

// Plan is the stages of one request.
type Plan struct {
	cfg     Config
	stages  []stage
	remakes int
}

// New makes the plan of a request none of whose stages is done.
func New(cfg Config) *Plan {
	p := &Plan{cfg: cfg, stages: make([]stage, len(cfg.Stages))}
	for i := range p.stages {
		p.stages[i].count = 1
		if i < len(cfg.PieceCounts) {
			p.stages[i].count = cfg.PieceCounts[i]
		}
		p.stages[i].clear()
	}
	return p
}

// clear forgets what the stage has made.
func (t *stage) clear() {
	*t = stage{
		count:   t.count,
		missing: t.count,
		made:    make([]collector.ResultRef, t.count),
		zones:   make([]string, t.count),
	}
}

// Service is that of a stage.
func (p *Plan) Service(stage int) string { return p.cfg.Stages[stage].Service }

// ResultZones are where the results of a stage lie, by piece.
func (p *Plan) ResultZones(stage int) []string { return p.stages[stage].zones }

// StageDone tells whether all pieces of a stage are made.
func (p *Plan) StageDone(stage int) bool { return p.stages[stage].missing == 0 }

// Done tells whether all stages are.
func (p *Plan) Done() bool {
	for i := range p.stages {
		if !p.StageDone(i) {
			return false
		}
	}
	return true
}

// counts are the numbers of pieces of all stages.
func (p *Plan) counts() []int {
	counts := make([]int, len(p.stages))
	for i := range p.stages {
		counts[i] = p.stages[i].count
	}
	return counts
}

// last are the stages whose results the request itself takes.
func (p *Plan) last() []int {
	route := cataloger.Route{Stages: p.cfg.Stages}
	return route.FinalStages(p.counts())
}

// Next lists the stages whose pieces should be asked for now: those whose inputs are all made, unless their results would
// only lie there until other stages are done. It tells whether to look again later for such.
func (p *Plan) Next(view View, now time.Time) (next []int, again bool) {
	for i := range p.stages {
		t := &p.stages[i]
		if t.asked || t.missing == 0 || !p.ready(i) {
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

func (p *Plan) ready(stage int) bool {
	for _, before := range p.cfg.Stages[stage].DependsOn {
		if p.stages[before].missing > 0 {
			return false
		}
	}
	return true
}

// StartStage gives the pieces of a stage that are to be asked for, and takes them as asked for.
func (p *Plan) StartStage(stage int, view View, now time.Time) collector.Group {
	t := &p.stages[stage]
	t.asked = true
	t.askedAt = now
	cfg := &p.cfg.Stages[stage]
	g := collector.Group{
		ID:          collector.GroupID{Origin: p.cfg.Origin, Request: p.cfg.Request, Stage: stage},
		Due:         p.cfg.Due.Add(-p.cfg.ModelTime - p.usualAfter(stage, view)),
		Deadline:    p.LatestModelStart().Add(-p.leastAfter(stage, view)),
		Priority:    p.cfg.Priority,
		Account:     p.cfg.Account,
		Regions:     p.cfg.Regions,
		ResultBytes: cfg.ResultBytes,
		HoldsSpace:  p.holding(stage, view),
	}
	g.PreferredZone, g.CrossZoneBytes = p.wantedZone(stage)
	for n, made := range t.made {
		if made.Handle == "" {
			g.Segments = append(g.Segments, n)
		}
	}
	g.LatestDue = g.Due
	if len(cfg.DependsOn) == 0 {
		// Later stages take the most urgent first, so that what groups take there at present says little of one that comes
		// late. Judged by it, first stages put most groups last under a surge.
		g.Key = p.cfg.Key
		g.LatestDue = p.cfg.Due.Add(-p.cfg.ModelTime - p.leastAfter(stage, view))
	}
	p.addInputs(&g, stage, view)
	return g
}

func (p *Plan) addInputs(g *collector.Group, stage int, view View) {
	for _, before := range p.cfg.Stages[stage].DependsOn {
		for _, made := range p.stages[before].made {
			g.Inputs = append(g.Inputs, made.Handle)
			g.InputBytes += p.cfg.Stages[before].ResultBytes
		}
		short := view.Load(p.Service(before)).ShortOfSpace && !p.cfg.Off.Has(switcher.FetchedFreed)
		g.NotifyInputsFetched = g.NotifyInputsFetched || short
	}
}

// AddResult takes a piece's result.
func (p *Plan) AddResult(stage int, d collector.Deliver) []ReleasedResults {
	t := &p.stages[stage]
	if t.made[d.Segment].Handle != "" {
		return p.give(stage, collector.ResultRef{Handle: d.Result.Handle, Address: d.Address})
	}
	t.made[d.Segment] = collector.ResultRef{Handle: d.Result.Handle, Address: d.Address}
	t.zones[d.Segment] = d.Zone
	t.missing--
	if t.missing > 0 {
		return nil
	}
	return p.freeInputs(stage)
}

// InputsFetched notes that the inputs of a stage were fetched. They are of no more use unless a piece fails, one in some
// hundred; they are then made again. While more waits at the stage than its next calls take they are kept all the same:
// the space that they take keeps the stage before from making more than this one can use, for groups that will be late.
func (p *Plan) InputsFetched(stage int, view View) []ReleasedResults {
	if view.Load(p.Service(stage)).Wait > 0 {
		return nil
	}
	p.stages[stage].read = true
	return p.freeInputs(stage)
}

// RecomputeInputs has a stage's inputs made again that have lapsed, and then what is missing of the stage itself. Without it a
// request that waited for longer than results are kept would fail, although there is time left. It lists the stages that
// are no longer asked for, and tells whether it may be done.
func (p *Plan) RecomputeInputs(stage int) (ended []int, freed []ReleasedResults, again bool) {
	if p.remakes >= maxRemakes {
		return nil, nil, false
	}
	p.remakes++
	p.stages[stage].asked = false
	p.stages[stage].read = false
	ended, freed = p.resetInputs(stage)
	return append(ended, stage), freed, true
}

// FinalFetchDelay is how long after the request was sent the model engine has fetched the results that it takes, and whether
// space for them is so short that they should be given back as soon as it has.
func (p *Plan) FinalFetchDelay(view View) (after time.Duration, short bool) {
	for _, i := range p.last() {
		pool, known := view.Pool(p.Service(i))
		if !known {
			continue
		}
		bytes := p.cfg.Stages[i].ResultBytes * int64(p.stages[i].count)
		after = max(after, collector.FetchDelay(&pool, bytes))
		short = short || view.Load(p.Service(i)).ShortOfSpace
	}
	return after, short && !p.cfg.Off.Has(switcher.FetchedFreed)
}

// FinalResultsFreed tells whether results that the request itself takes were given back: another endpoint can't be sent it before they
// are made again.
func (p *Plan) FinalResultsFreed() bool {
	return slices.ContainsFunc(p.last(), func(i int) bool { return p.stages[i].freed })
}

// RecomputeFinalResults has the results made again that the request itself takes and that were given back, to be due by other times than
// before. It lists the stages that are no longer asked for, and tells whether it may be done.
func (p *Plan) RecomputeFinalResults(due, firstBy time.Time) (ended []int, freed []ReleasedResults, again bool) {
	if p.remakes >= maxRemakes {
		return nil, nil, false
	}
	p.remakes++
	p.cfg.Due, p.cfg.FirstEventDeadline = due, firstBy
	for _, stage := range p.last() {
		if !p.stages[stage].freed {
			continue
		}
		ended = append(ended, stage)
		p.stages[stage].clear()
		if slices.ContainsFunc(p.cfg.Stages[stage].DependsOn, func(i int) bool { return p.stages[i].freed }) {
			moreEnded, moreFreed := p.resetInputs(stage)
			ended = append(ended, moreEnded...)
			freed = append(freed, moreFreed...)
		}
	}
	return ended, freed, true
}

// resetInputs has the inputs of a stage made anew, and theirs where those were given back already.
func (p *Plan) resetInputs(stage int) (ended []int, freed []ReleasedResults) {
	for _, before := range p.cfg.Stages[stage].DependsOn {
		ended = append(ended, before)
		freed = append(freed, p.free(before)...)
		p.stages[before].clear()
		if slices.ContainsFunc(p.cfg.Stages[before].DependsOn, func(i int) bool { return p.stages[i].freed }) {
			moreEnded, moreFreed := p.resetInputs(before)
			ended = append(ended, moreEnded...)
			freed = append(freed, moreFreed...)
		}
	}
	return ended, freed
}

// freeInputs gives back the results that only a stage which is done, or has fetched them, has needed.
func (p *Plan) freeInputs(stage int) []ReleasedResults {
	var freed []ReleasedResults
	for _, before := range p.cfg.Stages[stage].DependsOn {
		if !p.needed(before) {
			freed = append(freed, p.free(before)...)
		}
	}
	return freed
}

// needed tells whether a stage that is not done still has to fetch the results of this one.
func (p *Plan) needed(stage int) bool {
	for i, next := range p.cfg.Stages {
		t := &p.stages[i]
		if t.missing > 0 && !t.read && slices.Contains(next.DependsOn, stage) {
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
	return p.give(stage, t.made...)
}

// give lists results to be given back; pieces that were not made have none.
func (p *Plan) give(stage int, made ...collector.ResultRef) []ReleasedResults {
	made = slices.DeleteFunc(slices.Clone(made), func(m collector.ResultRef) bool { return m.Handle == "" })
	if len(made) == 0 {
		return nil
	}
	return []ReleasedResults{{Service: p.Service(stage), Stage: stage, Results: made}}
}

// FreeFinalResults gives back what the request itself took.
func (p *Plan) FreeFinalResults() []ReleasedResults {
	var freed []ReleasedResults
	for _, stage := range p.last() {
		freed = append(freed, p.free(stage)...)
	}
	return freed
}

// FreeAll gives everything back: nothing of the stages is needed any more.
func (p *Plan) FreeAll() []ReleasedResults {
	var freed []ReleasedResults
	for i := range p.stages {
		freed = append(freed, p.free(i)...)
	}
	return freed
}

// RequestInputs lists the results that the request itself takes.
func (p *Plan) RequestInputs() []string {
	var handles []string
	for _, stage := range p.last() {
		for _, m := range p.stages[stage].made {
			handles = append(handles, m.Handle)
		}
	}
	return handles
}

// InputBytesByZone tells where the inputs of the request itself lie.
func (p *Plan) InputBytesByZone() map[string]int64 {
	zones := make(map[string]int64)
	for _, stage := range p.last() {
		for _, zone := range p.stages[stage].zones {
			zones[zone] += p.cfg.Stages[stage].ResultBytes
		}
	}
	return zones
}
