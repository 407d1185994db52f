package experimenter

import (
	"fmt"
	"time"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/regulator"
)

// faultState is the state that faults cause at an endpoint. The zero value means no fault.
type faultState struct {
	down bool
	// refuses is set if the endpoint rejects all calls. notice is attached to its answers.
	refuses bool
	notice  regulator.Notice
	// slowFactor multiplies the duration of work; 0 counts as 1.
	slowFactor float64
}

func (c *faultState) slowed(d time.Duration) time.Duration {
	if c.slowFactor <= 0 {
		return d
	}
	return time.Duration(c.slowFactor * float64(d))
}

// storedResult is a result that is stored at the endpoint that computed it.
type storedResult struct {
	endpoint *stageEndpoint
	bytes    int64
	freed    bool
}

// stageEndpoint is an endpoint that processes stages. It runs one call at a time and queues others.
type stageEndpoint struct {
	faultState
	sim       *simulation
	pool      *poolModel
	id        string
	zone      string
	queue     []func()
	busy      bool
	usedBytes int64
}

// call queues a call or refuses it. answer is called with the outcome.
func (m *stageEndpoint) call(call collector.SendCall, answer func(collector.CallOutcome, []collector.PieceResult)) {
	if m.down {
		answer(collector.Unreachable, nil)
		return
	}
	if m.refuses {
		m.pool.result.CallsRefused++
		answer(collector.Refused, nil)
		return
	}
	if len(m.queue) > m.pool.stage.Queue {
		m.pool.result.CallsRefused++
		answer(collector.Refused, nil)
		return
	}
	m.queue = append(m.queue, func() { m.process(call, answer) })
	m.startNext()
}

func (m *stageEndpoint) startNext() {
	if m.busy || len(m.queue) == 0 {
		return
	}
	start := m.queue[0]
	m.queue = m.queue[1:]
	m.busy = true
	start()
}

// process fetches the inputs of a call, computes the results and answers.
func (m *stageEndpoint) process(call collector.SendCall, answer func(collector.CallOutcome, []collector.PieceResult)) {
	results := make([]collector.PieceResult, len(call.Pieces))
	duration := m.pool.stage.CallOverhead
	fetchedBytes := int64(0)
	for i := range call.Pieces {
		results[i] = m.processPiece(&call.Pieces[i], &duration, &fetchedBytes)
	}
	duration = m.slowed(duration) + m.pool.stage.FetchTime(fetchedBytes)
	m.pool.result.Calls++
	m.pool.result.Pieces += len(call.Pieces)
	m.pool.result.BusySeconds += duration.Seconds()
	m.sim.schedule(duration, func() {
		m.busy = false
		if m.down {
			answer(collector.Broken, nil)
			return
		}
		for _, r := range results {
			if r.Handle != "" {
				m.sim.schedule(m.pool.stage.ResultTTL, func() { m.sim.freeResult(r.Handle) })
			}
		}
		answer(collector.Answered, results)
		m.startNext()
	})
}

// processPiece computes one piece when its call starts, and adds its time to duration and its input bytes to fetchedBytes.
func (m *stageEndpoint) processPiece(p *collector.Piece, duration *time.Duration, fetchedBytes *int64) collector.PieceResult {
	r := m.sim.requests[p.Request]
	if m.sim.now.After(p.Deadline) || r == nil {
		return collector.PieceResult{Reason: collector.Late}
	}
	for _, handle := range p.Inputs {
		input, ok := m.sim.results[handle]
		if !ok || input.freed {
			m.pool.result.InputsMissing++
			return collector.PieceResult{Reason: collector.InputGone}
		}
		*fetchedBytes += input.bytes
		m.sim.recordTransfer(input.endpoint.zone, m.zone, input.bytes)
	}
	stage := &r.kind.Stages[p.Stage]
	if m.usedBytes+stage.ResultBytes > m.pool.stage.ResultSpaceBytes {
		m.pool.result.NoSpace++
		return collector.PieceResult{Reason: collector.NoSpace}
	}
	work := time.Duration(float64(m.pool.stage.PieceTime) * float64(stage.WorkPercent) / 100)
	*duration += work
	if m.sim.random.Int64N(1000) < m.pool.cfg.FailuresPerMille {
		return collector.PieceResult{Reason: collector.Failed}
	}
	m.usedBytes += stage.ResultBytes
	m.sim.lastHandle++
	handle := fmt.Sprintf("%s/%d", m.id, m.sim.lastHandle)
	m.sim.results[handle] = &storedResult{endpoint: m, bytes: stage.ResultBytes}
	return collector.PieceResult{Handle: handle}
}

// poolModel holds the endpoints of one stage's service.
type poolModel struct {
	cfg       *Pool
	stage     cataloger.StagePool
	endpoints []*stageEndpoint
	byAddr    map[string]*stageEndpoint
	result    *PoolResult
}

// engine is a model engine. It reads prompts one after the other and runs requests concurrently.
type engine struct {
	faultState
	sim      *simulation
	id, zone string
	// promptsReadAt is the time when all prompts accepted so far have been read.
	promptsReadAt time.Time
	running       int
	waiting       []func()
	// cached holds the shared prompt parts, most recently used last.
	cached []cachedPart
}

type cachedPart struct {
	id     uint64
	tokens int64
}

// start runs a request, or queues it if all slots are in use. onFirstEvent is called at the first event, onEnd at the last.
func (e *engine) start(r *request, onFirstEvent, onEnd func()) {
	start := func() {
		e.running++
		promptTokens := r.kind.OwnTokens
		if !e.useCached(r.subject, r.kind.SharedTokens) {
			promptTokens += r.kind.SharedTokens
			e.sim.result.SharedTokensRead += r.kind.SharedTokens
		}
		readStart := e.sim.now
		if e.promptsReadAt.After(readStart) {
			readStart = e.promptsReadAt
		}
		duration := e.slowed(millis(promptTokens) / time.Duration(e.sim.scenario.Model.TokensPerMilli))
		e.promptsReadAt = readStart.Add(duration)
		step := e.slowed(micros(e.sim.scenario.Model.StepMicros))
		e.sim.schedule(e.promptsReadAt.Sub(e.sim.now)+step, onFirstEvent)
		e.sim.schedule(e.promptsReadAt.Sub(e.sim.now)+step*time.Duration(r.kind.Events), func() {
			e.running--
			onEnd()
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
		})
	}
	if e.running >= int(e.sim.scenario.Model.Slots) {
		e.waiting = append(e.waiting, start)
		return
	}
	start()
}

// useCached reports whether a shared part is cached. It adds the part to the cache and evicts the least recently used ones.
func (e *engine) useCached(id uint64, tokens int64) bool {
	found := false
	total := tokens
	cached := e.cached[:0]
	for _, part := range e.cached {
		if part.id == id {
			found = true
			continue
		}
		cached = append(cached, part)
		total += part.tokens
	}
	for len(cached) > 0 && total > e.sim.scenario.Model.CacheTokens {
		total -= cached[0].tokens
		cached = cached[1:]
	}
	cached = append(cached, cachedPart{id: id, tokens: tokens})
	e.cached = cached
	return found
}
