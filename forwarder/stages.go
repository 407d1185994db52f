package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/divider"
	"geraniumline/planner"
)

// stageWork has the stages of one request done as its plan says.
type stageWork struct {
	x    *exchange
	plan *planner.Plan
	view poolView
	// pools are the names of those that each stage was last asked for at.
	pools []string
	// delegations are the latest for each stage; nil before it.
	delegations []*delegation
	// mu guards the giving back of what the request itself takes, which a timer does too. sent counts the times that the
	// request was sent, by which the timer of an earlier time is known.
	mu   sync.Mutex
	sent int
}

// stageEnd is the result of one piece of any of the request's stages.
type stageEnd struct {
	stage      int
	delegation *delegation
	// read tells that the stage's inputs were fetched; then there is no piece.
	read bool
	collector.Deliver
}

func newStageWork(x *exchange) *stageWork {
	x.f.mu.Lock()
	homeZone := x.f.selector.HomeZone(x.service.Name, x.req.Parts, x.homes, time.Now())
	modelTime := x.f.selector.PredictFirstEvent(x.service.Name, x.req.Parts)
	x.f.mu.Unlock()
	return &stageWork{
		x:           x,
		view:        poolView{f: x.f, draw: xxhash.Sum64String(x.req.ID), near: homeZone, homes: x.homes, asked: make(map[string]string)},
		pools:       make([]string, len(x.route.Stages)),
		delegations: make([]*delegation, len(x.route.Stages)),
		plan: planner.New(planner.Config{
			Origin:             x.f.cfg.Name,
			Request:            x.req.ID,
			Stages:             x.route.Stages,
			PieceCounts:        x.req.PieceCounts,
			Key:                x.req.PieceKey,
			Priority:           x.priority,
			Account:            x.account,
			Regions:            x.homes,
			Due:                x.due,
			FirstEventDeadline: x.firstBy,
			HomeZone:           homeZone,
			ModelTime:          modelTime,
			Off:                x.f.cfg.Off,
		}),
	}
}

// poolView is what this entry knows of the stages' pools that a request's pieces would be asked for at.
type poolView struct {
	f *Forwarder
	// draw and near choose among the pools of a service.
	draw uint64
	near string
	// homes are the regions where the request's pieces may be made, nil where they may be in all.
	homes []string
	// asked are the pools by service that the request's pieces were asked for at.
	asked map[string]string
}

// Pool implements planner.View.
func (v poolView) Pool(service string) (cataloger.StagePool, bool) {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	s, known := v.f.stageService(service)
	if !known {
		return cataloger.StagePool{}, false
	}
	return *s.Stage, true
}

// Load implements planner.View.
func (v poolView) Load(service string) planner.Load {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	now := time.Now()
	pool, asked := v.asked[service]
	if !asked {
		pool = v.pool(service, now)
	}
	return v.f.poolLoad(pool, now)
}

// pool names the pool that pieces of a service are asked for at now. The lock is held.
func (v poolView) pool(service string, now time.Time) string {
	return v.poolNear(service, v.near, 0, now)
}

const (
	// nearCalls and farCalls are how many full calls longer than elsewhere pieces wait for the pool in the zone where they
	// should be made: with less and with more than collector.ZoneAffinityBytes to cross zones. Two calls are most of what an
	// objective leaves beside the calls themselves.
	nearCalls = 0.5
	farCalls  = 2
)

// poolNear names the pool for pieces that should be made in a zone, and of which so many bytes cross zones elsewhere. The lock is
// held.
func (v poolView) poolNear(service, near string, farBytes int64, now time.Time) string {
	calls := nearCalls
	if farBytes >= collector.ZoneAffinityBytes {
		calls = farCalls
	}
	patience := time.Duration(0)
	if s, known := v.f.stageService(service); known {
		patience = time.Duration(calls * float64(s.Stage.CallDuration(s.Stage.Batch)))
	}
	query := divider.Query{Service: service, Seed: v.draw, PreferredZone: near, ZoneAllowed: v.allows, MaxExtraWait: patience}
	chosen := v.f.divider.Choose(query, func(p divider.Pool) time.Duration {
		return v.f.poolLoad(p.String(), now).Wait
	})
	return chosen.String()
}

// allows tells whether the request's pieces may be made in a zone.
func (v poolView) allows(zone string) bool {
	return v.homes == nil || slices.Contains(v.homes, v.f.cfg.Regions[zone])
}

// poolOf names the pool that a group of pieces of a service is asked for at.
func (v poolView) poolOf(service string, g *collector.Group, now time.Time) string {
	near := g.PreferredZone
	if near == "" {
		near = v.near
	}
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return v.poolNear(service, near, g.CrossZoneBytes, now)
}

// checkTime refuses a request whose first event can't come before its caller leaves.
func (s *stageWork) checkTime(now time.Time) *FailureError {
	service, over := s.plan.Overloaded(s.view, now)
	if !over {
		return nil
	}
	return notRun("overload", s.view.comeBack(service))
}

// run has all stages done, each as soon as those before it are.
func (s *stageWork) run() *FailureError {
	ends := make(chan stageEnd, 1)
	quit := make(chan struct{})
	defer close(quit)
	late := time.NewTimer(time.Until(s.plan.LatestModelStart()))
	defer late.Stop()
	for {
		again := s.delegateNext(ends, quit)
		if s.plan.Done() {
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

// delegateNext asks for the pieces of the stages whose turn it is. The channel tells when to look again at those that wait for
// others; it is nil where none does.
func (s *stageWork) delegateNext(ends chan<- stageEnd, quit <-chan struct{}) <-chan time.Time {
	now := time.Now()
	next, again := s.plan.Next(s.view, now)
	for _, stage := range next {
		s.delegateStage(stage, now)
		go pump(stage, s.delegations[stage], ends, quit)
	}
	if !again {
		return nil
	}
	return time.After(planner.RecheckInterval)
}

// delegateStage asks for a stage's pieces.
func (s *stageWork) delegateStage(stage int, now time.Time) {
	g := s.plan.StartStage(stage, s.view, now)
	service := s.view.poolOf(s.plan.Service(stage), &g, now)
	s.pools[stage] = service
	s.view.asked[s.plan.Service(stage)] = service
	s.delegations[stage] = s.x.f.delegate(service, g)
	s.x.f.note("stage asked for",
		zap.String("request", s.x.req.ID),
		zap.Int("stage", stage),
		zap.String("service", service),
		zap.String("collector", s.x.f.ownerOf(s.delegations[stage])),
		zap.Int("pieces", len(g.Segments)),
		zap.String("zone", g.PreferredZone),
		zap.Duration("dueIn", g.Due.Sub(now)))
}

// pump passes a delegation's results on.
func pump(stage int, a *delegation, ends chan<- stageEnd, quit <-chan struct{}) {
	read := a.read
	for left := cap(a.results); left > 0; {
		end := stageEnd{stage: stage, delegation: a}
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

// take takes one piece's result.
func (s *stageWork) take(end stageEnd) *FailureError {
	switch {
	case end.delegation != s.delegations[end.stage]:
		// The stage was asked for anew since, as its inputs had lapsed: this result is of no use.
		s.freeDelivered(end.stage, end.Deliver)
		return nil
	case end.read:
		s.free(s.plan.InputsFetched(end.stage, s.view))
		return nil
	case end.Result.Reason == collector.InputGone && s.remake(end.stage):
		return nil
	case end.Result.Handle == "":
		return s.failed(end)
	}
	s.free(s.plan.AddResult(end.stage, end.Deliver))
	if s.plan.StageDone(end.stage) {
		s.x.f.note("stage done",
			zap.String("request", s.x.req.ID),
			zap.Int("stage", end.stage),
			zap.Strings("zones", s.plan.ResultZones(end.stage)),
			zap.Duration("since", time.Since(s.x.began)))
	}
	return nil
}

// failed ends the request, which has not run.
func (s *stageWork) failed(end stageEnd) *FailureError {
	service := s.plan.Service(end.stage)
	s.x.f.log.Warn("stage failed",
		zap.String("request", s.x.req.ID),
		zap.Int("stage", end.stage),
		zap.Int("piece", end.Segment),
		zap.String("service", service),
		zap.String("collector", s.x.f.ownerOf(end.delegation)),
		zap.Stringer("reason", end.Result.Reason),
		zap.Duration("waits", s.view.Load(service).Wait))
	if end.Result.Reason == collector.Evacuated {
		return notRun("stageevacuated", evacuatedReturn)
	}
	return notRun("stage"+end.Result.Reason.String(), s.view.comeBack(service))
}

// remake has lapsed inputs of a stage made again.
func (s *stageWork) remake(stage int) bool {
	ended, freed, again := s.plan.RecomputeInputs(stage)
	if !again {
		return false
	}
	s.free(freed)
	for _, i := range ended {
		s.endDelegation(i, i == stage)
	}
	s.x.f.log.Info("stage results made again", zap.String("request", s.x.req.ID), zap.Int("stage", stage))
	return true
}

// freeFetched gives the results that the request takes back once the engine has fetched them, if space for them is short: they
// would lie there until its first event, for which the whole prompt is read, while the pool waits for space. The function ends
// that; from then on nothing is given back by it.
func (s *stageWork) freeFetched() (end func()) {
	after, short := s.plan.FinalFetchDelay(s.view)
	if !short {
		return func() {}
	}
	s.mu.Lock()
	s.sent++
	sent := s.sent
	s.mu.Unlock()
	timer := time.AfterFunc(after, func() { s.freeLast(sent) })
	return func() {
		timer.Stop()
		s.mu.Lock()
		s.sent++
		s.mu.Unlock()
	}
}

// freeLast gives the results back, unless the sending that it belongs to is over. It holds the lock until it is done, so that
// nothing is made again meanwhile.
func (s *stageWork) freeLast(sent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sent == sent {
		s.free(s.plan.FreeFinalResults())
	}
}

// restore has the results made again that the request itself takes, where an endpoint that broke off has had them already.
// Without them the next endpoint would refuse the rest of the stream, and its caller would be left with the beginning.
func (s *stageWork) restore() *FailureError {
	if !s.plan.FinalResultsFreed() {
		return nil
	}
	now := time.Now()
	firstBy := s.x.deadline
	if patience := s.x.route.FirstEventTimeout; patience > 0 && now.Add(patience).Before(firstBy) {
		firstBy = now.Add(patience)
	}
	ended, freed, again := s.plan.RecomputeFinalResults(now.Add(s.x.route.Objective), firstBy)
	if !again {
		return notRun("stageResultGone", soon())
	}
	s.free(freed)
	for _, i := range ended {
		s.endDelegation(i, false)
	}
	s.x.f.log.Info("stage results made again for another endpoint", zap.String("request", s.x.req.ID))
	return s.run()
}

// endDelegation ends a stage's delegation. Results that have come and were not taken yet are kept if they are still of use.
func (s *stageWork) endDelegation(stage int, keep bool) {
	a := s.delegations[stage]
	if a == nil {
		return
	}
	s.delegations[stage] = nil
	s.x.f.endDelegation(a)
	for {
		select {
		case d := <-a.results:
			if keep && d.Result.Handle != "" {
				s.free(s.plan.AddResult(stage, d))
				continue
			}
			s.freeDelivered(stage, d)
		default:
			return
		}
	}
}

func (s *stageWork) freeDelivered(stage int, d collector.Deliver) {
	if d.Result.Handle == "" {
		return
	}
	s.x.f.freePieces(s.pools[stage], []collector.ResultRef{{Handle: d.Result.Handle, Address: d.Address}})
}

func (s *stageWork) free(freed []planner.ReleasedResults) {
	for _, f := range freed {
		s.x.f.freePieces(s.pools[f.Stage], f.Results)
	}
}

// freeAll ends the request's stages: nothing of them is needed any more.
func (s *stageWork) freeAll() {
	s.free(s.plan.FreeAll())
	for i := range s.delegations {
		s.endDelegation(i, false)
	}
}
