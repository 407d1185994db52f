package claimer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"geraniumline/recorder"
)

// modelHorizon is the horizon of keys in the model. Retention is drawn: above it, as the rules ask, or below.
const modelHorizon = 10 * time.Minute

// modelLog is one stream: offsets with holes, a time of its own, and retention.
type modelLog struct {
	records []recorder.Record
	first   int64
	last    int64
	// retention is how long records are kept.
	retention time.Duration
	// era counts the returns from an older copy.
	era int64
}

// returnFrom has the log return from a copy that lacks the records since a time.
func (l *modelLog) returnFrom(since time.Time) (lost int) {
	l.era++
	for n := len(l.records); n > 0 && l.records[n-1].AtMillis > since.UnixMilli(); n = len(l.records) {
		l.last = l.records[n-1].Offset - 1
		l.records = l.records[:n-1]
		lost++
	}
	return lost
}

func (l *modelLog) append(now time.Time, data []byte, hole int64) int64 {
	l.last += 1 + hole
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

// pending is an append on its way. The sender may be told that its fate is uncertain, and it may land long after.
type pending struct {
	from    *process
	batchID uint64
	data    []byte
	// told says that the sender has its reply already.
	told bool
}

// attempt is one sending of a request by its caller.
type attempt struct {
	key    Key
	digest [32]byte
	// told is what the caller was told, or "" while it waits.
	told       string
	dispatched bool
	offset     int64
	// era is that of the log in which it was won.
	era int64
}

// process is one incarnation of an entry, with the duties that the reducer has towards table and batcher.
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

// world is several entries, one log and the endpoints' own ledger.
type world struct {
	now     time.Time
	log     modelLog
	entries map[string]*process
	names   []string
	lastInc uint64
	pending []*pending
	keys    []Key
	// ledger counts runs by key, as the endpoints saw them.
	ledger map[Key][]*attempt
	faults map[string]int
	faulty []string
}

func newWorld(retention time.Duration, names ...string) *world {
	w := &world{
		now:     time.UnixMilli(1_700_000_000_000),
		entries: make(map[string]*process),
		log:     modelLog{retention: retention},
		names:   names,
		ledger:  make(map[Key][]*attempt),
		faults:  make(map[string]int),
	}
	for _, name := range names {
		w.start(name)
	}
	return w
}

func (w *world) start(name string) {
	w.lastInc++
	w.entries[name] = &process{
		name:     name,
		inc:      w.lastInc,
		table:    New(Config{Entry: name, Incarnation: w.lastInc, Horizon: modelHorizon}),
		batcher:  NewBatcher(BatcherConfig{Entry: name, Incarnation: w.lastInc}),
		attempts: make(map[uint64]*attempt),
	}
}

// kill ends a process: what it knew is gone, what it sent may still land, and its callers learn nothing.
func (w *world) kill(name string) {
	w.entries[name].dead = true
	w.start(name)
}

func (w *world) violate(format string, args ...any) {
	w.faulty = append(w.faulty, fmt.Sprintf(format, args...))
}

func (w *world) newKey(skew time.Duration) Key {
	var id uuid.UUID
	birth := w.now.Add(skew).UnixMilli()
	binary.BigEndian.PutUint64(id[:8], uint64(birth)<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(len(w.keys)+1))
	id[6] |= 0x70
	id[8] = id[8]&0x3f | 0x80
	k := Key{Account: "wallcare", Key: id.String()}
	w.keys = append(w.keys, k)
	return k
}

// send is a caller's request at an entry.
func (w *world) send(p *process, k Key, digest [32]byte) {
	birth, err := KeyTime(k.Key)
	if err != nil {
		return
	}
	if CheckAge(birth, w.now, modelHorizon) != nil || p.table.CheckVerifiable(birth) != nil {
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

// giveUp is a deadline: the caller is told at once that this attempt did not run.
func (w *world) giveUp(p *process, id uint64) {
	a := p.attempts[id]
	if a.dispatched || a.told != "" {
		return
	}
	a.told = "notRun"
	if len(w.ledger[a.key]) > 0 {
		// True of this attempt, but another entry has run an earlier one that this table has not read of.
		w.faults["notRunBesideARun"]++
	}
	if p.batcher.Withdraw(id) {
		// Nothing of it may be heard of again.
		delete(p.attempts, id)
		return
	}
	w.faults["gaveUpInFlight"]++
}

func (w *world) emit(p *process) {
	batch, ok := p.batcher.Due(w.now)
	if !ok {
		return
	}
	data, err := Encode(batch)
	if err != nil {
		w.violate("encode: %v", err)
	}
	w.pending = append(w.pending, &pending{from: p, batchID: batch.BatchID, data: data})
}

// land appends a pending batch; with copies it lands more than once, as after a retry in a relay.
func (w *world) land(i int, reply, keep bool, hole int64) {
	m := w.pending[i]
	w.log.append(w.now, m.data, hole)
	if reply && !m.told {
		m.from.batcher.Appended(m.batchID, AppendDone{}, w.now)
		m.told = true
	}
	if !reply && !m.told {
		w.faults["replyLost"]++
		m.from.batcher.Appended(m.batchID, AppendUncertain{}, w.now)
		m.told = true
	}
	if !keep {
		w.pending = slices.Delete(w.pending, i, i+1)
	}
}

func (w *world) drop(i int, result AppendResult) {
	m := w.pending[i]
	if !m.told {
		m.from.batcher.Appended(m.batchID, result, w.now)
	}
	w.pending = slices.Delete(w.pending, i, i+1)
}

// delay tells the sender that its append's fate is uncertain, and leaves it on its way.
func (w *world) delay(i int) {
	m := w.pending[i]
	if !m.told {
		m.told = true
		m.from.batcher.Appended(m.batchID, AppendUncertain{}, w.now)
	}
}

// read gives a process the next records, as one page.
func (w *world) read(p *process, limit int) {
	if p.table.BeginEra(w.log.era) {
		w.faults["renewed"]++
		p.batcher.Add(EraMark{Era: w.log.era})
	}
	if p.table.BeginPage(w.log.first) {
		w.faults["gap"]++
	}
	if p.table.Lapsed() {
		w.faults["lapsed"]++
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
			w.act(p, r.Offset, d)
		}
		if p.table.Offset() < before {
			w.violate("%s went back from %d to %d", p.name, before, p.table.Offset())
		}
	}
}

// act does what the reducer does with a decision, and checks what callers are told.
func (w *world) act(p *process, offset int64, d Decision) {
	switch d := d.(type) {
	case Won:
		w.win(p, d)
	case Lost:
		w.tell(p, d.ClaimID, "unknown")
	case Unverified:
		w.faults["unproved"]++
		w.tell(p, d.ClaimID, "unknown")
	case Voided:
		w.faults[fmt.Sprintf("void%d", d.Reason)]++
		w.tellVoided(p, d)
	case BatchCommitted:
		p.batcher.Committed(d.BatchID, w.now)
	case Released:
		for _, a := range w.ledger[d.Key] {
			w.checkFreed(p, a, offset)
		}
	case ForeignOutcome:
		w.checkOutcome(p, d.Key, d.Status)
	}
}

// checkFreed holds the freeing of a key against its run. In a later era than the run's the log may have lost the claim that ran, and
// have an earlier one's release land only then; the key must not be won any more.
func (w *world) checkFreed(p *process, ran *attempt, offset int64) {
	birth, err := KeyTime(ran.key.Key)
	lost := ran.era < p.table.era && err == nil && p.table.CheckVerifiable(birth) != nil
	if ran.offset < offset && !lost {
		w.violate("%s: key %s freed at %d after it ran at %d", p.name, ran.key.Key, offset, ran.offset)
	}
}

func (w *world) tell(p *process, id uint64, answer string) {
	if a := p.attempts[id]; a != nil && a.told == "" {
		a.told = answer
	}
}

// tellVoided says "not run" only if the table knows no other claim that may have run.
func (w *world) tellVoided(p *process, d Voided) {
	if h, ok := p.table.Lookup(d.Key); ok && h.Held {
		w.faults["voidedBesideHolder"]++
		w.tell(p, d.ClaimID, "unknown")
		return
	}
	w.tell(p, d.ClaimID, "notRun")
}

func (w *world) win(p *process, d Won) {
	a := p.attempts[d.ClaimID]
	if a == nil {
		w.violate("%s withdrew claim %d, which then landed at %d", p.name, d.ClaimID, d.Offset)
		return
	}
	if a.told != "" {
		p.batcher.Add(Release{Key: a.key, ClaimID: d.ClaimID})
		return
	}
	w.dispatch(p, d.ClaimID, a, d.Offset)
}

func (w *world) dispatch(p *process, id uint64, a *attempt, offset int64) {
	a.dispatched = true
	a.offset = offset
	a.era = p.table.era
	if a.told != "" {
		w.violate("%s ran key %s after its caller was told %s", p.name, a.key.Key, a.told)
	}
	w.ledger[a.key] = append(w.ledger[a.key], a)
	if n := len(w.ledger[a.key]); n > 1 {
		w.violate("key %s ran %d times, last at %s by claim %d", a.key.Key, n, p.name, id)
	}
	p.running = append(p.running, id)
}

// finish ends a running request: its outcome is recorded.
func (w *world) finish(p *process) {
	if len(p.running) == 0 {
		return
	}
	id := p.running[0]
	p.running = p.running[1:]
	a := p.attempts[id]
	a.told = "answered"
	p.batcher.Add(Outcome{Key: a.key, ClaimID: id, State: StateAnswered, Answer: answerOf(a)})
}

func answerOf(a *attempt) string { return fmt.Sprintf("answer to %s %x", a.key.Key, a.digest[0]) }

func (w *world) checkOutcome(p *process, k Key, h KeyStatus) {
	runs := w.ledger[k]
	if len(runs) != 1 || runs[0].told != "answered" || h.Outcome.Answer != answerOf(runs[0]) {
		w.violate("%s: outcome of key %s is %q, but the ledger has %d runs", p.name, k.Key, h.Outcome.Answer, len(runs))
	}
}
