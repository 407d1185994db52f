package planner

import (
	"slices"
	"time"

	"geraniumline/switcher"
)

const (
	// largeResultsShare is the share of an endpoint's result space above which a stage's results delay other requests.
	largeResultsShare = 0.05
	// earlyStartFactor is how many times its usual time before the other stages are done a stage with large results is
	// started. Nine of ten groups take at most about twice the usual time.
	earlyStartFactor = 1.5
	// RecheckInterval is how often Next should be called while a stage is held back: a tenth of the shortest call.
	RecheckInterval = 15 * time.Millisecond
	// minRetryDelay is the retry delay after a short-lived condition such as a start or a full endpoint. A random delay of
	// up to the same length is added, so that callers that are refused together do not retry together.
	minRetryDelay = 250 * time.Millisecond
)

// maxOverloadDelay limits the extra retry delay in a surge: a third of the time that most callers have left before they give
// up.
const maxOverloadDelay = 2 * time.Second

// RetryAfter returns the delay after which a refused caller should retry: the time until the current queue is processed plus,
// in an overload, as long again as it has lasted. The remaining time of a surge is unknown, but in about half of all cases it
// is at least as long as the surge has lasted. The jitter is a random number between 0 and 1.
func RetryAfter(load Load, jitter float64) time.Duration {
	return load.Wait + min(load.OverloadedFor, maxOverloadDelay) + minRetryDelay + time.Duration(jitter*float64(minRetryDelay))
}

// LatestModelStart returns the latest time at which the model engine must receive the request so that the first event reaches
// the caller before it disconnects. Later results are useless, and a caller that is refused before that can still retry.
func (p *Plan) LatestModelStart() time.Time { return p.cfg.FirstEventDeadline.Add(-p.cfg.ModelTime) }

// Overloaded reports whether the waits at the request's stages keep the first event from reaching the caller before it
// disconnects, and returns the service with the longest wait.
func (p *Plan) Overloaded(view View, now time.Time) (service string, overloaded bool) {
	if p.cfg.Disabled.Has(switcher.OverloadRefused) {
		return "", false
	}
	longest := time.Duration(0)
	total := p.cfg.ModelTime
	for i, stage := range p.cfg.Stages {
		if p.stages[i].pieceCount == 0 {
			continue
		}
		if wait := p.load(i, view).Wait; wait > longest {
			longest, service = wait, stage.Service
		}
		if len(stage.DependsOn) == 0 {
			total = max(total, p.cfg.ModelTime+p.callTime(i, view)+p.minTimeAfter(i, view))
		}
	}
	return service, longest > 0 && !now.Add(total+longest).Before(p.cfg.FirstEventDeadline)
}

// preferredZone returns the zone where a stage's pieces should be processed and the number of bytes that cross zones if they
// are processed elsewhere. Each piece fetches all inputs, so a stage should run in the zone of its inputs. If its results are
// larger, they should be in the zone of the model engine that caches the prompt's shared parts, or at least in one zone,
// because each piece of a following stage fetches all of them.
func (p *Plan) preferredZone(stage int) (string, int64) {
	count := int64(p.stages[stage].pieceCount)
	resultBytes := p.cfg.Stages[stage].ResultBytes * count
	readers := int64(0)
	for i, next := range p.cfg.Stages {
		if slices.Contains(next.DependsOn, stage) {
			readers += int64(p.stages[i].pieceCount)
		}
	}
	zone, inputBytes := "", int64(0)
	for z, bytes := range p.inputZones(stage) {
		if bytes > inputBytes || bytes == inputBytes && z < zone {
			zone, inputBytes = z, bytes
		}
	}
	inputBytes *= count
	switch {
	case readers == 0 && resultBytes > inputBytes:
		return p.cfg.HomeZone, resultBytes
	case readers > 0 && resultBytes*readers > inputBytes:
		return "", resultBytes * readers
	default:
		return zone, inputBytes
	}
}

// inputZones returns the size in bytes of a stage's inputs by availability zone.
func (p *Plan) inputZones(stage int) map[string]int64 {
	zones := make(map[string]int64)
	for _, input := range p.cfg.Stages[stage].DependsOn {
		for _, zone := range p.stages[input].zones {
			zones[zone] += p.cfg.Stages[input].ResultBytes
		}
	}
	return zones
}

// inputsHoldSpace reports whether the stage's inputs occupy much of the result space of the endpoints that store them.
func (p *Plan) inputsHoldSpace(stage int, view View) bool {
	return slices.ContainsFunc(p.cfg.Stages[stage].DependsOn, func(input int) bool { return p.resultsAreLarge(input, view) })
}

// resultsAreLarge reports whether a stage's results occupy much of an endpoint's result space.
func (p *Plan) resultsAreLarge(stage int, view View) bool {
	pool, known := view.Pool(p.Service(stage))
	if !known || pool.ResultSpaceBytes <= 0 {
		return false
	}
	bytes := p.cfg.Stages[stage].ResultBytes * int64(p.stages[stage].pieceCount)
	return float64(bytes) > largeResultsShare*float64(pool.ResultSpaceBytes)
}

// tooEarly reports whether a stage's results would only occupy space until other stages of the request are done. If large
// results were produced as early as possible, they would be stored for as long as the longest path through the other stages
// takes, and for seconds if the request waits there. The space would be full while the endpoints are idle, and the results of
// requests that fail at another stage would be wasted.
func (p *Plan) tooEarly(stage int, view View, now time.Time) bool {
	if !slices.Contains(p.finalStages(), stage) || !p.resultsAreLarge(stage, view) || p.cfg.Disabled.Has(switcher.LargeLate) {
		return false
	}
	return p.otherStagesTime(stage, view, now) > time.Duration(earlyStartFactor*float64(p.usualTime(stage, view)))
}

// otherStagesTime estimates how long the request's other stages will still take. A stage that exceeds its usual time is
// expected to take as long again as it is late, because the cause of its delay may persist.
func (p *Plan) otherStagesTime(stage int, view View, now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range p.stages {
		t := &p.stages[i]
		if i == stage || t.missing == 0 || !p.inputsReady(i) {
			continue
		}
		remaining := p.usualTime(i, view)
		if t.requested {
			remaining = (remaining - now.Sub(t.requestedAt)).Abs()
		}
		longest = max(longest, remaining+p.usualTimeAfter(i, view))
	}
	return longest
}

// minTimeAfter returns the minimum time of the stages that depend on a stage.
func (p *Plan) minTimeAfter(stage int, view View) time.Duration {
	return p.longestPathAfter(stage, func(i int) time.Duration { return p.callTime(i, view) })
}

// usualTimeAfter returns the time that the stages that depend on a stage take at present. Under load, pieces wait at each of
// them. A group that is started when only the calls themselves would fit is late at the last stage, and all its work is
// wasted.
func (p *Plan) usualTimeAfter(stage int, view View) time.Duration {
	return p.longestPathAfter(stage, func(i int) time.Duration { return p.usualTime(i, view) })
}

// fastestTimeAfter returns the time that the stages that depend on a stage take for a group with the least time left. Where the
// request's priority goes before others, and its own pieces are processed by due time, such a group waits for its own priority
// only. By the usual time, requests with long prompts would be late at middle stages in each overload by others, and go last.
func (p *Plan) fastestTimeAfter(stage int, view View) time.Duration {
	return p.longestPathAfter(stage, func(i int) time.Duration {
		load, usual := p.load(i, view), p.usualTime(i, view)
		if !load.Ahead {
			return usual
		}
		return min(usual, load.Wait+p.callTime(i, view))
	})
}

// longestPathAfter returns the duration of the longest path through the stages that depend on a stage.
func (p *Plan) longestPathAfter(stage int, stageTime func(stage int) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i, next := range p.cfg.Stages {
		if p.stages[i].pieceCount > 0 && slices.Contains(next.DependsOn, stage) {
			longest = max(longest, stageTime(i)+p.longestPathAfter(i, stageTime))
		}
	}
	return longest
}

// callTime returns how long the stage's pieces take in a call of their own.
func (p *Plan) callTime(stage int, view View) time.Duration {
	pool, known := view.Pool(p.Service(stage))
	if !known {
		return 0
	}
	return pool.CallDuration(min(p.stages[stage].pieceCount, pool.Batch))
}

// usualTime returns how long groups take at the stage's service at present.
func (p *Plan) usualTime(stage int, view View) time.Duration {
	call := p.callTime(stage, view)
	if p.cfg.Disabled.Has(switcher.PassageLeft) {
		return call
	}
	return max(p.load(stage, view).Turnaround, call)
}
