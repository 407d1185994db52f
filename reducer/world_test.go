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

// The simulation consists of cores, one log, endpoints with a shared ledger, and the pending operations between them.
// Time advances only in steps, and the test determines the order of operations.

const (
	stepTime    = 10 * time.Millisecond
	testHorizon = 10 * time.Minute
	testWindow  = 20 * time.Millisecond
	account     = "ward"
	ticket      = "ticket"
	summary     = "summary"
)

// pendingOp is an effect that has not been performed yet, or an event that has not been delivered yet.
type pendingOp struct {
	node        int
	incarnation uint64
	effect      Effect
	event       Event
}

type node struct {
	core        *Core
	incarnation uint64
	// Tests set whether the node is dead, frozen or cut off from the log.
	dead, frozen, noLog bool
	// era is the log's era at the node's last read of each stream.
	era  map[Stream]int64
	next map[Stream]int64
}

// execution is one run of a stage at an endpoint.
type execution struct {
	request, key, stage string
	repeatable          bool
}

// reply is an effect that answers a caller or an operator.
type reply struct {
	at     time.Time
	effect Effect
}

// attempt is a request as sent to one entry.
type attempt struct {
	id        uint64
	node      int
	name      string
	key, body string
	pipeline  string
	sent      time.Time
}

type world struct {
	t            require.TestingT
	now          time.Time
	nodes        []*node
	incarnations uint64
	lastID       uint64
	streams      map[Stream][]recorder.Record
	firstOffset  map[Stream]int64
	// era counts how often the log was restored from an older copy.
	era         int64
	ledger      []execution
	streamParts map[string][]endpointserver.StagePart
	queue       []pendingOp
	replies     map[uint64][]reply
	attempts    []attempt
	// appendMode selects the result of appends: "" succeeds, "refused" fails, "lostReply" records the data but
	// reports the append as uncertain, "lost" reports it as uncertain and records nothing.
	appendMode string
	logDown    bool
	// stageMode, if set, selects the result of each stage call; see callStage for the modes.
	stageMode func(*endpointserver.StageCall) string
	// hook, if set, is called before each pending operation and reports whether to perform it.
	hook func(pendingOp) bool
	// vms is the list of VMs that nodes receive when they start.
	vms VMsListed
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+i) }

func newWorld(t require.TestingT, n int) *world {
	w := &world{
		t:           t,
		now:         time.UnixMilli(1_800_000_000_000),
		streams:     map[Stream][]recorder.Record{},
		firstOffset: map[Stream]int64{},
		streamParts: map[string][]endpointserver.StagePart{},
		replies:     map[uint64][]reply{},
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

// start replaces the node by a new process without any state.
func (w *world) start(i int) {
	w.incarnations++
	var seeds []string
	for j := range w.nodes {
		seeds = append(seeds, address(j))
	}
	*w.nodes[i] = node{incarnation: w.incarnations, next: map[Stream]int64{StreamConfig: 1, StreamClaims: 1, StreamLeases: 1}, era: map[Stream]int64{}}
	w.nodes[i].core = New(Config{
		Entry: entryName(i), Incarnation: w.incarnations, Zone: "a", CallerAddress: address(i), PeerAddress: address(i), SeedPeers: seeds, Seed: 1,
		HeartbeatEvery: 50 * time.Millisecond, SuspectAfter: 200 * time.Millisecond, DeadAfter: 500 * time.Millisecond,
		AddressTTL: time.Second, DrainGrace: 200 * time.Millisecond, ClaimWindow: testWindow, AppendTimeout: time.Second,
		KeyHorizon: testHorizon, MaxDeadline: time.Minute, StageTimeout: 2 * time.Second,
	}, w.now)
	w.deliver(i, w.vms)
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (w *world) kill(i int) { w.nodes[i].dead = true }

// deliver passes an event to a node now and queues the resulting effects.
func (w *world) deliver(i int, event Event) {
	n := w.nodes[i]
	for _, effect := range n.core.Reduce(event, w.now) {
		w.queue = append(w.queue, pendingOp{node: i, incarnation: n.incarnation, effect: effect})
	}
}

// perform performs a pending operation unless the hook drops it.
func (w *world) perform(op pendingOp) {
	if w.hook != nil && !w.hook(op) {
		return
	}
	n := w.nodes[op.node]
	if op.event != nil {
		if n.incarnation == op.incarnation && !n.dead {
			w.deliver(op.node, op.event)
		}
		return
	}
	switch e := op.effect.(type) {
	case Append:
		w.append(op, e)
	case SendPeer:
		w.sendPeer(op, e)
	case *CallStage:
		w.callStage(op, e)
	case ResumeStage:
		w.sendParts(op, e.Call, w.streamParts[e.StreamID][e.From:])
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
		w.kill(op.node)
	}
}

func (w *world) reply(id uint64, effect Effect) {
	w.replies[id] = append(w.replies[id], reply{at: w.now, effect: effect})
}

func (w *world) respond(op pendingOp, event Event) {
	w.queue = append(w.queue, pendingOp{node: op.node, incarnation: op.incarnation, event: event})
}

func (w *world) append(op pendingOp, e Append) {
	var result claimer.AppendResult = claimer.AppendDone{}
	lands := true
	switch {
	case w.appendMode == "refused" || w.logDown:
		result, lands = claimer.AppendRefused{}, false
	case w.appendMode == "lost" || w.nodes[op.node].noLog:
		result, lands = claimer.AppendUncertain{}, false
	case w.appendMode == "lostReply":
		result = claimer.AppendUncertain{}
	}
	if lands {
		w.commit(e.Stream, e.Data)
	}
	w.respond(op, Appended{Stream: e.Stream, BatchID: e.BatchID, Result: result})
}

func (w *world) commit(stream Stream, data []byte) {
	offset := int64(len(w.streams[stream]) + 1)
	w.streams[stream] = append(w.streams[stream], recorder.Record{Offset: offset, AtMillis: w.now.UnixMilli(), Data: data})
}

// read delivers to a node the records of a stream that it has not read yet.
func (w *world) read(i int, stream Stream) {
	n := w.nodes[i]
	if w.logDown || n.noLog {
		w.deliver(i, LogFailed{Stream: stream, Reason: "outage"})
		return
	}
	if n.era[stream] != w.era {
		n.era[stream], n.next[stream] = w.era, 1
	}
	records := w.streams[stream]
	from := max(n.next[stream], w.firstOffset[stream])
	page := records[min(int(from-1), len(records)):]
	n.next[stream] = int64(len(records) + 1)
	w.deliver(i, LogRead{Stream: stream, Records: page, First: w.firstOffset[stream], Next: n.next[stream], Era: w.era, AtEnd: true})
}

func (w *world) sendPeer(op pendingOp, e SendPeer) {
	for i, n := range w.nodes {
		if address(i) == e.Address && !n.dead {
			w.queue = append(w.queue, pendingOp{node: i, incarnation: n.incarnation, event: PeerMessageArrived{From: entryName(op.node), Message: e.Message}})
		}
	}
}

// callStage simulates an endpoint that receives a call. The mode selects the result: "" runs the stage; "busy",
// "leaving" and "notSent" don't run it; "cutAfterRun" runs it and loses the whole reply, "cutMidway" loses the
// second part; "silent" runs it and never answers; "foreign" sends the first part under another request's id;
// "double" sends each part twice; "swapped" sends the parts in reverse order; "short" sends fewer parts than the
// stated total.
func (w *world) callStage(op pendingOp, e *CallStage) {
	mode := ""
	if w.stageMode != nil {
		mode = w.stageMode(e.Body)
	}
	kinds := map[string]FaultKind{"busy": FaultBusy, "leaving": FaultLeaving, "notSent": FaultNotSent}
	if kind, refused := kinds[mode]; refused {
		w.respond(op, StageFailed{Call: e.Call, Fault: StageFault{Kind: kind}})
		return
	}
	w.ledger = append(w.ledger, execution{request: e.Body.RequestId, key: e.Body.IdempotencyKey.Value, stage: e.Body.Stage, repeatable: e.Body.Repeatable.Value})
	text := e.Body.Stage + "(" + e.Body.Input + ")"
	stream := fmt.Sprintf("s%d", len(w.ledger))
	part := endpointserver.StagePart{RequestId: e.Body.RequestId, Stage: e.Body.Stage, Attempt: e.Body.Attempt, StreamId: stream}
	head, tail := part, part
	head.Text = text[:len(text)/2]
	tail.Seq, tail.Text, tail.Final, tail.Total = 1, text[len(text)/2:], true, endpointserver.NewOptInt(2)
	w.streamParts[stream] = []endpointserver.StagePart{head, tail}
	switch mode {
	case "silent":
	case "cutAfterRun":
		w.respond(op, StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultConnectionLost}})
	case "cutMidway":
		w.sendParts(op, e.Call, []endpointserver.StagePart{head})
		w.respond(op, StageFailed{Call: e.Call, Fault: StageFault{Kind: FaultConnectionLost}})
	case "foreign":
		head.RequestId, head.Text = "entry-9.1.1", "foreign"
		w.sendParts(op, e.Call, []endpointserver.StagePart{head, tail})
	case "short":
		tail.Total.Value = 3
		w.sendParts(op, e.Call, []endpointserver.StagePart{head, tail})
	case "double":
		w.sendParts(op, e.Call, []endpointserver.StagePart{head, head, tail, tail})
	case "swapped":
		w.sendParts(op, e.Call, []endpointserver.StagePart{tail, head})
	default:
		w.sendParts(op, e.Call, []endpointserver.StagePart{head, tail})
	}
}

func (w *world) sendParts(op pendingOp, call CallID, parts []endpointserver.StagePart) {
	for _, part := range parts {
		w.respond(op, &StagePartArrived{Call: call, Part: part})
	}
}

// blocked reports whether an operation has to wait because its process is frozen.
func (w *world) blocked(op pendingOp) bool {
	return w.nodes[op.node].frozen && w.nodes[op.node].incarnation == op.incarnation
}

// drain performs the pending operations in order until none is left.
func (w *world) drain() {
	for range 100_000 {
		at := slices.IndexFunc(w.queue, func(op pendingOp) bool { return !w.blocked(op) })
		if at < 0 {
			return
		}
		op := w.queue[at]
		w.queue = slices.Delete(w.queue, at, at+1)
		w.perform(op)
	}
	require.Fail(w.t, "the pending operations never end")
}

// step advances the time by stepTime and ticks all nodes.
func (w *world) step() {
	w.now = w.now.Add(stepTime)
	for i, n := range w.nodes {
		if n.dead || n.frozen {
			continue
		}
		w.read(i, StreamConfig)
		w.read(i, StreamClaims)
		w.read(i, StreamLeases)
		w.deliver(i, Ticked{})
	}
	w.drain()
}

func (w *world) run(d time.Duration) {
	for range int(d / stepTime) {
		w.step()
	}
}

// until advances the time until the condition is met. The test fails after 2000 steps.
func (w *world) until(what string, condition func() bool) {
	for range 2000 {
		if condition() {
			return
		}
		w.step()
	}
	require.Fail(w.t, "timed out waiting for "+what)
}

func (w *world) newID() uint64 {
	w.lastID++
	return w.lastID
}

// send sends a request to a node.
func (w *world) send(i int, pipeline, key, body string, deadline time.Duration) attempt {
	id := w.newID()
	a := attempt{id: id, node: i, name: w.nodes[i].core.requestName(id), key: key, body: body, pipeline: pipeline, sent: w.now}
	w.attempts = append(w.attempts, a)
	w.deliver(i, &RequestArrived{
		ID: id, Credentials: Credentials{Account: account, Hash: credentialHash}, Pipeline: pipeline, Key: key, Input: body,
		Digest: sha256.Sum256([]byte(pipeline + "\x00" + body)), Deadline: deadline,
	})
	return a
}

// queryOutcome asks a node for the outcome of a key and returns the id of the query.
func (w *world) queryOutcome(i int, key string) uint64 {
	id := w.newID()
	w.deliver(i, OutcomeRequested{ID: id, Credentials: Credentials{Account: account, Hash: credentialHash}, Key: key})
	return id
}

// result returns the final answer to a request or an outcome query: its state, the code of a failure, and the text
// of an answer. The state is StateNone if there is no answer.
func (w *world) result(id uint64) (state State, code Code, text string) {
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

func (w *world) awaitResult(id uint64) (State, Code, string) {
	w.until("an answer to the caller", func() bool { return len(w.replies[id]) > 0 })
	return w.result(id)
}
