package experimenter

import (
	"fmt"
	"time"

	"geraniumline/cataloger"
	"geraniumline/collector"
	"geraniumline/regulator"
)

// condition is what faults do to an endpoint.
type condition struct {
	gone bool
	// refuses is set where it turns all away, notice is what it says in its answers.
	refuses bool
	notice  regulator.Notice
	// factor is by how much its work takes longer; 0 counts as 1.
	factor float64
}

func (c *condition) slowed(d time.Duration) time.Duration {
	if c.factor <= 0 {
		return d
	}
	return time.Duration(c.factor * float64(d))
}

// stored is a result at its maker.
type stored struct {
	maker *maker
	bytes int64
	freed bool
}

// maker is an endpoint that works on stages: one call at a time, and a queue.
type maker struct {
	condition
	w       *world
	pool    *poolModel
	id      string
	zone    string
	waiting []func()
	working bool
	used    int64
}

// call takes a call; answer is called with its end.
func (m *maker) call(e collector.SendCall, answer func(collector.CallOutcome, []collector.PieceResult)) {
	if m.gone {
		answer(collector.Unreachable, nil)
		return
	}
	if m.refuses {
		m.pool.result.CallsRefused++
		answer(collector.Refused, nil)
		return
	}
	if len(m.waiting) > m.pool.stage.Queue {
		m.pool.result.CallsRefused++
		answer(collector.Refused, nil)
		return
	}
	m.waiting = append(m.waiting, func() { m.work(e, answer) })
	m.next()
}

func (m *maker) next() {
	if m.working || len(m.waiting) == 0 {
		return
	}
	begin := m.waiting[0]
	m.waiting = m.waiting[1:]
	m.working = true
	begin()
}

// work fetches inputs, works, and answers.
func (m *maker) work(e collector.SendCall, answer func(collector.CallOutcome, []collector.PieceResult)) {
	results := make([]collector.PieceResult, len(e.Pieces))
	took := m.pool.stage.CallOverhead
	fetched := int64(0)
	for i := range e.Pieces {
		results[i] = m.piece(&e.Pieces[i], &took, &fetched)
	}
	took = m.slowed(took) + m.pool.stage.FetchTime(fetched)
	m.pool.result.Calls++
	m.pool.result.Pieces += len(e.Pieces)
	m.pool.result.BusySeconds += took.Seconds()
	m.w.after(took, func() {
		m.working = false
		if m.gone {
			answer(collector.Broken, nil)
			return
		}
		for _, r := range results {
			if r.Handle != "" {
				m.w.after(m.pool.stage.ResultTTL, func() { m.w.free(r.Handle) })
			}
		}
		answer(collector.Answered, results)
		m.next()
	})
}

// piece decides one piece at the turn of its call, adds to the call's time and to what is fetched.
func (m *maker) piece(p *collector.Piece, took *time.Duration, fetched *int64) collector.PieceResult {
	r := m.w.requests[p.Request]
	if m.w.now.After(p.Deadline) || r == nil {
		return collector.PieceResult{Reason: collector.Late}
	}
	for _, input := range p.Inputs {
		in, known := m.w.results[input]
		if !known || in.freed {
			m.pool.result.InputsMissing++
			return collector.PieceResult{Reason: collector.InputGone}
		}
		*fetched += in.bytes
		m.w.cross(in.maker.zone, m.zone, in.bytes)
	}
	cfg := &r.kind.Stages[p.Stage]
	if m.used+cfg.ResultBytes > m.pool.stage.ResultSpaceBytes {
		m.pool.result.NoSpace++
		return collector.PieceResult{Reason: collector.NoSpace}
	}
	work := time.Duration(float64(m.pool.stage.PieceTime) * float64(cfg.WorkPercent) / 100)
	*took += work
	if m.w.random.Int64N(1000) < m.pool.cfg.FailuresPerMille {
		return collector.PieceResult{Reason: collector.Failed}
	}
	m.used += cfg.ResultBytes
	m.w.lastHandle++
	handle := fmt.Sprintf("%s/%d", m.id, m.w.lastHandle)
	m.w.results[handle] = &stored{maker: m, bytes: cfg.ResultBytes}
	return collector.PieceResult{Handle: handle}
}

// poolModel is the endpoints of one stage's service.
type poolModel struct {
	cfg    *Pool
	stage  cataloger.StagePool
	makers []*maker
	byAddr map[string]*maker
	result *PoolResult
}

// engine is a model engine: it reads one prompt after the other and runs requests beside that.
type engine struct {
	condition
	w        *world
	id, zone string
	// readFree is when the prompts before are read.
	readFree time.Time
	running  int
	waiting  []func()
	// kept are the shared parts in the order of their use, the latest last.
	kept []keptPart
}

type keptPart struct {
	id     uint64
	tokens int64
}

// take runs a request; first is called with its first event, end at its last.
func (e *engine) take(r *request, first, end func()) {
	begin := func() {
		e.running++
		read := r.kind.OwnTokens
		if !e.holds(r.subject, r.kind.SharedTokens) {
			read += r.kind.SharedTokens
			e.w.result.SharedTokensRead += r.kind.SharedTokens
		}
		began := e.w.now
		if e.readFree.After(began) {
			began = e.readFree
		}
		took := e.slowed(millis(read) / time.Duration(e.w.scenario.Model.TokensPerMilli))
		e.readFree = began.Add(took)
		step := e.slowed(micros(e.w.scenario.Model.StepMicros))
		e.w.after(e.readFree.Sub(e.w.now)+step, first)
		e.w.after(e.readFree.Sub(e.w.now)+step*time.Duration(r.kind.Events), func() {
			e.running--
			end()
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
		})
	}
	if e.running >= int(e.w.scenario.Model.Slots) {
		e.waiting = append(e.waiting, begin)
		return
	}
	begin()
}

// holds tells whether the engine keeps the shared part, and keeps it from now on.
func (e *engine) holds(id uint64, tokens int64) bool {
	found := false
	total := tokens
	kept := e.kept[:0]
	for _, part := range e.kept {
		if part.id == id {
			found = true
			continue
		}
		kept = append(kept, part)
		total += part.tokens
	}
	for len(kept) > 0 && total > e.w.scenario.Model.CacheTokens {
		total -= kept[0].tokens
		kept = kept[1:]
	}
	kept = append(kept, keptPart{id: id, tokens: tokens})
	e.kept = kept
	return found
}
