package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/divider"
	"geraniumline/meter"
	"geraniumline/planner"
)

// stageRunner runs the stages of one request according to its plan.
type stageRunner struct {
	x    *exchange
	plan *planner.Plan
	view poolView
	// pools are the pools that each stage was last delegated to.
	pools []string
	// delegations are the latest delegation of each stage, nil before the first.
	delegations []*delegation
	// mu guards the release of the request's own inputs, which a timer also triggers. generation changes with each
	// attempt, so that the timer of an earlier attempt has no effect.
	mu         sync.Mutex
	generation int
	// restored is set while there are inputs that were computed again for another endpoint than the present one.
	restored bool
}

// stageEvent is the result of one piece of a stage, or the notice that the stage's inputs were fetched.
type stageEvent struct {
	stage      int
	delegation *delegation
	// inputsRead is set if the stage's inputs were fetched; the event then has no piece.
	inputsRead bool
	collector.Deliver
}

func newStageRunner(x *exchange) *stageRunner {
	x.f.mu.Lock()
	homeZone := x.f.selector.HomeZone(x.service.Name, x.req.Parts, x.allowedRegions, time.Now())
	modelTime := x.f.selector.PredictFirstEvent(x.service.Name, x.req.Parts)
	x.f.mu.Unlock()
	s := &stageRunner{
		x:           x,
		view:        poolView{f: x.f, hash: xxhash.Sum64String(x.req.ID), preferredZone: homeZone, allowedRegions: x.allowedRegions, usedPools: make(map[string]string)},
		pools:       make([]string, len(x.route.Stages)),
		delegations: make([]*delegation, len(x.route.Stages)),
		plan: planner.New(planner.Config{
			Origin:             x.f.cfg.Name,
			Request:            x.req.ID,
			Stages:             x.route.Stages,
			PieceCounts:        x.req.PieceCounts,
			Key:                x.req.PieceKey,
			Priority:           x.priority,
			RoutePriority:      x.route.Priority,
			Account:            x.account,
			Regions:            x.allowedRegions,
			Due:                x.due,
			FirstEventDeadline: x.firstEventDeadline,
			HomeZone:           homeZone,
			ModelTime:          modelTime,
			Disabled:           x.f.cfg.Disabled,
		}),
	}
	s.view.rank = s.plan.Rank()
	return s
}

// poolView provides a request's plan with the state of the stage pools as known to this entry.
type poolView struct {
	f *Forwarder
	// hash and preferredZone select among the pools of a service.
	hash          uint64
	preferredZone string
	// rank is the rank of the request's pieces, whose loads apply to it.
	rank int
	// allowedRegions are the regions in which the request's pieces may run; nil allows all.
	allowedRegions []string
	// usedPools maps each service to the pool that the request's pieces were delegated to.
	usedPools map[string]string
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
func (v poolView) Load(service string, rank int) planner.Load {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	now := time.Now()
	pool, used := v.usedPools[service]
	if !used {
		pool = v.pool(service, now)
	}
	return v.f.poolLoad(pool, rank, now)
}

// pool returns the pool to which pieces of a service would be delegated at present. The lock must be held.
func (v poolView) pool(service string, now time.Time) string {
	return v.poolForZone(service, v.preferredZone, 0, now)
}

const (
	// nearSlackCalls and farSlackCalls are how many full calls longer than elsewhere pieces may wait for the pool in
	// their preferred zone: if fewer, or at least, collector.ZoneAffinityBytes would otherwise cross zones. Two calls take
	// up most of the time that an objective leaves beside the calls themselves.
	nearSlackCalls = 0.5
	farSlackCalls  = 2
)

// poolForZone returns the pool for pieces that should run in the given zone; farBytes is the data that crosses zones
// if they run elsewhere. The lock must be held.
func (v poolView) poolForZone(service, zone string, farBytes int64, now time.Time) string {
	calls := nearSlackCalls
	if farBytes >= collector.ZoneAffinityBytes {
		calls = farSlackCalls
	}
	slack := time.Duration(0)
	if s, known := v.f.stageService(service); known {
		slack = time.Duration(calls * float64(s.Stage.CallDuration(s.Stage.Batch)))
	}
	query := divider.Query{Service: service, Seed: v.hash, PreferredZone: zone, ZoneAllowed: v.allows, MaxExtraWait: slack}
	chosen := v.f.divider.Choose(query, func(p divider.Pool) time.Duration {
		return v.f.poolLoad(p.String(), v.rank, now).Wait
	})
	return chosen.String()
}

// allows reports whether the request's pieces may run in a zone.
func (v poolView) allows(zone string) bool {
	return v.allowedRegions == nil || slices.Contains(v.allowedRegions, v.f.cfg.Regions[zone])
}

// poolForGroup returns the pool to which a group of pieces of a service is delegated.
func (v poolView) poolForGroup(service string, g *collector.Group, now time.Time) string {
	zone := g.PreferredZone
	if zone == "" {
		zone = v.preferredZone
	}
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return v.poolForZone(service, zone, g.CrossZoneBytes, now)
}

// checkOverload refuses a request whose first event can't arrive before its caller gives up.
func (s *stageRunner) checkOverload(now time.Time) *FailureError {
	service, over := s.plan.Overloaded(s.view, now)
	if !over {
		return nil
	}
	s.x.f.cfg.Meter.Counter(meter.ForwardOverloadRefusals, service).Inc(1)
	return notRun("overload", s.view.retryDelay(service))
}

// run runs all stages, each as soon as the stages that it depends on are done.
func (s *stageRunner) run(ctx context.Context) *FailureError {
	events := make(chan stageEvent, 1)
	quit := make(chan struct{})
	defer close(quit)
	lastStart := time.NewTimer(time.Until(s.plan.LatestModelStart()))
	defer lastStart.Stop()
	for {
		recheck := s.delegateNext(events, quit)
		if s.plan.Done() {
			return nil
		}
		select {
		case <-recheck:
		case event := <-events:
			if failure := s.handleEvent(event); failure != nil {
				return failure
			}
		case <-s.x.f.ending:
			return notRun("entryStops", shortRetryDelay())
		case <-lastStart.C:
			return notRun("stagesTimedOut", shortRetryDelay())
		case <-ctx.Done():
			return notRun("stagesTimedOut", shortRetryDelay())
		}
	}
}

// delegateNext delegates the stages that are ready. The returned channel fires when stages that wait for others
// should be checked again; it is nil if there are none.
func (s *stageRunner) delegateNext(events chan<- stageEvent, quit <-chan struct{}) <-chan time.Time {
	now := time.Now()
	next, recheck := s.plan.Next(s.view, now)
	for _, stage := range next {
		s.delegateStage(stage, now)
		go forwardResults(stage, s.delegations[stage], events, quit)
	}
	if !recheck {
		return nil
	}
	return time.After(planner.RecheckInterval)
}

// delegateStage delegates the pieces of a stage.
func (s *stageRunner) delegateStage(stage int, now time.Time) {
	g := s.plan.StartStage(stage, s.view, now)
	service := s.view.poolForGroup(s.plan.Service(stage), &g, now)
	s.pools[stage] = service
	s.view.usedPools[s.plan.Service(stage)] = service
	s.delegations[stage] = s.x.f.delegate(service, g)
	s.x.f.logSampled("stage delegated",
		zap.String("request", s.x.req.ID),
		zap.Int("stage", stage),
		zap.String("service", service),
		zap.String("collector", s.x.f.ownerOf(s.delegations[stage])),
		zap.Int("pieces", len(g.Segments)),
		zap.Int("priority", s.x.priority),
		zap.String("zone", g.PreferredZone),
		zap.Duration("dueIn", g.Due.Sub(now)))
}

// forwardResults forwards the results of a delegation as events.
func forwardResults(stage int, a *delegation, events chan<- stageEvent, quit <-chan struct{}) {
	inputsRead := a.inputsRead
	for left := cap(a.results); left > 0; {
		event := stageEvent{stage: stage, delegation: a}
		select {
		case event.Deliver = <-a.results:
			left--
		case <-inputsRead:
			inputsRead = nil
			event.inputsRead = true
		case <-quit:
			return
		}
		select {
		case events <- event:
		case <-quit:
			return
		}
	}
}

// handleEvent handles the result of one piece, or the notice that a stage's inputs were fetched.
func (s *stageRunner) handleEvent(event stageEvent) *FailureError {
	switch {
	case event.delegation != s.delegations[event.stage]:
		// The stage was delegated again because its inputs had expired, so this result is not needed.
		s.freeResult(event.stage, event.Deliver)
		return nil
	case event.inputsRead:
		s.free(s.plan.InputsFetched(event.stage, s.view))
		return nil
	case event.Result.Reason == collector.InputGone && s.recompute(event.stage):
		return nil
	case event.Result.Handle == "":
		return s.fail(event)
	}
	s.free(s.plan.AddResult(event.stage, event.Deliver))
	if s.plan.StageDone(event.stage) {
		s.x.f.logSampled("stage completed",
			zap.String("request", s.x.req.ID),
			zap.Int("stage", event.stage),
			zap.Strings("zones", s.plan.ResultZones(event.stage)),
			zap.Duration("since", time.Since(s.x.startTime)))
	}
	return nil
}

// fail returns the failure for a request whose stage failed. The request itself has not run.
func (s *stageRunner) fail(event stageEvent) *FailureError {
	service := s.plan.Service(event.stage)
	s.x.f.log.Warn("stage failed",
		zap.String("request", s.x.req.ID),
		zap.Int("stage", event.stage),
		zap.Int("piece", event.Segment),
		zap.String("service", service),
		zap.String("collector", s.x.f.ownerOf(event.delegation)),
		zap.Stringer("reason", event.Result.Reason),
		zap.Duration("waits", s.view.Load(service, s.view.rank).Wait))
	switch event.Result.Reason {
	case collector.Evacuated:
		return notRun("stageevacuated", evacuatedRetryDelay)
	case collector.CrashesEndpoints:
		s.x.quarantineContent()
		return notRun("stagecrashed", quarantineRetryDelay)
	}
	return notRun("stage"+event.Result.Reason.String(), s.view.retryDelay(service))
}

// recompute schedules the expired inputs of a stage to be computed again. It reports whether that is possible.
func (s *stageRunner) recompute(stage int) bool {
	ended, freed, possible := s.plan.RecomputeInputs(stage)
	if !possible {
		return false
	}
	s.free(freed)
	for _, i := range ended {
		s.endDelegation(i, i == stage)
	}
	s.x.f.log.Info("recomputing stage results", zap.String("request", s.x.req.ID), zap.Int("stage", stage))
	return true
}

// freeAfterFetch schedules the release of the request's inputs at the time when the engine has fetched them, if their
// pool is short of space. They would otherwise be held until the first event, for which the engine reads the whole
// prompt, while the pool waits for space. The returned function stops the timer; after it returns, the timer frees
// nothing.
func (s *stageRunner) freeAfterFetch() (end func()) {
	after, short := s.plan.FinalFetchDelay(s.view)
	if !short {
		return func() {}
	}
	s.mu.Lock()
	s.generation++
	generation := s.generation
	s.mu.Unlock()
	timer := time.AfterFunc(after, func() { s.freeLastStage(generation) })
	return func() {
		timer.Stop()
		s.mu.Lock()
		s.generation++
		s.mu.Unlock()
	}
}

// freeLastStage frees the results of the last stages, unless the attempt that it was scheduled for is over. It holds
// the lock while it frees them, so that none is computed again meanwhile.
func (s *stageRunner) freeLastStage(generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation == generation {
		s.free(s.plan.FreeFinalResults())
	}
}

// restoreInputs recomputes the request's own inputs if they were already freed for an endpoint whose stream was
// interrupted. Without them the next endpoint would refuse the rest of the stream, and the caller would keep an
// incomplete response.
func (s *stageRunner) restoreInputs(ctx context.Context) *FailureError {
	if !s.plan.FinalResultsFreed() {
		return nil
	}
	now := time.Now()
	firstEventDeadline := s.x.deadline
	if wait := s.x.route.FirstEventTimeout; wait > 0 && now.Add(wait).Before(firstEventDeadline) {
		firstEventDeadline = now.Add(wait)
	}
	ended, freed, possible := s.plan.RecomputeFinalResults(now.Add(s.x.route.Objective), firstEventDeadline)
	if !possible {
		return notRun("stageResultGone", shortRetryDelay())
	}
	s.free(freed)
	for _, i := range ended {
		s.endDelegation(i, false)
	}
	s.x.f.log.Info("recomputing stage results for another endpoint", zap.String("request", s.x.req.ID))
	return s.run(ctx)
}

// prepareInputs provides the request's own inputs for another endpoint, and reports whether it has them.
func (s *stageRunner) prepareInputs(ctx context.Context) bool {
	s.mu.Lock()
	s.generation++
	s.mu.Unlock()
	if !s.plan.FinalResultsFreed() {
		return true
	}
	if !s.plan.MayRecompute() {
		return false
	}
	s.restored = true
	return s.restoreInputs(ctx) == nil
}

// abandonInputs frees the inputs that were computed again for another endpoint. The present one has fetched its own.
func (s *stageRunner) abandonInputs() {
	if s.restored {
		s.freeAll()
		s.plan.RefundRecompute()
	}
	s.restored = false
}

// endDelegation ends the delegation of a stage. Results that have arrived but were not handled yet are kept if keep
// is set, and freed otherwise.
func (s *stageRunner) endDelegation(stage int, keep bool) {
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
			s.freeResult(stage, d)
		default:
			return
		}
	}
}

func (s *stageRunner) freeResult(stage int, d collector.Deliver) {
	if d.Result.Handle == "" {
		return
	}
	s.x.f.freePieces(s.pools[stage], []collector.ResultRef{{Handle: d.Result.Handle, Address: d.Address}})
}

func (s *stageRunner) free(freed []planner.ReleasedResults) {
	for _, f := range freed {
		s.x.f.freePieces(s.pools[f.Stage], f.Results)
	}
}

// freeAll frees all results and ends all delegations of the request.
func (s *stageRunner) freeAll() {
	s.free(s.plan.FreeAll())
	for i := range s.delegations {
		s.endDelegation(i, false)
	}
}
