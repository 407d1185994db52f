package forwarder

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
	// lookAgain is how often a stage that waits for others is looked at: a tenth of what a call takes at least.
	lookAgain = 15 * time.Millisecond
)

// checkTime refuses a request whose first event can't come before its caller leaves, by what waits at the stages on its way.
func (s *stageWork) checkTime(now time.Time) *FailureError {
	if s.x.f.cfg.Off.Has(switcher.OverloadRefused) {
		return nil
	}
	longest, service := time.Duration(0), ""
	total := s.modelTime
	for i, stage := range s.x.route.Stages {
		if s.states[i].count == 0 {
			continue
		}
		wait := s.x.f.waitOf(stage.Service)
		if wait > longest {
			longest, service = wait, stage.Service
		}
		if len(stage.After) == 0 {
			total = max(total, s.modelTime+s.callTime(i)+s.leastAfter(i))
		}
	}
	if longest == 0 || now.Add(total+longest).Before(s.x.firstBy) {
		return nil
	}
	return notRun("overload", s.x.f.comeBack(service))
}

// wantedZone gives the zone where a stage's pieces should be made and what crosses zones if they are made elsewhere.
// Each piece fetches all inputs, so a stage should be done where its inputs lie. Else its results should lie where the
// model engine that holds the prompt's shared parts will fetch them, or at least together: each piece of a following
// stage fetches them all.
func (s *stageWork) wantedZone(stage int) (string, int64) {
	results := s.config(stage).ResultBytes * int64(s.states[stage].count)
	readers := int64(0)
	for i, next := range s.x.route.Stages {
		if slices.Contains(next.After, stage) {
			readers += int64(s.states[i].count)
		}
	}
	zone, inputs := "", int64(0)
	for z, bytes := range s.inputZones(stage) {
		if bytes > inputs || bytes == inputs && z < zone {
			zone, inputs = z, bytes
		}
	}
	inputs *= int64(s.states[stage].count)
	switch {
	case readers == 0 && results > inputs:
		return s.homeZone, results
	case readers > 0 && results*readers > inputs:
		return "", results * readers
	default:
		return zone, inputs
	}
}

// inputZones gives the bytes of a stage's inputs by the zone where they lie.
func (s *stageWork) inputZones(stage int) map[string]int64 {
	zones := make(map[string]int64)
	for _, before := range s.config(stage).After {
		for _, zone := range s.states[before].zones {
			zones[zone] += s.config(before).ResultBytes
		}
	}
	return zones
}

// holding tells whether the stage's inputs hold much of the space of their makers.
func (s *stageWork) holding(stage int) bool {
	return slices.ContainsFunc(s.config(stage).After, s.large)
}

// large tells whether a stage's results take much of an endpoint's space.
func (s *stageWork) large(stage int) bool {
	s.x.f.mu.Lock()
	defer s.x.f.mu.Unlock()
	service, known := s.x.f.stageService(s.config(stage).Service)
	if !known || service.Stage.RoomBytes <= 0 {
		return false
	}
	bytes := s.config(stage).ResultBytes * int64(s.states[stage].count)
	return float64(bytes) > holdingShare*float64(service.Stage.RoomBytes)
}

// tooEarly tells whether a stage's results would only take space until other stages of the request are done. Made as soon
// as they can be, large results lie at their makers for as long as the longest way through the other stages takes, and for
// seconds where the request waits there: the space is full while the endpoints are idle for a third of the time, and what
// is given up at another stage has made them for nothing. In a play of a loaded day with 76 entries 0.59 of the credit was
// earned with this and 0.51 without.
func (s *stageWork) tooEarly(stage int, now time.Time) bool {
	last := slices.Contains(s.x.route.LastStages(s.counts()), stage)
	if !last || !s.large(stage) || s.x.f.cfg.Off.Has(switcher.LargeLate) {
		return false
	}
	return s.othersNeed(stage, now) > time.Duration(earlyFactor*float64(s.usualTime(stage)))
}

// othersNeed predicts how long the request's other stages will still take. One that waits for longer than usual is
// expected to wait for as long again as it is late: what holds it up is not over yet.
func (s *stageWork) othersNeed(stage int, now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range s.states {
		t := &s.states[i]
		if i == stage || t.missing == 0 || !s.ready(i) {
			continue
		}
		left := s.usualTime(i)
		if t.ask != nil {
			left = (left - now.Sub(t.askedAt)).Abs()
		}
		longest = max(longest, left+s.usualAfter(i))
	}
	return longest
}

// leastAfter is the least time of the stages that follow one.
func (s *stageWork) leastAfter(stage int) time.Duration { return s.longestAfter(stage, s.callTime) }

// usualAfter is the time that the stages that follow one take at present. Under load pieces wait at each of them; a group
// that is begun when only the calls themselves would fit is late at the last stage, and all work on it with it.
func (s *stageWork) usualAfter(stage int) time.Duration { return s.longestAfter(stage, s.usualTime) }

// longestAfter sums up the longest way through the stages that follow one.
func (s *stageWork) longestAfter(stage int, timeOf func(stage int) time.Duration) time.Duration {
	longest := time.Duration(0)
	for i, next := range s.x.route.Stages {
		if s.states[i].count > 0 && slices.Contains(next.After, stage) {
			longest = max(longest, timeOf(i)+s.longestAfter(i, timeOf))
		}
	}
	return longest
}

// callTime is how long the stage's pieces take in a call of their own.
func (s *stageWork) callTime(stage int) time.Duration {
	s.x.f.mu.Lock()
	defer s.x.f.mu.Unlock()
	service, known := s.x.f.stageService(s.config(stage).Service)
	if !known {
		return 0
	}
	return service.Stage.CallDuration(min(s.states[stage].count, service.Stage.Batch))
}

// usualTime is how long groups take at the stage's service at present.
func (s *stageWork) usualTime(stage int) time.Duration {
	if s.x.f.cfg.Off.Has(switcher.PassageLeft) {
		return s.callTime(stage)
	}
	s.x.f.mu.Lock()
	passage := s.x.f.poolWait(s.config(stage).Service, time.Now()).passage
	s.x.f.mu.Unlock()
	return max(passage, s.callTime(stage))
}

// zoneBytes tells where the inputs of the request itself lie.
func (s *stageWork) zoneBytes() map[string]int64 {
	zones := make(map[string]int64)
	for _, stage := range s.x.route.LastStages(s.counts()) {
		for _, zone := range s.states[stage].zones {
			zones[zone] += s.config(stage).ResultBytes
		}
	}
	return zones
}
