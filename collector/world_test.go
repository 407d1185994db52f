package collector

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"geraniumline/cataloger"
	"geraniumline/registrar"
)

var start = time.Unix(1000, 0)

// simulation drives a pool in simulated time. Calls take the configured time multiplied by the endpoint's slowness.
type simulation struct {
	// pausedUntil is the end of a pause of all endpoints, which answer their calls after it.
	pausedUntil time.Time
	pool        *Pool
	now         time.Time
	pending     eventQueue
	// slowness holds factors by endpoint; a silent endpoint never answers.
	slowness map[string]float64
	silent   map[string]bool
	// outcomes makes calls to endpoints end without results.
	outcomes map[string]CallOutcome
	// crashing holds the requests whose pieces crash the endpoint of each call with them.
	crashing map[string]bool
	// calls holds all calls sent, delivered all deliveries, deliveredAt the time of each group's last delivery.
	calls       []SendCall
	delivered   []Deliver
	deliveredAt map[GroupID]time.Time
	freed       []FreeResults
	// fetched holds the groups whose inputs were reported as fetched.
	fetched []GroupID
	// freeAfter is how long after its delivery a result is released; if below 0, it never is.
	freeAfter time.Duration
	sequence  int
	// busyUntil is when each endpoint finishes its calls from all pools; nil if there is only one pool.
	busyUntil map[string]time.Time
}

type scheduledEvent struct {
	at       time.Time
	sequence int
	event    Event
}

type eventQueue []scheduledEvent

func (s eventQueue) Len() int { return len(s) }
func (s eventQueue) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].sequence < s[j].sequence
	}
	return s[i].at.Before(s[j].at)
}
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(scheduledEvent)) }
func (s *eventQueue) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func defaultStage() cataloger.StagePool {
	return cataloger.StagePool{
		Slots:            1,
		Queue:            2,
		Batch:            8,
		CallOverhead:     150 * time.Millisecond,
		PieceTime:        16 * time.Millisecond,
		ResultSpaceBytes: 36_000_000,
		ResultTTL:        4 * time.Second,
	}
}

func newSimulation(stage cataloger.StagePool, n int) *simulation {
	w := &simulation{
		pool:        New(Config{Service: "encode", Stage: stage}),
		now:         start,
		slowness:    make(map[string]float64),
		silent:      make(map[string]bool),
		outcomes:    make(map[string]CallOutcome),
		crashing:    make(map[string]bool),
		deliveredAt: make(map[GroupID]time.Time),
		freeAfter:   300 * time.Millisecond,
	}
	var all []registrar.Endpoint
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		all = append(all, registrar.Endpoint{ID: id, Address: id + ":80", Zone: fmt.Sprintf("z%d", i%3), Started: start})
	}
	w.reduce(EndpointsChanged{Endpoints: all})
	return w
}

func (w *simulation) schedule(at time.Time, ev Event) {
	w.sequence++
	heap.Push(&w.pending, scheduledEvent{at: at, sequence: w.sequence, event: ev})
}

func (w *simulation) reduce(ev Event) {
	for _, effect := range w.pool.Reduce(ev, w.now) {
		switch e := effect.(type) {
		case SendCall:
			w.call(e)
		case Deliver:
			w.delivered = append(w.delivered, e)
			w.deliveredAt[e.ID] = w.now
			if e.Result.Handle != "" && w.freeAfter >= 0 {
				ref := ResultRef{Handle: e.Result.Handle, Address: e.Address}
				w.schedule(w.now.Add(w.freeAfter), ResultsReleased{Results: []ResultRef{ref}})
			}
		case InputsFetched:
			w.fetched = append(w.fetched, e.ID)
		case FreeResults:
			w.freed = append(w.freed, e)
			var refs []ResultRef
			for _, h := range e.Handles {
				refs = append(refs, ResultRef{Handle: h, Address: e.Address})
			}
			w.schedule(w.now.Add(2*time.Millisecond), FreeCallEnded{Results: refs})
		}
	}
}

func (w *simulation) call(e SendCall) {
	w.calls = append(w.calls, e)
	if answeredAt := w.pausedUntil.Add(w.pool.cfg.Stage.CallDuration(len(e.Pieces))); w.now.Before(w.pausedUntil) {
		if answeredAt.After(w.now.Add(e.Timeout)) {
			w.schedule(w.now.Add(e.Timeout), CallEnded{Call: e.Call, Outcome: Broken})
			return
		}
		results := make([]PieceResult, len(e.Pieces))
		for i := range results {
			results[i].Handle = fmt.Sprint(e.Call, i)
		}
		w.schedule(answeredAt, CallEnded{Call: e.Call, Outcome: Answered, Results: results})
		return
	}
	if w.silent[e.Endpoint.ID] {
		w.schedule(w.now.Add(e.Timeout), CallEnded{Call: e.Call, Outcome: Broken})
		return
	}
	if end, fails := w.outcomes[e.Endpoint.ID]; fails {
		w.schedule(w.now.Add(2*time.Millisecond), CallEnded{Call: e.Call, Outcome: end})
		return
	}
	took := w.pool.cfg.Stage.CallDuration(len(e.Pieces))
	if slices.ContainsFunc(e.Pieces, func(p Piece) bool { return w.crashing[p.Request] }) {
		w.schedule(w.now.Add(took), CallEnded{Call: e.Call, Outcome: Crashed})
		return
	}
	if factor, slow := w.slowness[e.Endpoint.ID]; slow {
		took = time.Duration(factor * float64(took))
	}
	if w.busyUntil != nil {
		begins := w.now
		if w.busyUntil[e.Endpoint.ID].After(begins) {
			begins = w.busyUntil[e.Endpoint.ID]
		}
		w.busyUntil[e.Endpoint.ID] = begins.Add(took)
		took = w.busyUntil[e.Endpoint.ID].Sub(w.now)
	}
	results := make([]PieceResult, len(e.Pieces))
	for i, p := range e.Pieces {
		results[i].Handle = fmt.Sprintf("%s/%d-%s-%d-%d", e.Endpoint.Address, e.Call, p.Request, p.Stage, p.Segment)
	}
	w.schedule(w.now.Add(took), CallEnded{Call: e.Call, Outcome: Answered, Results: results})
}

// run advances the time to until after the start, with a tick every 10 ms.
func (w *simulation) run(until time.Duration) {
	end := start.Add(until)
	for w.now.Before(end) {
		tick := w.now.Add(10 * time.Millisecond)
		for len(w.pending) > 0 && !w.pending[0].at.After(tick) {
			first := heap.Pop(&w.pending).(scheduledEvent)
			w.now = first.at
			w.reduce(first.event)
		}
		w.now = tick
		w.reduce(Ticked{})
	}
}

func (w *simulation) at(d time.Duration) time.Time { return start.Add(d) }

// arrive schedules the arrival of a group of n pieces. If change is not nil, it adjusts the group.
func (w *simulation) arrive(at time.Duration, request string, n int, change func(g *Group)) GroupID {
	g := Group{
		ID:          GroupID{Origin: "entry", Request: request},
		Key:         "key-" + request,
		Due:         w.at(at + 1500*time.Millisecond),
		Deadline:    w.at(at + 10*time.Second),
		ResultBytes: 8_000,
	}
	for s := range n {
		g.Segments = append(g.Segments, s)
	}
	if change != nil {
		change(&g)
	}
	w.schedule(w.at(at), GroupArrived{Group: g})
	return g.ID
}

// resultCount returns the number of results of a group.
func (w *simulation) resultCount(id GroupID) int {
	n := 0
	for _, d := range w.delivered {
		if d.ID == id && d.Result.Handle != "" {
			n++
		}
	}
	return n
}

// reasons returns the reasons why pieces of a group have no result.
func (w *simulation) reasons(id GroupID) []Reason {
	var list []Reason
	for _, d := range w.delivered {
		if d.ID == id && d.Result.Handle == "" {
			list = append(list, d.Result.Reason)
		}
	}
	return list
}
