package claimer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"geraniumline/recorder"
)

// modelHorizon is the horizon of keys in the model. The retention is drawn: above the horizon, as required, or
// below it.
const modelHorizon = 10 * time.Minute

// modelLog is one stream with gaps between offsets, its own clock and a retention.
type modelLog struct {
	records []recorder.Record
	first   int64
	last    int64
	// retention is how long records are kept.
	retention time.Duration
	// era counts the times that the log returned from an older copy.
	era int64
}

// returnFrom makes the log return from a copy that lacks the records after a time.
func (l *modelLog) returnFrom(since time.Time) (lost int) {
	l.era++
	for n := len(l.records); n > 0 && l.records[n-1].AtMillis > since.UnixMilli(); n = len(l.records) {
		l.last = l.records[n-1].Offset - 1
		l.records = l.records[:n-1]
		lost++
	}
	return lost
}

func (l *modelLog) append(now time.Time, data []byte, gap int64) int64 {
	l.last += 1 + gap
	l.records = append(l.records, recorder.Record{Offset: l.last, AtMillis: now.UnixMilli(), Data: data})
	return l.last
}

func (l *modelLog) cut(now time.Time) {
	oldest := now.Add(-l.retention).UnixMilli()
	for len(l.records) > 0 && l.records[0].AtMillis < oldest {
		l.first = l.records[0].Offset + 1
		l.records = l.records[1:]
	}
}

// pendingAppend is an append in flight. Its sender may be notified that the result is uncertain, and it may be
// committed long after that.
type pendingAppend struct {
	from    *process
	batchID uint64
	data    []byte
	// replied is set once the sender has its reply.
	replied bool
}

// attempt is one submission of a request by its caller.
type attempt struct {
	key    Key
	digest [32]byte
	// answer is the caller's answer, or "" while it waits.
	answer     string
	dispatched bool
	offset     int64
	// era is the era of the log in which the claim was won.
	era int64
}

// process is one incarnation of an entry. It uses the table and the batcher as the reducer does.
type process struct {
	name     string
	table    *Table
	batcher  *Batcher
	attempts map[uint64]*attempt
	running  []uint64
	lastID   uint64
	frozen   int
	dead     bool
	inc      uint64
}

// simulation models several entries, one log and the endpoints' own ledger.
type simulation struct {
	now             time.Time
	log             modelLog
	entries         map[string]*process
	names           []string
	lastIncarnation uint64
	pending         []*pendingAppend
	keys            []Key
	// ledger holds the runs of each key, as observed by the endpoints.
	ledger     map[Key][]*attempt
	counts     map[string]int
	violations []string
}

func newSimulation(retention time.Duration, names ...string) *simulation {
	w := &simulation{
		now:     time.UnixMilli(1_700_000_000_000),
		entries: make(map[string]*process),
		log:     modelLog{retention: retention},
		names:   names,
		ledger:  make(map[Key][]*attempt),
		counts:  make(map[string]int),
	}
	for _, name := range names {
		w.start(name)
	}
	return w
}

func (w *simulation) start(name string) {
	w.lastIncarnation++
	w.entries[name] = &process{
		name:     name,
		inc:      w.lastIncarnation,
		table:    New(Config{Entry: name, Incarnation: w.lastIncarnation, Horizon: modelHorizon}),
		batcher:  NewBatcher(BatcherConfig{Entry: name, Incarnation: w.lastIncarnation}),
		attempts: make(map[uint64]*attempt),
	}
}

// kill ends a process. Its state is lost, its appends may still be committed, and its callers get no answer.
func (w *simulation) kill(name string) {
	w.entries[name].dead = true
	w.start(name)
}

func (w *simulation) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *simulation) newKey(skew time.Duration) Key {
	var id uuid.UUID
	createdAt := w.now.Add(skew).UnixMilli()
	binary.BigEndian.PutUint64(id[:8], uint64(createdAt)<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(len(w.keys)+1))
	id[6] |= 0x70
	id[8] = id[8]&0x3f | 0x80
	k := Key{Account: "wallcare", Key: id.String()}
	w.keys = append(w.keys, k)
	return k
}

// send submits a caller's request to an entry.
func (w *simulation) send(p *process, k Key, digest [32]byte) {
	createdAt, err := KeyTime(k.Key)
	if err != nil {
		return
	}
	if CheckAge(createdAt, w.now, modelHorizon) != nil || p.table.CheckVerifiable(createdAt) != nil {
		return
	}
	if h, ok := p.table.Lookup(k); ok && h.Held {
		return
	}
	if _, ok := p.batcher.Available(w.now); !ok {
		return
	}
	p.lastID++
	p.attempts[p.lastID] = &attempt{key: k, digest: digest}
	p.batcher.Add(Claim{Key: k, Digest: digest, ClaimID: p.lastID})
}

// giveUp simulates a deadline: the caller is answered at once that this attempt did not run.
func (w *simulation) giveUp(p *process, id uint64) {
	a := p.attempts[id]
	if a.dispatched || a.answer != "" {
		return
	}
	a.answer = "notRun"
	if len(w.ledger[a.key]) > 0 {
		// This is true of the attempt, but another entry ran an earlier one that this table has not read.
		w.counts["notRunBesideARun"]++
	}
	if p.batcher.Withdraw(id) {
		// No decision about the claim may follow.
		delete(p.attempts, id)
		return
	}
	w.counts["gaveUpInFlight"]++
}

func (w *simulation) startAppend(p *process) {
	batch, ok := p.batcher.Due(w.now)
	if !ok {
		return
	}
	data, err := Encode(batch)
	if err != nil {
		w.violate("encode: %v", err)
	}
	w.pending = append(w.pending, &pendingAppend{from: p, batchID: batch.BatchID, data: data})
}

// commit appends a pending batch to the log. If keep is set, it can be appended again, as after a retry by a
// relay.
func (w *simulation) commit(i int, reply, keep bool, gap int64) {
	m := w.pending[i]
	w.log.append(w.now, m.data, gap)
	if reply && !m.replied {
		m.from.batcher.Appended(m.batchID, AppendDone{}, w.now)
		m.replied = true
	}
	if !reply && !m.replied {
		w.counts["replyLost"]++
		m.from.batcher.Appended(m.batchID, AppendUncertain{}, w.now)
		m.replied = true
	}
	if !keep {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
}

func (w *simulation) drop(i int, result AppendResult) {
	m := w.pending[i]
	if !m.replied {
		m.from.batcher.Appended(m.batchID, result, w.now)
	}
	w.pending = slices.Delete(w.pending, i, i+1)
}

// delay notifies the sender that the result of its append is uncertain, and leaves the append in flight.
func (w *simulation) delay(i int) {
	m := w.pending[i]
	if !m.replied {
		m.replied = true
		m.from.batcher.Appended(m.batchID, AppendUncertain{}, w.now)
	}
}

// read applies the next records to a process's table as one page.
func (w *simulation) read(p *process, limit int) {
	if p.table.BeginEra(w.log.era) {
		w.counts["renewed"]++
		p.batcher.Add(EraMark{Era: w.log.era})
	}
	if p.table.BeginPage(w.log.first) {
		w.counts["gap"]++
	}
	if p.table.Lapsed() {
		w.counts["lapsed"]++
		w.kill(p.name)
		return
	}
	for _, r := range w.log.records {
		if r.Offset < p.table.Next() {
			continue
		}
		if limit--; limit < 0 {
			return
		}
		before := p.table.Offset()
		for _, d := range p.table.Apply(r) {
			w.handle(p, r.Offset, d)
		}
		if p.table.Offset() < before {
			w.violate("%s: offset decreased from %d to %d", p.name, before, p.table.Offset())
		}
	}
}

// handle processes a decision as the reducer does, and checks the answers to callers.
func (w *simulation) handle(p *process, offset int64, d Decision) {
	switch d := d.(type) {
	case Won:
		w.handleWon(p, d)
	case Lost:
		w.answer(p, d.ClaimID, "unknown")
	case Unverified:
		w.counts["unproved"]++
		w.answer(p, d.ClaimID, "unknown")
	case Voided:
		w.counts[fmt.Sprintf("void%d", d.Reason)]++
		w.answerVoided(p, d)
	case BatchCommitted:
		p.batcher.Committed(d.BatchID, w.now)
	case Released:
		for _, a := range w.ledger[d.Key] {
			w.checkReleased(p, a, offset)
		}
	case ForeignOutcome:
		w.checkOutcome(p, d.Key, d.Status)
	}
}

// checkReleased checks the release of a key against the key's run. In a later era than the run's, the log may
// have lost the claim that ran and contain the release of an earlier one only afterwards. In that case the key
// must not be won again.
func (w *simulation) checkReleased(p *process, ran *attempt, offset int64) {
	createdAt, err := KeyTime(ran.key.Key)
	lost := ran.era < p.table.era && err == nil && p.table.CheckVerifiable(createdAt) != nil
	if ran.offset < offset && !lost {
		w.violate("%s: key %s released at %d after it ran at %d", p.name, ran.key.Key, offset, ran.offset)
	}
}

func (w *simulation) answer(p *process, id uint64, answer string) {
	if a := p.attempts[id]; a != nil && a.answer == "" {
		a.answer = answer
	}
}

// answerVoided answers "not run" only if the table has no other claim that may have run.
func (w *simulation) answerVoided(p *process, d Voided) {
	if h, ok := p.table.Lookup(d.Key); ok && h.Held {
		w.counts["voidedBesideHolder"]++
		w.answer(p, d.ClaimID, "unknown")
		return
	}
	w.answer(p, d.ClaimID, "notRun")
}

func (w *simulation) handleWon(p *process, d Won) {
	a := p.attempts[d.ClaimID]
	if a == nil {
		w.violate("%s withdrew claim %d, which was then committed at %d", p.name, d.ClaimID, d.Offset)
		return
	}
	if a.answer != "" {
		p.batcher.Add(Release{Key: a.key, ClaimID: d.ClaimID})
		return
	}
	w.dispatch(p, d.ClaimID, a, d.Offset)
}

func (w *simulation) dispatch(p *process, id uint64, a *attempt, offset int64) {
	a.dispatched = true
	a.offset = offset
	a.era = p.table.era
	if a.answer != "" {
		w.violate("%s ran key %s after its caller was answered %s", p.name, a.key.Key, a.answer)
	}
	w.ledger[a.key] = append(w.ledger[a.key], a)
	if n := len(w.ledger[a.key]); n > 1 {
		w.violate("key %s ran %d times, last at %s by claim %d", a.key.Key, n, p.name, id)
	}
	p.running = append(p.running, id)
}

// finish ends a running request and records its outcome.
func (w *simulation) finish(p *process) {
	if len(p.running) == 0 {
		return
	}
	id := p.running[0]
	p.running = p.running[1:]
	a := p.attempts[id]
	a.answer = "answered"
	p.batcher.Add(Outcome{Key: a.key, ClaimID: id, State: StateAnswered, Answer: answerOf(a)})
}

func answerOf(a *attempt) string { return fmt.Sprintf("answer to %s %x", a.key.Key, a.digest[0]) }

func (w *simulation) checkOutcome(p *process, k Key, h KeyStatus) {
	runs := w.ledger[k]
	if len(runs) != 1 || runs[0].answer != "answered" || h.Outcome.Answer != answerOf(runs[0]) {
		w.violate("%s: outcome of key %s is %q, but the ledger has %d runs", p.name, k.Key, h.Outcome.Answer, len(runs))
	}
}
