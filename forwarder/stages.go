package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/collector"
)

const (
	// maxRemakes is how often a request's lapsed stage results are made again.
	maxRemakes = 2
	// holdingShare is the part of an endpoint's space from which a request's results there hold others up.
	holdingShare = 0.05
)

// stageWork is the stages of one request.
type stageWork struct {
	x      *exchange
	counts []int
	// made holds each stage's results by segment.
	made [][]collector.Made
	// missing is how many results each stage lacks.
	missing []int
	asked   []bool
	freed   []bool
	// asks are the latest for each stage.
	asks []*ask
	// zonesOf holds the zone of each stage's results by segment.
	zonesOf [][]string
	remakes int
	// homeZone is where the model engine that holds the prompt's shared parts is.
	homeZone string
	// modelTime is what the model engine is predicted to take after the last stage.
	modelTime time.Duration
}

// stageEnd is the result of one piece of any of the request's stages.
type stageEnd struct {
	stage int
	ask   *ask
	collector.Deliver
}

// counts gives the pieces of each stage. A stage that the caller names no number for has one piece.
func (x *exchange) counts() []int {
	counts := make([]int, len(x.route.Stages))
	for i := range counts {
		counts[i] = 1
		if i < len(x.req.PieceCounts) {
			counts[i] = x.req.PieceCounts[i]
		}
	}
	return counts
}

func newStageWork(x *exchange) *stageWork {
	n := len(x.route.Stages)
	s := &stageWork{
		x:       x,
		counts:  x.counts(),
		made:    make([][]collector.Made, n),
		missing: make([]int, n),
		asked:   make([]bool, n),
		freed:   make([]bool, n),
		asks:    make([]*ask, n),
		zonesOf: make([][]string, n),
	}
	x.f.mu.Lock()
	s.homeZone = x.f.selector.HomeZone(x.service.Name, x.req.Parts)
	s.modelTime = x.f.selector.FirstEvent(x.service.Name, x.req.Parts)
	x.f.mu.Unlock()
	for i, count := range s.counts {
		s.made[i] = make([]collector.Made, count)
		s.zonesOf[i] = make([]string, count)
		s.missing[i] = count
	}
	return s
}

// checkTime refuses a request that can't be answered before its deadline, by what waits at the stages on its way.
func (s *stageWork) checkTime(now time.Time) *FailureError {
	longest, service := time.Duration(0), ""
	total := s.modelTime
	for i, stage := range s.x.route.Stages {
		if s.counts[i] == 0 {
			continue
		}
		wait := s.x.f.waitOf(stage.Service)
		if wait > longest {
			longest, service = wait, stage.Service
		}
		if len(stage.After) == 0 {
			total = max(total, s.modelTime+s.callTime(i)+s.after(i))
		}
	}
	if longest == 0 || now.Add(total+longest).Before(s.x.deadline) {
		return nil
	}
	return notRun("overload", s.x.f.comeBack(service))
}

// run has all stages done, each as soon as those before it are.
func (s *stageWork) run() *FailureError {
	ends := make(chan stageEnd, 1)
	quit := make(chan struct{})
	defer close(quit)
	for {
		s.askReady(ends, quit)
		if s.done() {
			return nil
		}
		select {
		case end := <-ends:
			if failure := s.take(end); failure != nil {
				return failure
			}
		case <-s.x.f.ending:
			return notRun("entryStops", soon())
		case <-s.x.ctx.Done():
			return notRun("stagesTimedOut", soon())
		}
	}
}

func (s *stageWork) done() bool {
	for _, n := range s.missing {
		if n > 0 {
			return false
		}
	}
	return true
}

// askReady asks for the pieces of each stage whose inputs are all made.
func (s *stageWork) askReady(ends chan<- stageEnd, quit <-chan struct{}) {
	for i := range s.counts {
		if s.asked[i] || s.counts[i] == 0 || !s.ready(i) {
			continue
		}
		s.asked[i] = true
		g := s.group(i)
		a := s.x.f.askPieces(s.x.route.Stages[i].Service, g)
		s.x.f.note("stage asked for",
			zap.String("request", s.x.req.ID),
			zap.Int("stage", i),
			zap.String("service", s.x.route.Stages[i].Service),
			zap.String("collector", a.owner),
			zap.Int("pieces", len(g.Segments)),
			zap.String("zone", g.Zone),
			zap.Duration("dueIn", time.Until(g.Due)))
		s.asks[i] = a
		go pump(i, a, ends, quit)
	}
}

// pump passes an ask's results on.
func pump(stage int, a *ask, ends chan<- stageEnd, quit <-chan struct{}) {
	for range cap(a.results) {
		select {
		case d := <-a.results:
			select {
			case ends <- stageEnd{stage: stage, ask: a, Deliver: d}:
			case <-quit:
				return
			}
		case <-quit:
			return
		}
	}
}

func (s *stageWork) ready(stage int) bool {
	for _, before := range s.x.route.Stages[stage].After {
		if s.missing[before] > 0 {
			return false
		}
	}
	return true
}

func (s *stageWork) group(stage int) collector.Group {
	x := s.x
	g := collector.Group{
		ID:          collector.GroupID{Origin: x.f.cfg.Name, Request: x.req.ID, Stage: stage},
		Due:         x.due.Add(-s.modelTime - s.after(stage)),
		Deadline:    x.deadline.Add(-s.after(stage)),
		Priority:    x.priority,
		Account:     x.account,
		ResultBytes: x.route.Stages[stage].ResultBytes,
		Holding:     s.holding(stage),
	}
	g.Zone, g.FarBytes = s.wantedZone(stage)
	for n := range s.counts[stage] {
		g.Segments = append(g.Segments, n)
	}
	after := x.route.Stages[stage].After
	if len(after) == 0 {
		g.Key = x.req.PieceKey
	}
	for _, before := range after {
		for _, made := range s.made[before] {
			g.Inputs = append(g.Inputs, made.Handle)
		}
	}
	return g
}

// wantedZone gives the zone where a stage's pieces should be made and what crosses zones if they are made elsewhere.
// Each piece fetches all inputs, so a stage should be done where its inputs lie. Else its results should lie where the
// model engine that holds the prompt's shared parts will fetch them, or at least together: each piece of a following
// stage fetches them all.
func (s *stageWork) wantedZone(stage int) (string, int64) {
	results := s.x.route.Stages[stage].ResultBytes * int64(s.counts[stage])
	readers := int64(0)
	for i, next := range s.x.route.Stages {
		if slices.Contains(next.After, stage) {
			readers += int64(s.counts[i])
		}
	}
	zone, inputs := "", int64(0)
	for z, bytes := range s.inputZones(stage) {
		if bytes > inputs || bytes == inputs && z < zone {
			zone, inputs = z, bytes
		}
	}
	inputs *= int64(s.counts[stage])
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
	for _, before := range s.x.route.Stages[stage].After {
		for _, zone := range s.zonesOf[before] {
			zones[zone] += s.x.route.Stages[before].ResultBytes
		}
	}
	return zones
}

// holding tells whether the stage's inputs hold much of the space of their makers.
func (s *stageWork) holding(stage int) bool {
	s.x.f.mu.Lock()
	defer s.x.f.mu.Unlock()
	for _, before := range s.x.route.Stages[stage].After {
		made := s.x.route.Stages[before]
		service, known := s.x.f.stageService(made.Service)
		if !known || service.Stage.RoomBytes <= 0 {
			continue
		}
		bytes := made.ResultBytes * int64(s.counts[before])
		if float64(bytes) > holdingShare*float64(service.Stage.RoomBytes) {
			return true
		}
	}
	return false
}

// after is the least time of the stages that follow one.
func (s *stageWork) after(stage int) time.Duration {
	longest := time.Duration(0)
	for i, next := range s.x.route.Stages {
		if s.counts[i] == 0 {
			continue
		}
		for _, before := range next.After {
			if before == stage {
				longest = max(longest, s.callTime(i)+s.after(i))
			}
		}
	}
	return longest
}

func (s *stageWork) callTime(stage int) time.Duration {
	s.x.f.mu.Lock()
	defer s.x.f.mu.Unlock()
	service, known := s.x.f.stageService(s.x.route.Stages[stage].Service)
	if !known {
		return 0
	}
	return service.Stage.CallDuration(min(s.counts[stage], service.Stage.Batch))
}

// take takes one piece's result.
func (s *stageWork) take(end stageEnd) *FailureError {
	if end.ask != s.asks[end.stage] {
		// The stage was asked for anew since, and this result is of no use: its inputs had lapsed.
		return nil
	}
	if end.Result.Reason == collector.InputGone && s.remake(end.stage) {
		return nil
	}
	if end.Result.Handle == "" {
		s.x.f.log.Warn("stage failed",
			zap.String("request", s.x.req.ID),
			zap.Int("stage", end.stage),
			zap.Int("piece", end.Segment),
			zap.String("service", s.x.route.Stages[end.stage].Service),
			zap.String("collector", end.ask.owner),
			zap.Stringer("reason", end.Result.Reason),
			zap.Duration("waits", s.x.f.waitOf(s.x.route.Stages[end.stage].Service)))
		return notRun("stage"+end.Result.Reason.String(), s.x.f.comeBack(s.x.route.Stages[end.stage].Service))
	}
	s.made[end.stage][end.Segment] = collector.Made{Handle: end.Result.Handle, Address: end.Address}
	s.missing[end.stage]--
	s.zonesOf[end.stage][end.Segment] = end.Zone
	if s.missing[end.stage] == 0 {
		s.x.f.note("stage done",
			zap.String("request", s.x.req.ID),
			zap.Int("stage", end.stage),
			zap.Duration("since", time.Since(s.x.began)))
		s.freeInputs(end.stage)
	}
	return nil
}

// remake has a stage's inputs made again that have lapsed, and then the stage itself. Without it a request that waited
// for longer than results are kept would fail, although there is time left.
func (s *stageWork) remake(stage int) bool {
	if s.remakes >= maxRemakes {
		return false
	}
	s.remakes++
	s.reset(stage)
	for _, before := range s.x.route.Stages[stage].After {
		s.reset(before)
	}
	s.x.f.log.Info("stage results made again", zap.String("request", s.x.req.ID), zap.Int("stage", stage))
	return true
}

// reset forgets what a stage has made.
func (s *stageWork) reset(stage int) {
	if a := s.asks[stage]; a != nil {
		s.x.f.endAsk(a)
	}
	s.free(stage)
	s.freed[stage] = false
	s.asked[stage] = false
	s.made[stage] = make([]collector.Made, s.counts[stage])
	s.missing[stage] = s.counts[stage]
}

// freeInputs frees the results that only a stage which is done has needed.
func (s *stageWork) freeInputs(stage int) {
	for _, before := range s.x.route.Stages[stage].After {
		needed := false
		for i, next := range s.x.route.Stages {
			for _, b := range next.After {
				needed = needed || b == before && s.counts[i] > 0 && s.missing[i] > 0
			}
		}
		if !needed {
			s.free(before)
		}
	}
}

func (s *stageWork) free(stage int) {
	if s.freed[stage] {
		return
	}
	s.freed[stage] = true
	var made []collector.Made
	for _, m := range s.made[stage] {
		if m.Handle != "" {
			made = append(made, m)
		}
	}
	s.x.f.freePieces(s.x.route.Stages[stage].Service, made)
}

// freeAll ends the request's stages: nothing of them is needed any more.
func (s *stageWork) freeAll() {
	for _, a := range s.asks {
		if a != nil {
			s.x.f.endAsk(a)
		}
	}
	for i := range s.counts {
		s.free(i)
	}
}

// inputs lists the results that the request itself takes.
func (s *stageWork) inputs() []string {
	var handles []string
	for _, stage := range s.x.route.LastStages(s.counts) {
		for _, m := range s.made[stage] {
			handles = append(handles, m.Handle)
		}
	}
	return handles
}

// zoneBytes tells where the inputs of the request itself lie.
func (s *stageWork) zoneBytes() map[string]int64 {
	zones := make(map[string]int64)
	for _, stage := range s.x.route.LastStages(s.counts) {
		for _, zone := range s.zonesOf[stage] {
			zones[zone] += s.x.route.Stages[stage].ResultBytes
		}
	}
	return zones
}
