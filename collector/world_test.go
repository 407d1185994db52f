package collector

import (
	"container/heap"
	"fmt"
	"time"

	"geraniumline/cataloger"
	"geraniumline/registrar"
)

var start = time.Unix(1000, 0)

// world drives a pool in model time: calls take what the configuration says, times the endpoint's slowness.
type world struct {
	pool *Pool
	now  time.Time
	todo schedule
	// slow are factors by endpoint; a silent endpoint never answers.
	slow   map[string]float64
	silent map[string]bool
	// ends lets endpoints answer otherwise than with results.
	ends map[string]CallOutcome
	// calls are all calls sent, got all deliveries.
	calls []SendCall
	got   []Deliver
	gotAt map[GroupID]time.Time
	freed []FreeResults
	// read are the groups whose inputs were told as fetched.
	read []GroupID
	// keepFor is how long a result is held before it is freed; below 0 it never is.
	keepFor time.Duration
	order   int
	// busy tells until when each endpoint works on calls of any pool; nil where the pool is alone.
	busy map[string]time.Time
}

type planned struct {
	at    time.Time
	order int
	event Event
}

type schedule []planned

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].order < s[j].order
	}
	return s[i].at.Before(s[j].at)
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(planned)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func usualStage() cataloger.StagePool {
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

func newWorld(stage cataloger.StagePool, n int) *world {
	w := &world{
		pool:    New(Config{Service: "encode", Stage: stage}),
		now:     start,
		slow:    make(map[string]float64),
		silent:  make(map[string]bool),
		ends:    make(map[string]CallOutcome),
		gotAt:   make(map[GroupID]time.Time),
		keepFor: 300 * time.Millisecond,
	}
	var all []registrar.Endpoint
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		all = append(all, registrar.Endpoint{ID: id, Address: id + ":80", Zone: fmt.Sprintf("z%d", i%3), Started: start})
	}
	w.reduce(EndpointsChanged{Endpoints: all})
	return w
}

func (w *world) plan(at time.Time, ev Event) {
	w.order++
	heap.Push(&w.todo, planned{at: at, order: w.order, event: ev})
}

func (w *world) reduce(ev Event) {
	for _, effect := range w.pool.Reduce(ev, w.now) {
		switch e := effect.(type) {
		case SendCall:
			w.call(e)
		case Deliver:
			w.got = append(w.got, e)
			w.gotAt[e.ID] = w.now
			if e.Result.Handle != "" && w.keepFor >= 0 {
				made := ResultRef{Handle: e.Result.Handle, Address: e.Address}
				w.plan(w.now.Add(w.keepFor), ResultsReleased{Results: []ResultRef{made}})
			}
		case InputsFetched:
			w.read = append(w.read, e.ID)
		case FreeResults:
			w.freed = append(w.freed, e)
			var made []ResultRef
			for _, h := range e.Handles {
				made = append(made, ResultRef{Handle: h, Address: e.Address})
			}
			w.plan(w.now.Add(2*time.Millisecond), FreeCallEnded{Results: made})
		}
	}
}

func (w *world) call(e SendCall) {
	w.calls = append(w.calls, e)
	if w.silent[e.Endpoint.ID] {
		w.plan(w.now.Add(e.Timeout), CallEnded{Call: e.Call, Outcome: Broken})
		return
	}
	if end, fails := w.ends[e.Endpoint.ID]; fails {
		w.plan(w.now.Add(2*time.Millisecond), CallEnded{Call: e.Call, Outcome: end})
		return
	}
	took := w.pool.cfg.Stage.CallDuration(len(e.Pieces))
	if factor, slow := w.slow[e.Endpoint.ID]; slow {
		took = time.Duration(factor * float64(took))
	}
	if w.busy != nil {
		begins := w.now
		if w.busy[e.Endpoint.ID].After(begins) {
			begins = w.busy[e.Endpoint.ID]
		}
		w.busy[e.Endpoint.ID] = begins.Add(took)
		took = w.busy[e.Endpoint.ID].Sub(w.now)
	}
	results := make([]PieceResult, len(e.Pieces))
	for i, p := range e.Pieces {
		results[i].Handle = fmt.Sprintf("%s/%d-%s-%d-%d", e.Endpoint.Address, e.Call, p.Request, p.Stage, p.Segment)
	}
	w.plan(w.now.Add(took), CallEnded{Call: e.Call, Outcome: Answered, Results: results})
}

// run lets time pass, with a tick every 10 ms.
func (w *world) run(until time.Duration) {
	end := start.Add(until)
	for w.now.Before(end) {
		tick := w.now.Add(10 * time.Millisecond)
		for len(w.todo) > 0 && !w.todo[0].at.After(tick) {
			next := heap.Pop(&w.todo).(planned)
			w.now = next.at
			w.reduce(next.event)
		}
		w.now = tick
		w.reduce(Ticked{})
	}
}

func (w *world) at(d time.Duration) time.Time { return start.Add(d) }

// arrive plans a group of n pieces that is due after d.
func (w *world) arrive(at time.Duration, request string, n int, change func(g *Group)) GroupID {
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
	w.plan(w.at(at), GroupArrived{Group: g})
	return g.ID
}

// made counts the results of a group.
func (w *world) made(id GroupID) int {
	n := 0
	for _, d := range w.got {
		if d.ID == id && d.Result.Handle != "" {
			n++
		}
	}
	return n
}

// reasons lists why a group's pieces have no result.
func (w *world) reasons(id GroupID) []Reason {
	var list []Reason
	for _, d := range w.got {
		if d.ID == id && d.Result.Handle == "" {
			list = append(list, d.Result.Reason)
		}
	}
	return list
}
