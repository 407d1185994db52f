package planner

import (
	"slices"
	"time"

	"geraniumline/switcher"
)

const (
	// holdingShare is the part of an endpoint's space from which a request's results there hold others up.
	holdingShare = 0.05
	// earlyFactor is how many times its usual time before the others are done a stage with large results is begun: nine
	// of ten groups take at most about twice the usual time.
	earlyFactor = 1.5
	// RecheckInterval is how often a stage that waits for others should be looked at: a tenth of what a call takes at least.
	RecheckInterval = 15 * time.Millisecond
	// shortReturn is when a caller may come back that was refused for what is over in a moment: a start, a full endpoint.
	// It is spread by as much again, so that callers refused together do not come back together.
	shortReturn = 250 * time.Millisecond
)

// maxOver bounds how much later callers come back in a surge: a third of the time that most have left, beyond which they
// give up.
const maxOver = 2 * time.Second

// RetryAfter is when a refused caller should come back: after what waits now is done, and, where more comes than can be
// made, after as long again as that has lasted. How long a surge will go on nobody knows; it has as often as not as long
// again to go as it has lasted. The draw is from 0 to 1.
func RetryAfter(load Load, draw float64) time.Duration {
	return load.Wait + min(load.OverloadedFor, maxOver) + shortReturn + time.Duration(draw*float64(shortReturn))
}

// LatestModelStart is when the model engine must have the request for its first event to find the caller still there. Results
// that come later are of no use to anybody, and a caller that is told before it leaves can still come back.
func (p *Plan) LatestModelStart() time.Time { return p.cfg.FirstEventDeadline.Add(-p.cfg.ModelTime) }

// Overloaded tells whether the first event can't come before the caller leaves, by what waits at the stages on its way, and
// names the service where most waits.
func (p *Plan) Overloaded(view View, now time.Time) (service string, over bool) {
	if p.cfg.Off.Has(switcher.OverloadRefused) {
		return "", false
	}
	longest := time.Duration(0)
	total := p.cfg.ModelTime
	for i, stage := range p.cfg.Stages {
		if p.stages[i].count == 0 {
			continue
		}
		if wait := view.Load(stage.Service).Wait; wait > longest {
			longest, service = wait, stage.Service
		}
		if len(stage.DependsOn) == 0 {
			total = max(total, p.cfg.ModelTime+p.callTime(i, view)+p.leastAfter(i, view))
		}
	}
	return service, longest > 0 && !now.Add(total+longest).Before(p.cfg.FirstEventDeadline)
}

// wantedZone gives the zone where a stage's pieces should be made and what crosses zones if they are made elsewhere.
// Each piece fetches all inputs, so a stage should be done where its inputs lie. Else its results should lie where the
// model engine that holds the prompt's shared parts will fetch them, or at least together: each piece of a following
// stage fetches them all.
func (p *Plan) wantedZone(stage int) (string, int64) {
	count := int64(p.stages[stage].count)
	results := p.cfg.Stages[stage].ResultBytes * count
	readers := int64(0)
	for i, next := range p.cfg.Stages {
		if slices.Contains(next.DependsOn, stage) {
			readers += int64(p.stages[i].count)
		}
	}
	zone, inputs := "", int64(0)
	for z, bytes := range p.inputZones(stage) {
		if bytes > inputs || bytes == inputs && z < zone {
			zone, inputs = z, bytes
		}
	}
	inputs *= count
	switch {
	case readers == 0 && results > inputs:
		return p.cfg.HomeZone, results
	case readers > 0 && results*readers > inputs:
		return "", results * readers
	default:
		return zone, inputs
	}
}

// inputZones gives the bytes of a stage's inputs by the zone where they lie.
func (p *Plan) inputZones(stage int) map[string]int64 {
	zones := make(map[string]int64)
	for _, before := range p.cfg.Stages[stage].DependsOn {
		for _, zone := range p.stages[before].zones {
			zones[zone] += p.cfg.Stages[before].ResultBytes
		}
	}
	return zones
}

// holding tells whether the stage's inputs hold much of the space of their makers.
func (p *Plan) holding(stage int, view View) bool {
	return slices.ContainsFunc(p.cfg.Stages[stage].DependsOn, func(before int) bool { return p.large(before, view) })
}

// large tells whether a stage's results take much of an endpoint's space.
func (p *Plan) large(stage int, view View) bool {
	pool, known := view.Pool(p.Service(stage))
	if !known || pool.ResultSpaceBytes <= 0 {
		return false
	}
	bytes := p.cfg.Stages[stage].ResultBytes * int64(p.stages[stage].count)
	return float64(bytes) > holdingShare*float64(pool.ResultSpaceBytes)
}

// tooEarly tells whether a stage's results would only take space until other stages of the request are done. Made as soon
// as they can be, large results lie at their makers for as long as the longest way through the other stages takes, and for
// seconds where the request waits there: the space is full while the endpoints are idle, and what is given up at another
// stage has made them for nothing.
func (p *Plan) tooEarly(stage int, view View, now time.Time) bool {
	if !slices.Contains(p.last(), stage) || !p.large(stage, view) || p.cfg.Off.Has(switcher.LargeLate) {
		return false
	}
	return p.othersNeed(stage, view, now) > time.Duration(earlyFactor*float64(p.usualTime(stage, view)))
}

// othersNeed predicts how long the request's other stages will still take. One that waits for longer than usual is
// expected to wait for as long again as it is late: what holds it up is not over yet.
func (p *Plan) othersNeed(stage int, view View, now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range p.stages {
		t := &p.stages[i]
		if i == stage || t.missing == 0 || !p.ready(i) {
			continue
		}
		left := p.usualTime(i, view)
		if t.asked {
			left = (left - now.Sub(t.askedAt)).Abs()
		}
		longest = max(longest, left+p.usualAfter(i, view))
	}
	return longest
}

// leastAfter is the least time of the stages that follow one.
func (p *Plan) leastAfter(stage int, view View) time.Duration {
	return p.longestAfter(stage, func(i int) time.Duration { return p.callTime(i, view) })
}

// usualAfter is the time that the stages that follow one take at present. Under load pieces wait at each of them; a group
// that is begun when only the calls themselves would fit is late at the last stage, and all work on it with it.
func (p *Plan) usualAfter(stage int, view View) time.Duration {
	return p.longestAfter(stage, func(i int) time.Duration { return p.usualTime(i, view) })
}

// longestAfter sums up the longest way through the stages that follow one.
func (p *Plan) longestAfter(stage int, timeOf func(stage int) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i, next := range p.cfg.Stages {
		if p.stages[i].count > 0 && slices.Contains(next.DependsOn, stage) {
			longest = max(longest, timeOf(i)+p.longestAfter(i, timeOf))
		}
	}
	return longest
}

// callTime is how long the stage's pieces take in a call of their own.
func (p *Plan) callTime(stage int, view View) time.Duration {
	pool, known := view.Pool(p.Service(stage))
	if !known {
		return 0
	}
	return pool.CallDuration(min(p.stages[stage].count, pool.Batch))
}

// usualTime is how long groups take at the stage's service at present.
func (p *Plan) usualTime(stage int, view View) time.Duration {
	call := p.callTime(stage, view)
	if p.cfg.Off.Has(switcher.PassageLeft) {
		return call
	}
	return max(view.Load(p.Service(stage)).Turnaround, call)
}
