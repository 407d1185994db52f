package forwarder

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/collector"
)

// maxRemakes is how often a request's lapsed stage results are made again.
const maxRemakes = 2

// stageState is how far one stage of a request is.
type stageState struct {
	// count is the number of its pieces, missing how many have no result.
	count   int
	missing int
	// made and zones hold the results and where they lie, by segment.
	made  []collector.Made
	zones []string
	// ask is the latest for the stage, put at askedAt; nil before it.
	ask     *ask
	askedAt time.Time
	// read is set once endpoints have fetched its inputs.
	read  bool
	freed bool
}

// stageWork is the stages of one request.
type stageWork struct {
	x       *exchange
	states  []stageState
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
	// read tells that the stage's inputs were fetched; then there is no piece.
	read bool
	collector.Deliver
}

func newStageWork(x *exchange) *stageWork {
	s := &stageWork{x: x, states: make([]stageState, len(x.route.Stages))}
	x.f.mu.Lock()
	s.homeZone = x.f.selector.HomeZone(x.service.Name, x.req.Parts)
	s.modelTime = x.f.selector.FirstEvent(x.service.Name, x.req.Parts)
	x.f.mu.Unlock()
	for i := range s.states {
		s.states[i].count = 1 // of a stage that the caller names no number for
		if i < len(x.req.PieceCounts) {
			s.states[i].count = x.req.PieceCounts[i]
		}
		s.states[i].clear()
	}
	return s
}

// clear forgets what the stage has made.
func (t *stageState) clear() {
	t.made = make([]collector.Made, t.count)
	t.zones = make([]string, t.count)
	t.missing = t.count
	t.ask = nil
	t.read = false
	t.freed = false
}

// counts are the numbers of pieces of all stages.
func (s *stageWork) counts() []int {
	counts := make([]int, len(s.states))
	for i := range s.states {
		counts[i] = s.states[i].count
	}
	return counts
}

// lastStart is when the model engine must have the request for its first event to find the caller still there. Results
// that come later are of no use to anybody, and a caller that is told before it leaves can still come back.
func (s *stageWork) lastStart() time.Time { return s.x.firstBy.Add(-s.modelTime) }

// config is what the route says of a stage.
func (s *stageWork) config(stage int) *cataloger.Stage { return &s.x.route.Stages[stage] }

// run has all stages done, each as soon as those before it are.
func (s *stageWork) run() *FailureError {
	ends := make(chan stageEnd, 1)
	quit := make(chan struct{})
	defer close(quit)
	late := time.NewTimer(time.Until(s.lastStart()))
	defer late.Stop()
	for {
		again := s.askReady(ends, quit)
		if s.done() {
			return nil
		}
		select {
		case <-again:
		case end := <-ends:
			if failure := s.take(end); failure != nil {
				return failure
			}
		case <-s.x.f.ending:
			return notRun("entryStops", soon())
		case <-late.C:
			return notRun("stagesTimedOut", soon())
		case <-s.x.ctx.Done():
			return notRun("stagesTimedOut", soon())
		}
	}
}

func (s *stageWork) done() bool {
	for i := range s.states {
		if s.states[i].missing > 0 {
			return false
		}
	}
	return true
}

// askReady asks for the pieces of each stage whose inputs are all made, unless they would only lie there until other
// stages are done. The channel tells when to look again at those; it is nil where none waits.
func (s *stageWork) askReady(ends chan<- stageEnd, quit <-chan struct{}) <-chan time.Time {
	now := time.Now()
	var again <-chan time.Time
	for i := range s.states {
		t := &s.states[i]
		if t.ask != nil || t.count == 0 || !s.ready(i) {
			continue
		}
		if s.tooEarly(i, now) {
			again = time.After(lookAgain)
			continue
		}
		s.askFor(i, now)
		go pump(i, t.ask, ends, quit)
	}
	return again
}

// askFor asks for a stage's pieces.
func (s *stageWork) askFor(stage int, now time.Time) {
	g := s.group(stage)
	t := &s.states[stage]
	t.ask = s.x.f.askPieces(s.config(stage).Service, g)
	t.askedAt = now
	s.x.f.note("stage asked for",
		zap.String("request", s.x.req.ID),
		zap.Int("stage", stage),
		zap.String("service", s.config(stage).Service),
		zap.String("collector", s.x.f.ownerOf(t.ask)),
		zap.Int("pieces", len(g.Segments)),
		zap.String("zone", g.Zone),
		zap.Duration("dueIn", g.Due.Sub(now)))
}

// pump passes an ask's results on.
func pump(stage int, a *ask, ends chan<- stageEnd, quit <-chan struct{}) {
	read := a.read
	for left := cap(a.results); left > 0; {
		end := stageEnd{stage: stage, ask: a}
		select {
		case end.Deliver = <-a.results:
			left--
		case <-read:
			read = nil
			end.read = true
		case <-quit:
			return
		}
		select {
		case ends <- end:
		case <-quit:
			return
		}
	}
}

func (s *stageWork) ready(stage int) bool {
	for _, before := range s.config(stage).After {
		if s.states[before].missing > 0 {
			return false
		}
	}
	return true
}

func (s *stageWork) group(stage int) collector.Group {
	x := s.x
	g := collector.Group{
		ID:          collector.GroupID{Origin: x.f.cfg.Name, Request: x.req.ID, Stage: stage},
		Due:         x.due.Add(-s.modelTime - s.usualAfter(stage)),
		Deadline:    s.lastStart().Add(-s.leastAfter(stage)),
		Priority:    x.priority,
		Account:     x.account,
		ResultBytes: s.config(stage).ResultBytes,
		Holding:     s.holding(stage),
	}
	g.Zone, g.FarBytes = s.wantedZone(stage)
	for n, made := range s.states[stage].made {
		if made.Handle == "" {
			g.Segments = append(g.Segments, n)
		}
	}
	after := s.config(stage).After
	g.Latest = g.Due
	if len(after) == 0 {
		g.Key = x.req.PieceKey
		g.Latest = x.due.Add(-s.modelTime - s.leastAfter(stage))
	}
	for _, before := range after {
		for _, made := range s.states[before].made {
			g.Inputs = append(g.Inputs, made.Handle)
			g.InputBytes += s.config(before).ResultBytes
		}
		g.TellRead = g.TellRead || s.x.f.shortOfSpace(s.config(before).Service)
	}
	return g
}

// take takes one piece's result.
func (s *stageWork) take(end stageEnd) *FailureError {
	t := &s.states[end.stage]
	made := collector.Made{Handle: end.Result.Handle, Address: end.Address}
	switch {
	case end.ask != t.ask:
		// The stage was asked for anew since, as its inputs had lapsed: this result is of no use.
		s.freeMade(end.stage, made)
		return nil
	case end.read:
		// Its inputs are of no more use unless a piece fails, one in some hundred; they are then made again.
		t.read = true
		s.freeInputs(end.stage)
		return nil
	case end.Result.Reason == collector.InputGone && s.remake(end.stage):
		return nil
	case end.Result.Handle == "":
		return s.failed(end)
	}
	s.keep(end.stage, end.Deliver)
	if t.missing == 0 {
		s.x.f.note("stage done",
			zap.String("request", s.x.req.ID),
			zap.Int("stage", end.stage),
			zap.Strings("zones", t.zones),
			zap.Duration("since", time.Since(s.x.began)))
		s.freeInputs(end.stage)
	}
	return nil
}

// failed ends the request, which has not run.
func (s *stageWork) failed(end stageEnd) *FailureError {
	service := s.config(end.stage).Service
	s.x.f.log.Warn("stage failed",
		zap.String("request", s.x.req.ID),
		zap.Int("stage", end.stage),
		zap.Int("piece", end.Segment),
		zap.String("service", service),
		zap.String("collector", s.x.f.ownerOf(end.ask)),
		zap.Stringer("reason", end.Result.Reason),
		zap.Duration("waits", s.x.f.waitOf(service)))
	return notRun("stage"+end.Result.Reason.String(), s.x.f.comeBack(service))
}

// remake has a stage's inputs made again that have lapsed, and then the stage itself. Without it a request that waited
// for longer than results are kept would fail, although there is time left.
func (s *stageWork) remake(stage int) bool {
	if s.remakes >= maxRemakes {
		return false
	}
	s.remakes++
	s.askAgain(stage)
	s.resetInputs(stage)
	s.x.f.log.Info("stage results made again", zap.String("request", s.x.req.ID), zap.Int("stage", stage))
	return true
}

// resetInputs has the inputs of a stage made anew, and theirs where those were given back already.
func (s *stageWork) resetInputs(stage int) {
	for _, before := range s.config(stage).After {
		s.reset(before)
		if slices.ContainsFunc(s.config(before).After, func(i int) bool { return s.states[i].freed }) {
			s.resetInputs(before)
		}
	}
}

// askAgain withdraws a stage's ask and keeps what it has made, so that only the rest is asked for anew.
func (s *stageWork) askAgain(stage int) {
	t := &s.states[stage]
	if t.ask != nil {
		s.x.f.endAsk(t.ask)
		s.drain(t.ask, func(d collector.Deliver) {
			if d.Result.Handle != "" && t.made[d.Segment].Handle == "" {
				s.keep(stage, d)
			}
		})
	}
	t.ask = nil
	t.read = false
}

// keep takes a piece's result.
func (s *stageWork) keep(stage int, d collector.Deliver) {
	t := &s.states[stage]
	t.made[d.Segment] = collector.Made{Handle: d.Result.Handle, Address: d.Address}
	t.zones[d.Segment] = d.Zone
	t.missing--
}

// drain hands out the results of an ended ask that were not taken yet.
func (s *stageWork) drain(a *ask, take func(d collector.Deliver)) {
	for {
		select {
		case d := <-a.results:
			take(d)
		default:
			return
		}
	}
}

// reset withdraws a stage and forgets what it has made.
func (s *stageWork) reset(stage int) {
	s.withdraw(stage)
	s.states[stage].clear()
}

// withdraw ends a stage's ask and frees its results, those too that have come and were not taken yet.
func (s *stageWork) withdraw(stage int) {
	t := &s.states[stage]
	s.free(stage)
	if t.ask == nil {
		return
	}
	s.x.f.endAsk(t.ask)
	s.drain(t.ask, func(d collector.Deliver) {
		s.freeMade(stage, collector.Made{Handle: d.Result.Handle, Address: d.Address})
	})
}

// freeInputs frees the results that only a stage which is done has needed.
func (s *stageWork) freeInputs(stage int) {
	for _, before := range s.config(stage).After {
		if !s.needed(before) {
			s.free(before)
		}
	}
}

// needed tells whether a stage that is not done takes the results of this one.
func (s *stageWork) needed(stage int) bool {
	for i, next := range s.x.route.Stages {
		t := &s.states[i]
		if t.missing > 0 && !t.read && slices.Contains(next.After, stage) {
			return true
		}
	}
	return false
}

func (s *stageWork) free(stage int) {
	if t := &s.states[stage]; !t.freed {
		t.freed = true
		s.freeMade(stage, t.made...)
	}
}

func (s *stageWork) freeMade(stage int, made ...collector.Made) {
	made = slices.DeleteFunc(slices.Clone(made), func(m collector.Made) bool { return m.Handle == "" })
	s.x.f.freePieces(s.config(stage).Service, made)
}

// freeAll ends the request's stages: nothing of them is needed any more.
func (s *stageWork) freeAll() {
	for i := range s.states {
		s.withdraw(i)
	}
}

// freeLast frees the results that the request itself took.
func (s *stageWork) freeLast() {
	for _, stage := range s.x.route.LastStages(s.counts()) {
		s.free(stage)
	}
}

// inputs lists the results that the request itself takes.
func (s *stageWork) inputs() []string {
	var handles []string
	for _, stage := range s.x.route.LastStages(s.counts()) {
		for _, m := range s.states[stage].made {
			handles = append(handles, m.Handle)
		}
	}
	return handles
}
