package reducer

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/claimer"
	"geraniumline/endpointserver"
	"geraniumline/recorder"
	"geraniumline/router"
)

// The model: some cores, one log, some endpoints with one ledger, and all that is under way between them.
// Time moves only by step; what happens in which order is the test's choice.

const (
	stepTime    = 10 * time.Millisecond
	testHorizon = 10 * time.Minute
	testWindow  = 20 * time.Millisecond
	account     = "ward"
	ticket      = "ticket"
	summary     = "summary"
)

// flight is an effect that is not carried out yet, or an event that has not arrived yet.
type flight struct {
	node   int
	inc    uint64
	effect Effect
	event  Event
}

type node struct {
	core *Core
	inc  uint64
	// dead, frozen and cut from the log: set by tests.
	dead, frozen, noLog bool
	// era is the log's when the node last read a stream.
	era  map[Stream]int64
	next map[Stream]int64
}

// execution is one run of a stage at an endpoint.
type execution struct {
	request, key, stage string
	repeatable          bool
}

// reply is what a caller or an operator was sent.
type reply struct {
	at     time.Time
	effect Effect
}

// attempt is one request as sent to one entry.
type attempt struct {
	id        uint64
	node      int
	name      string
	key, body string
	pipeline  string
	sent      time.Time
}

type world struct {
	t       require.TestingT
	now     time.Time
	nodes   []*node
	incs    uint64
	ids     uint64
	streams map[Stream][]recorder.Record
	first   map[Stream]int64
	// era counts the returns of the log from an older copy.
	era      int64
	ledger   []execution
	texts    map[string][]endpointserver.StagePart
	queue    []flight
	replies  map[uint64][]reply
	attempts []attempt
	// appendMode says how appends end: "", "refused", "lostReply" (lands, uncertain), "lost" (uncertain, never lands).
	appendMode string
	logDown    bool
	// stage says how calls end: "" runs; see callStage.
	stage func(*endpointserver.StageCall) string
	// hook sees each flight before it is carried out and says whether it is.
	hook func(flight) bool
	// listed says whether the nodes were told of the endpoints.
	vms VMsListed
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

func newWorld(t require.TestingT, n int) *world {
	w := &world{
		t:       t,
		now:     time.UnixMilli(1_800_000_000_000),
		streams: map[Stream][]recorder.Record{},
		first:   map[Stream]int64{},
		texts:   map[string][]endpointserver.StagePart{},
		replies: map[uint64][]reply{},
		vms: VMsListed{Endpoints: []router.VM{
			{Address: "e1", Pool: "encoders", Zone: "a"}, {Address: "e2", Pool: "encoders", Zone: "b"},
			{Address: "t1", Pool: "tickets", Zone: "a"}, {Address: "t2", Pool: "tickets", Zone: "b"},
		}},
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{})
		w.start(i)
	}
	return w
}

// start gives the node a new process that knows nothing.
func (w *world) start(i int) {
	w.incs++
	var seeds []string
	for j := range w.nodes {
		seeds = append(seeds, address(j))
	}
	*w.nodes[i] = node{inc: w.incs, next: map[Stream]int64{StreamConfig: 1, StreamClaims: 1, StreamLeases: 1}, era: map[Stream]int64{}}
	w.nodes[i].core = New(Config{
		Entry: entryName(i), Incarnation: w.incs, Zone: "a", CallerAddress: address(i), PeerAddress: address(i), SeedPeers: seeds, Seed: 1,
		HeartbeatEvery: 50 * time.Millisecond, SuspectAfter: 200 * time.Millisecond, DeadAfter: 500 * time.Millisecond,
		AddressTTL: time.Second, DrainGrace: 200 * time.Millisecond, ClaimWindow: testWindow, AppendTimeout: time.Second,
		KeyHorizon: testHorizon, MaxDeadline: time.Minute, StageTimeout: 2 * time.Second,
	}, w.now)
	w.give(i, w.vms)
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (w *world) kill(i int) { w.nodes[i].dead = true }

// give lets an event arrive at a node now.
func (w *world) give(i int, event Event) {
	n := w.nodes[i]
	for _, effect := range n.core.Reduce(event, w.now) {
		w.queue = append(w.queue, flight{node: i, inc: n.inc, effect: effect})
	}
}

// carry carries out a flight.
func (w *world) carry(f flight) {
	if w.hook != nil && !w.hook(f) {
		return
	}
	n := w.nodes[f.node]
	if f.event != nil {
		if n.inc == f.inc && !n.dead {
			w.give(f.node, f.event)
		}
		return
	}
	switch e := f.effect.(type) {
	case Append:
		w.append(f, e)
	case SendPeer:
		w.sendPeer(f, e)
	case *CallStage:
		w.callStage(f, e)
	case ResumeStage:
		w.sendParts(f, e.Call, w.texts[e.StreamID][e.From:])
	case SendAnswer:
		w.reply(e.ID, e)
	case SendFailure:
		w.reply(e.ID, e)
	case SendOutcome:
		w.reply(e.ID, e)
	case SendVerdict:
		w.reply(e.ID, e)
	case SendRefusal:
		w.reply(e.ID, e)
	case SendConfig:
		w.reply(e.ID, e)
	case SendAddresses:
		w.reply(e.ID, e)
	case Exit:
		w.kill(f.node)
	}
}

func (w *world) reply(id uint64, effect Effect) {
	w.replies[id] = append(w.replies[id], reply{at: w.now, effect: effect})
}

func (w *world) back(f flight, event Event) {
	w.queue = append(w.queue, flight{node: f.node, inc: f.inc, event: event})
}

func (w *world) append(f flight, e Append) {
	var result claimer.AppendResult = claimer.AppendDone{}
	lands := true
	switch {
	case w.appendMode == "refused" || w.logDown:
		result, lands = claimer.AppendRefused{}, false
	case w.appendMode == "lost" || w.nodes[f.node].noLog:
		result, lands = claimer.AppendUncertain{}, false
	case w.appendMode == "lostReply":
		result = claimer.AppendUncertain{}
	}
	if lands {
		w.land(e.Stream, e.Data)
	}
	w.back(f, Appended{Stream: e.Stream, BatchID: e.BatchID, Result: result})
}

func (w *world) land(stream Stream, data []byte) {
	offset := int64(len(w.streams[stream]) + 1)
	w.streams[stream] = append(w.streams[stream], recorder.Record{Offset: offset, AtMillis: w.now.UnixMilli(), Data: data})
}

// read lets a node read what a stream holds beyond what it has read.
func (w *world) read(i int, stream Stream) {
	n := w.nodes[i]
	if w.logDown || n.noLog {
		w.give(i, LogFailed{Stream: stream, Reason: "outage"})
		return
	}
	if n.era[stream] != w.era {
		n.era[stream], n.next[stream] = w.era, 1
	}
	records := w.streams[stream]
	from := max(n.next[stream], w.first[stream])
	page := records[min(int(from-1), len(records)):]
	n.next[stream] = int64(len(records) + 1)
	w.give(i, LogRead{Stream: stream, Records: page, First: w.first[stream], Next: n.next[stream], Era: w.era, AtEnd: true})
}

func (w *world) sendPeer(f flight, e SendPeer) {
	for i, n := range w.nodes {
		if address(i) == e.Address && !n.dead {
			w.queue = append(w.queue, flight{node: i, inc: n.inc, event: PeerMessageArrived{From: entryName(f.node), Message: e.Message}})
		}
	}
}

// callStage lets an endpoint take a call: "" runs and answers; "busy", "leaving" and "notSent" do not run;
// "cutAfterRun" runs and loses the whole reply, "cutMidway" its second part; "silent" runs and never answers;
// "foreign" answers another request's parts, "double" each part twice, "swapped" the parts in
// turned order, "short" fewer parts than its total.
func (w *world) callStage(f flight, e *CallStage) {
	how := ""
	if w.stage != nil {
		how = w.stage(e.Body)
	}
	kinds := map[string]FaultKind{"busy": FaultBusy, "leaving": FaultLeaving, "notSent": FaultNotSent}
	if kind, refused := kinds[how]; refused {
		w.back(f, StageFailed{Call: e.Call, Fault: StageFault{Kind: kind}})
		return
	}
	w.ledger = append(w.ledger, execution{request: e.Body.RequestId, key: e.Body.IdempotencyKey.Value, stage: e.Body.Stage, repeatable: e.Body.Repeatable.Value})
	text := e.Body.Stage + "(" + e.Body.Input + ")"
	stream := fmt.Sprintf("s%d", len(w.ledger))
	part := endpointserver.StagePart{RequestId: e.Body.RequestId, Stage: e.Body.Stage, Attempt: e.Body.Attempt, StreamId: stream}
	head, tail := part, part
	head.Text = text[:len(text)/2]
	tail.Seq, tail.Text, tail.Final, tail.Total = 1, text[len(text)/2:], true, endpointserver.NewOptInt(2)
	w.texts[stream] = []endpointserver.StagePart{head, tail}
	switch how {
	case "silent":
	case "cutAfterRun":
		w.back(f, StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultConnectionLost}})
	case "cutMidway":
		w.sendParts(f, e.Call, []endpointserver.StagePart{head})
		w.back(f, StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultConnectionLost}})
	case "foreign":
		head.RequestId, head.Text = "entry-9.1.1", "foreign"
		w.sendParts(f, e.Call, []endpointserver.StagePart{head, tail})
	case "short":
		tail.Total.Value = 3
		w.sendParts(f, e.Call, []endpointserver.StagePart{head, tail})
	case "double":
		w.sendParts(f, e.Call, []endpointserver.StagePart{head, head, tail, tail})
	case "swapped":
		w.sendParts(f, e.Call, []endpointserver.StagePart{tail, head})
	default:
		w.sendParts(f, e.Call, []endpointserver.StagePart{head, tail})
	}
}

func (w *world) sendParts(f flight, call CallID, parts []endpointserver.StagePart) {
	for _, part := range parts {
		w.back(f, &StagePartArrived{Call: call, Part: part})
	}
}

// held tells whether a flight can't go on: its process is frozen.
func (w *world) held(f flight) bool { return w.nodes[f.node].frozen && w.nodes[f.node].inc == f.inc }

// drain carries out what is under way, in order.
func (w *world) drain() {
	for range 100_000 {
		at := slices.IndexFunc(w.queue, func(f flight) bool { return !w.held(f) })
		if at < 0 {
			return
		}
		f := w.queue[at]
		w.queue = slices.Delete(w.queue, at, at+1)
		w.carry(f)
	}
	require.Fail(w.t, "the cores go round in circles")
}

// step lets a step of time pass at all nodes.
func (w *world) step() {
	w.now = w.now.Add(stepTime)
	for i, n := range w.nodes {
		if n.dead || n.frozen {
			continue
		}
		w.read(i, StreamConfig)
		w.read(i, StreamClaims)
		w.read(i, StreamLeases)
		w.give(i, Ticked{})
	}
	w.drain()
}

func (w *world) run(d time.Duration) {
	for range int(d / stepTime) {
		w.step()
	}
}

// until lets time pass until the condition holds.
func (w *world) until(what string, holds func() bool) {
	for range 2000 {
		if holds() {
			return
		}
		w.step()
	}
	require.Fail(w.t, "never: "+what)
}

func (w *world) id() uint64 {
	w.ids++
	return w.ids
}

// send sends a request to a node.
func (w *world) send(i int, pipeline, key, body string, deadline time.Duration) attempt {
	id := w.id()
	a := attempt{id: id, node: i, name: w.nodes[i].core.requestName(id), key: key, body: body, pipeline: pipeline, sent: w.now}
	w.attempts = append(w.attempts, a)
	w.give(i, &RequestArrived{
		ID: id, Credentials: Credentials{Account: account, Hash: hash}, Pipeline: pipeline, Key: key, Input: body,
		Digest: sha256.Sum256([]byte(pipeline + "\x00" + body)), Deadline: deadline,
	})
	return a
}

// ask asks a node for the outcome of a key.
func (w *world) ask(i int, key string) uint64 {
	id := w.id()
	w.give(i, OutcomeRequested{ID: id, Credentials: Credentials{Account: account, Hash: hash}, Key: key})
	return id
}

// ended gives the only final answer to a question: its state, or its code for a failure.
func (w *world) ended(id uint64) (state State, code Code, text string) {
	for _, r := range w.replies[id] {
		switch e := r.effect.(type) {
		case SendAnswer:
			return StateAnswered, "", e.Answer
		case SendFailure:
			return e.Failure.State, e.Failure.Code, ""
		case SendOutcome:
			return e.Outcome.State, e.Outcome.Failure.Code, e.Outcome.Answer
		}
	}
	return StateNone, "", ""
}

func (w *world) awaitEnd(id uint64) (State, Code, string) {
	w.until("the caller is answered", func() bool { return len(w.replies[id]) > 0 })
	return w.ended(id)
}
