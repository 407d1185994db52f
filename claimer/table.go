package claimer

import (
	"math"
	"time"

	"geraniumline/recorder"
)

// Config says whose table this is and how long a key is remembered.
type Config struct {
	Entry       string
	Incarnation uint64
	// Horizon is the age to which a key may be claimed. It must be well below the log's retention, or an
	// entry that starts anew finds no key that it may claim.
	Horizon time.Duration
	// AnswerBytes bounds the answers that are held; older ones are dropped and can be read from the log again.
	AnswerBytes int
}

const (
	defaultHorizon     = 10 * time.Minute
	defaultAnswerBytes = 8 << 20
)

// never is a log time that no record reaches.
const never = math.MaxInt64

// Table is what one entry has read of the claims stream.
type Table struct {
	cfg   Config
	names names
	// next is the lowest offset that was not read.
	next int64
	// logMillis is the highest log time read. All ages are reckoned by it, so that all tables agree.
	logMillis int64
	// sinceMillis is the log time after which this table has read every record.
	sinceMillis int64
	// started tells that the first page's start is known.
	started bool
	// lapsed tells that records were cut before this table read them, after it had started.
	lapsed bool
	// afterGap tells that the next record is the first one that was kept.
	afterGap bool
	// firstMillis is the log time of the first record that this table has read in its life; never before that.
	firstMillis int64
	// renewed tells that the stream is read anew.
	renewed bool
	// era is that of the log's pages, awaitsMark is set until a Mark of it was read, at the log time markMillis.
	era        int64
	awaitsMark bool
	markMillis int64
	closed     map[owner]bool
	slots      map[slot]*holding
	expiries   expiries
	// expired is the last range of expiries that was forgotten.
	expired int64
	answers answers
	bad     int
}

// New gives a table that has read nothing and so can prove nothing.
func New(cfg Config) *Table {
	if cfg.Horizon <= 0 {
		cfg.Horizon = defaultHorizon
	}
	if cfg.AnswerBytes <= 0 {
		cfg.AnswerBytes = defaultAnswerBytes
	}
	return &Table{
		cfg:         cfg,
		names:       newNames(),
		sinceMillis: never,
		firstMillis: never,
		closed:      make(map[owner]bool),
		slots:       make(map[slot]*holding),
		expiries:    make(expiries),
	}
}

// BeginEra takes the era of the log's next page, and tells whether it is a new one: then a Mark of it must be appended, and the
// stream is read anew from its beginning. In a new era the log may have lost claims whose requests ran. Their keys were born before
// it began, so this table proves none that is older than the era's first Mark. What it holds stands; which incarnations are
// closed is for the new era's records to say, as it is for tables that know no others.
// Symptom without it: an entry that has not read a lost claim wins its key, and the request runs twice.
func (t *Table) BeginEra(era int64) bool {
	if era <= t.era {
		return false
	}
	t.era = era
	t.awaitsMark = true
	t.sinceMillis = never
	t.next = 0
	t.renewed = t.renewed || t.started
	t.started = false
	t.afterGap = false
	clear(t.closed)
	return true
}

// mayHaveBeenClosed tells whether the own incarnation may have been closed in records that were cut before the first one kept: in
// those that came after this table's first one.
func (t *Table) mayHaveBeenClosed(firstKept int64) bool {
	return t.renewed && (t.firstMillis == never || firstKept >= t.firstMillis)
}

// BeginPage takes the log's oldest kept offset, once before each page's records. It tells whether records were cut
// before this table could read them: from then on the table proves nothing about older keys.
// If that happens after the start, the incarnation itself may have been closed in the part that is lost.
// Symptom without it: the entry goes on to dispatch claims that all others hold void, and a request runs twice.
// So it may win no claim any more, until the process takes a new incarnation, which nobody can have closed yet.
func (t *Table) BeginPage(first int64) bool {
	fresh := !t.started
	t.started = true
	if first <= max(t.next, 1) {
		if fresh && !t.awaitsMark {
			t.sinceMillis = math.MinInt64
		}
		return false
	}
	t.lapsed = t.lapsed || !fresh
	t.afterGap = true
	t.next = first
	return true
}

// Apply takes the stream's next record and gives what it settled, in order. A record read before settles nothing.
func (t *Table) Apply(r recorder.Record) []Decision {
	if r.Offset < t.next {
		return nil
	}
	t.next = r.Offset + 1
	t.logMillis = max(t.logMillis, r.AtMillis)
	if t.afterGap && t.mayHaveBeenClosed(r.AtMillis) {
		t.lapsed = true
	}
	t.firstMillis = min(t.firstMillis, r.AtMillis)
	if t.afterGap {
		// Records that were cut may bear the same millisecond as the first one kept.
		t.afterGap = false
		if !t.awaitsMark {
			t.sinceMillis = t.logMillis
		}
	}
	t.expire()
	batch, err := Decode(r.Data)
	if err != nil {
		t.bad++
		return nil
	}
	return t.applyBatch(r.Offset, &batch)
}

func (t *Table) applyBatch(offset int64, batch *Batch) []Decision {
	by := owner{entry: t.names.id(batch.Entry), incarnation: batch.Incarnation}
	own := batch.Entry == t.cfg.Entry && batch.Incarnation == t.cfg.Incarnation
	var out []Decision
	for _, record := range batch.Records {
		var d Decision
		switch r := record.(type) {
		case Release:
			d = t.applyRelease(by, r)
		case Outcome:
			d = t.applyOutcome(offset, by, own, r)
		case EraMark:
			t.applyMark(r)
		case Closed:
			d = t.applyClosed(r)
		case Claim:
			d = t.applyClaim(offset, by, own, r)
		}
		if d != nil {
			out = append(out, d)
		}
	}
	if own {
		out = append(out, BatchCommitted{BatchID: batch.BatchID})
	}
	return out
}

// applyMark has keys proved from the first mark of the present era on. One of an earlier era was appended before this one's losses.
func (t *Table) applyMark(m EraMark) {
	if t.awaitsMark && m.Era == t.era {
		t.awaitsMark = false
		t.markMillis = t.logMillis
		t.sinceMillis = t.logMillis
	}
}

// PredatesEra tells whether a key may have been used before the log last returned from an older copy, so that a claim of it may be
// lost. Keys of callers whose clocks are ahead may be older than they say; their claims are not won either.
func (t *Table) PredatesEra(birth time.Time) bool {
	return t.era > 0 && (t.awaitsMark || birth.UnixMilli() <= t.markMillis)
}

func (t *Table) applyClosed(r Closed) Decision {
	o := owner{entry: t.names.id(r.Entry), incarnation: r.Incarnation}
	if t.closed[o] {
		return nil
	}
	t.closed[o] = true
	return IncarnationClosed(r)
}

func (t *Table) applyClaim(offset int64, by owner, own bool, c Claim) Decision {
	id, err := parseKey(c.Key.Key)
	if err != nil {
		return voided(own, c, VoidBadKey)
	}
	birth := birthMillis(id)
	if reason := t.voidReason(by, birth); reason != 0 {
		return voided(own, c, reason)
	}
	s := slot{account: t.names.id(c.Key.Account), id: id}
	claim := claimIdentity{owner: by, claimID: c.ClaimID}
	h := t.slots[s]
	if h == nil {
		h = &holding{}
		t.slots[s] = h
		t.expiries.add(s, birth+t.cfg.Horizon.Milliseconds())
	}
	if h.held {
		return t.lost(h, claim, own, c)
	}
	h.hold(claim, offset, c.Digest)
	if !own {
		return nil
	}
	if !t.proves(birth) {
		return Unverified{Key: c.Key, ClaimID: c.ClaimID}
	}
	return Won{Key: c.Key, ClaimID: c.ClaimID, Offset: offset}
}

// voidReason tells why no table takes the claim, or 0. It depends on the log alone: a claim that lands after
// the tables have forgotten its key must not find the key free.
func (t *Table) voidReason(by owner, birth int64) VoidReason {
	switch {
	case t.closed[by]:
		return VoidClosed
	case t.logMillis > birth+t.cfg.Horizon.Milliseconds():
		return VoidTooOld
	case birth > t.logMillis+MaxSkew.Milliseconds():
		return VoidFromFuture
	default:
		return 0
	}
}

func voided(own bool, c Claim, reason VoidReason) Decision {
	if !own {
		return nil
	}
	return Voided{Key: c.Key, ClaimID: c.ClaimID, Reason: reason}
}

func (t *Table) lost(h *holding, claim claimIdentity, own bool, c Claim) Decision {
	if h.claim == claim {
		// A second copy of the holder's own claim: its append was sent again after a lost reply.
		return nil
	}
	if !own {
		return nil
	}
	return Lost{Key: c.Key, ClaimID: c.ClaimID, Holder: t.view(h), SameDigest: h.digest == c.Digest}
}

// proves tells that no earlier claim for a key of this birth can have been missed. Claims that land more than
// MaxSkew before their key's birth are void, so earlier parts of the log do not matter.
func (t *Table) proves(birth int64) bool {
	return !t.lapsed && t.sinceMillis < birth-MaxSkew.Milliseconds()
}

func (t *Table) applyRelease(by owner, r Release) Decision {
	h := t.find(r.Key)
	if h == nil || !h.held || h.ended() || h.claim != (claimIdentity{owner: by, claimID: r.ClaimID}) {
		return nil
	}
	h.held = false
	return Released{Key: r.Key}
}

func (t *Table) applyOutcome(offset int64, by owner, own bool, r Outcome) Decision {
	h := t.find(r.Key)
	if h == nil || !h.held || h.ended() || h.claim != (claimIdentity{owner: by, claimID: r.ClaimID}) {
		return nil
	}
	h.end(offset, r)
	t.answers.keep(h, t.cfg.AnswerBytes)
	if own {
		return nil
	}
	return ForeignOutcome{Key: r.Key, Status: t.view(h)}
}

func (t *Table) find(k Key) *holding {
	id, err := parseKey(k.Key)
	if err != nil {
		return nil
	}
	account, ok := t.names.find(k.Account)
	if !ok {
		return nil
	}
	return t.slots[slot{account: account, id: id}]
}

// Lookup tells what the log says of a key; false if no valid claim for it was read.
func (t *Table) Lookup(k Key) (KeyStatus, bool) {
	h := t.find(k)
	if h == nil {
		return KeyStatus{}, false
	}
	return t.view(h), true
}

// CheckVerifiable refuses a key that a claim could not be proved for, with a *KeyUnprovableError.
// It spares the append; Apply asks the same again.
func (t *Table) CheckVerifiable(birth time.Time) error {
	if t.proves(birth.UnixMilli()) {
		return nil
	}
	return &KeyUnverifiableError{CreatedAt: birth, Lapsed: t.lapsed}
}

// Offset gives the last offset read.
func (t *Table) Offset() int64 { return t.next - 1 }

// Next gives the offset to read from.
func (t *Table) Next() int64 { return t.next }

// Len gives the number of keys that are remembered.
func (t *Table) Len() int { return len(t.slots) }

// BadRecords counts records that are no batches and were passed over.
func (t *Table) BadRecords() int { return t.bad }

// Lapsed tells that this incarnation may win no claim any more: the process must take a new one.
func (t *Table) Lapsed() bool { return t.lapsed }
