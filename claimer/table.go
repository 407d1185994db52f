package claimer

import (
	"math"
	"time"

	"geraniumline/recorder"
)

// Config identifies the owner of a Table and limits what the table stores.
type Config struct {
	Entry       string
	Incarnation uint64
	// Horizon is the maximum age at which a key can be claimed. It must be well below the log's retention;
	// otherwise a restarted entry finds no key that it may claim.
	Horizon time.Duration
	// AnswerBytes limits the answers held in memory. Older ones are dropped and can be read from the log again.
	AnswerBytes int
}

const (
	defaultHorizon     = 10 * time.Minute
	defaultAnswerBytes = 8 << 20
)

// maxLogMillis is a log time that no record reaches.
const maxLogMillis = math.MaxInt64

// Table is the state of the claims stream as read by one entry.
type Table struct {
	cfg   Config
	names nameTable
	// next is the lowest offset that has not been read.
	next int64
	// logMillis is the highest log time read. All ages are measured against it, so that all tables agree.
	logMillis int64
	// completeAfterMillis is the log time after which this table has read every record.
	completeAfterMillis int64
	// started is set once the first page's start is known.
	started bool
	// lapsed is set once records were cut before this table read them, after it had started.
	lapsed bool
	// afterGap is set while the next record is the first one that was kept.
	afterGap bool
	// firstReadMillis is the log time of the first record that this table ever read, maxLogMillis before that.
	firstReadMillis int64
	// rereading is set once the stream is read again from its beginning.
	rereading bool
	// era is the era of the log's pages. awaitingMark is set until an EraMark of it is read; markMillis is the
	// log time of that mark.
	era          int64
	awaitingMark bool
	markMillis   int64
	closed       map[owner]bool
	keys         map[keyID]*keyState
	expiries     expiries
	// lastExpired is the last range of expiries that was deleted.
	lastExpired int64
	answers     answers
	badRecords  int
}

// New returns a table that has read nothing and so can verify no key.
func New(cfg Config) *Table {
	if cfg.Horizon <= 0 {
		cfg.Horizon = defaultHorizon
	}
	if cfg.AnswerBytes <= 0 {
		cfg.AnswerBytes = defaultAnswerBytes
	}
	return &Table{
		cfg:                 cfg,
		names:               newNameTable(),
		completeAfterMillis: maxLogMillis,
		firstReadMillis:     maxLogMillis,
		closed:              make(map[owner]bool),
		keys:                make(map[keyID]*keyState),
		expiries:            make(expiries),
	}
}

// BeginEra sets the era of the log's next page and reports whether it is a new one. If so, an EraMark of it
// must be appended, and the stream is read again from its beginning.
//
// In a new era the log may have lost claims whose requests ran. The keys of those requests were created before
// the era began, so this table verifies no key older than the era's first EraMark. Without this rule, an entry
// that has not read a lost claim would win its key, and the request would run twice.
//
// The table keeps its keys but clears its closed incarnations: the records of the new era determine those, as
// they do for tables that read no earlier records.
func (t *Table) BeginEra(era int64) bool {
	if era <= t.era {
		return false
	}
	t.era = era
	t.awaitingMark = true
	t.completeAfterMillis = maxLogMillis
	t.next = 0
	t.rereading = t.rereading || t.started
	t.started = false
	t.afterGap = false
	clear(t.closed)
	return true
}

// mayHaveBeenClosed reports whether this incarnation may have been closed in records that were cut before the
// first one kept, that is, in those that followed this table's first one.
func (t *Table) mayHaveBeenClosed(firstKept int64) bool {
	return t.rereading && (t.firstReadMillis == maxLogMillis || firstKept >= t.firstReadMillis)
}

// BeginPage must be called with the log's oldest kept offset once before the records of each page are applied.
// It reports whether records were cut before this table could read them. From then on the table verifies no
// older key.
//
// If that happens after the start, this incarnation may itself have been closed in the lost part. All other
// entries would then regard its claims as void, and a request that it dispatched could run twice. So it wins no
// more claims until the process starts a new incarnation, which nobody can have closed yet.
func (t *Table) BeginPage(first int64) bool {
	firstPage := !t.started
	t.started = true
	if first <= max(t.next, 1) {
		if firstPage && !t.awaitingMark {
			t.completeAfterMillis = math.MinInt64
		}
		return false
	}
	t.lapsed = t.lapsed || !firstPage
	t.afterGap = true
	t.next = first
	return true
}

// Apply processes the stream's next record and returns the resulting decisions in order. A record that was read
// before results in none.
func (t *Table) Apply(r recorder.Record) []Decision {
	if r.Offset < t.next {
		return nil
	}
	t.next = r.Offset + 1
	t.logMillis = max(t.logMillis, r.AtMillis)
	if t.afterGap && t.mayHaveBeenClosed(r.AtMillis) {
		t.lapsed = true
	}
	t.firstReadMillis = min(t.firstReadMillis, r.AtMillis)
	if t.afterGap {
		// Records that were cut may have the same millisecond timestamp as the first one kept.
		t.afterGap = false
		if !t.awaitingMark {
			t.completeAfterMillis = t.logMillis
		}
	}
	t.expire()
	batch, err := Decode(r.Data)
	if err != nil {
		t.badRecords++
		return nil
	}
	return t.applyBatch(r.Offset, &batch)
}

func (t *Table) applyBatch(offset int64, batch *Batch) []Decision {
	author := owner{entry: t.names.intern(batch.Entry), incarnation: batch.Incarnation}
	own := batch.Entry == t.cfg.Entry && batch.Incarnation == t.cfg.Incarnation
	var out []Decision
	for _, record := range batch.Records {
		var d Decision
		switch r := record.(type) {
		case Release:
			d = t.applyRelease(author, r)
		case Outcome:
			d = t.applyOutcome(offset, author, own, r)
		case EraMark:
			t.applyMark(r)
		case Closed:
			d = t.applyClosed(r)
		case Claim:
			d = t.applyClaim(offset, author, own, r)
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

// applyMark makes keys verifiable from the first mark of the current era on. A mark of an earlier era was
// appended before the losses of this one.
func (t *Table) applyMark(m EraMark) {
	if t.awaitingMark && m.Era == t.era {
		t.awaitingMark = false
		t.markMillis = t.logMillis
		t.completeAfterMillis = t.logMillis
	}
}

// PredatesEra reports whether a key may have been used before the log last returned from an older copy, so that
// a claim for it may be lost. A key from a caller whose clock is ahead may be older than its time says; claims
// for such keys are not won either.
func (t *Table) PredatesEra(createdAt time.Time) bool {
	return t.era > 0 && (t.awaitingMark || createdAt.UnixMilli() <= t.markMillis)
}

func (t *Table) applyClosed(r Closed) Decision {
	o := owner{entry: t.names.intern(r.Entry), incarnation: r.Incarnation}
	if t.closed[o] {
		return nil
	}
	t.closed[o] = true
	return IncarnationClosed(r)
}

func (t *Table) applyClaim(offset int64, author owner, own bool, c Claim) Decision {
	id, err := parseKey(c.Key.Key)
	if err != nil {
		return voidDecision(own, c, VoidBadKey)
	}
	createdMillis := keyTimeMillis(id)
	if reason := t.voidReason(author, createdMillis); reason != 0 {
		return voidDecision(own, c, reason)
	}
	key := keyID{account: t.names.intern(c.Key.Account), id: id}
	claim := claimIdentity{owner: author, claimID: c.ClaimID}
	s := t.keys[key]
	if s == nil {
		s = &keyState{}
		t.keys[key] = s
		t.expiries.add(key, createdMillis+t.cfg.Horizon.Milliseconds())
	}
	if s.held {
		return t.lostDecision(s, claim, own, c)
	}
	s.assign(claim, offset, c.Digest)
	if !own {
		return nil
	}
	if !t.verifiable(createdMillis) {
		return Unverified{Key: c.Key, ClaimID: c.ClaimID}
	}
	return Won{Key: c.Key, ClaimID: c.ClaimID, Offset: offset}
}

// voidReason returns the reason why every table ignores the claim, or 0. It depends on the log alone: a claim
// that is appended after the tables have deleted its key must not find the key free.
func (t *Table) voidReason(author owner, createdMillis int64) VoidReason {
	switch {
	case t.closed[author]:
		return VoidClosed
	case t.logMillis > createdMillis+t.cfg.Horizon.Milliseconds():
		return VoidTooOld
	case createdMillis > t.logMillis+MaxSkew.Milliseconds():
		return VoidFromFuture
	default:
		return 0
	}
}

func voidDecision(own bool, c Claim, reason VoidReason) Decision {
	if !own {
		return nil
	}
	return Voided{Key: c.Key, ClaimID: c.ClaimID, Reason: reason}
}

func (t *Table) lostDecision(s *keyState, claim claimIdentity, own bool, c Claim) Decision {
	if s.claim == claim {
		// This is a second copy of the holder's own claim: its append was sent again after a lost reply.
		return nil
	}
	if !own {
		return nil
	}
	return Lost{Key: c.Key, ClaimID: c.ClaimID, Holder: t.status(s), SameDigest: s.digest == c.Digest}
}

// verifiable reports whether no earlier claim can have been missed for a key of this creation time. Claims that
// are appended more than MaxSkew before their key's time are void, so earlier parts of the log do not matter.
func (t *Table) verifiable(createdMillis int64) bool {
	return !t.lapsed && t.completeAfterMillis < createdMillis-MaxSkew.Milliseconds()
}

func (t *Table) applyRelease(author owner, r Release) Decision {
	s := t.find(r.Key)
	if s == nil || !s.held || s.ended() || s.claim != (claimIdentity{owner: author, claimID: r.ClaimID}) {
		return nil
	}
	s.held = false
	return Released{Key: r.Key}
}

func (t *Table) applyOutcome(offset int64, author owner, own bool, r Outcome) Decision {
	s := t.find(r.Key)
	if s == nil || !s.held || s.ended() || s.claim != (claimIdentity{owner: author, claimID: r.ClaimID}) {
		return nil
	}
	s.recordOutcome(offset, r)
	t.answers.add(s, t.cfg.AnswerBytes)
	if own {
		return nil
	}
	return ForeignOutcome{Key: r.Key, Status: t.status(s)}
}

func (t *Table) find(k Key) *keyState {
	id, err := parseKey(k.Key)
	if err != nil {
		return nil
	}
	account, ok := t.names.find(k.Account)
	if !ok {
		return nil
	}
	return t.keys[keyID{account: account, id: id}]
}

// Lookup returns the state of a key according to the log, or false if no valid claim for it was read.
func (t *Table) Lookup(k Key) (KeyStatus, bool) {
	s := t.find(k)
	if s == nil {
		return KeyStatus{}, false
	}
	return t.status(s), true
}

// CheckVerifiable returns a *KeyUnverifiableError for a key whose claim could not be verified. It saves the
// append; Apply checks again.
func (t *Table) CheckVerifiable(createdAt time.Time) error {
	if t.verifiable(createdAt.UnixMilli()) {
		return nil
	}
	return &KeyUnverifiableError{CreatedAt: createdAt, Lapsed: t.lapsed}
}

// Offset returns the last offset read.
func (t *Table) Offset() int64 { return t.next - 1 }

// Next returns the offset to read from.
func (t *Table) Next() int64 { return t.next }

// Len returns the number of stored keys.
func (t *Table) Len() int { return len(t.keys) }

// BadRecords returns the number of skipped records that were not batches.
func (t *Table) BadRecords() int { return t.badRecords }

// Lapsed reports that this incarnation can win no more claims, so that the process must start a new one.
func (t *Table) Lapsed() bool { return t.lapsed }
