package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/recorder"
)

const (
	createdMillis = int64(1_700_000_000_000)
	testKey       = "018bcfe5-6800-7000-8000-000000000001" // created at createdMillis
	secondKey     = "018bcfe5-6800-7000-8000-000000000002"
)

var (
	digestOne  = [32]byte{1}
	digestTwo  = [32]byte{2}
	requestKey = Key{Account: "wallcare", Key: testKey}
)

// logBatch is one batch in the log, committed some time after the key's creation.
type logBatch struct {
	offset  int64
	after   time.Duration
	entry   string
	inc     uint64
	records []ClaimRecord
}

func (l logBatch) record(t *testing.T) recorder.Record {
	t.Helper()
	data, err := Encode(Batch{Entry: l.entry, Incarnation: l.inc, BatchID: uint64(l.offset), Records: l.records})
	require.NoError(t, err)
	return recorder.Record{Offset: l.offset, AtMillis: createdMillis + l.after.Milliseconds(), Data: data}
}

func claim(id uint64, digest [32]byte) []ClaimRecord {
	return []ClaimRecord{Claim{Key: requestKey, Digest: digest, ClaimID: id}}
}

func release(id uint64) []ClaimRecord { return []ClaimRecord{Release{Key: requestKey, ClaimID: id}} }

func outcome(id uint64, answer string) []ClaimRecord {
	return []ClaimRecord{Outcome{Key: requestKey, ClaimID: id, State: StateAnswered, Answer: answer, Parts: 3}}
}

func closing(entry string, inc uint64) []ClaimRecord {
	return []ClaimRecord{Closed{Entry: entry, Incarnation: inc}}
}

func heldBy(entry string, id uint64, offset int64, digest [32]byte) KeyStatus {
	return KeyStatus{Held: true, Entry: entry, Incarnation: 1, ClaimID: id, Offset: offset, Digest: digest}
}

func endedBy(entry string, id uint64, offset int64, answer string, at int64) KeyStatus {
	h := heldBy(entry, id, offset, digestOne)
	h.Ended = true
	h.Outcome = RecordedOutcome{State: StateAnswered, Answer: answer, Parts: 3, Offset: at}
	return h
}

// Each scenario checks the decisions of entry a, incarnation 1, for the given log.
func TestTheLogDecides(t *testing.T) {
	scenarios := []struct {
		testName string
		first    int64
		log      []logBatch
		want     []Decision
	}{
		{
			// Two callers send one key to two entries at the same moment. Both claims are appended, b's first.
			// Entry a reads b's claim before its own and must not run the request.
			testName: "the first claim in the log wins at another entry too",
			log:      []logBatch{{1, 0, "b", 1, claim(7, digestOne)}, {2, 0, "a", 1, claim(1, digestOne)}},
			want:     []Decision{Lost{requestKey, 1, heldBy("b", 7, 1, digestOne), true}, BatchCommitted{2}},
		},
		{
			// Offsets have gaps, so the winner's offset is not the last one plus 1.
			testName: "an own claim that comes first is won",
			log:      []logBatch{{5, 0, "a", 1, claim(1, digestOne)}, {9, 0, "b", 1, claim(7, digestOne)}},
			want:     []Decision{Won{requestKey, 1, 5}, BatchCommitted{5}},
		},
		{
			// A caller reuses a key for another request. The body differs, so the answer to the first request
			// is not the answer to this one.
			testName: "a key reused with another body is detected",
			log:      []logBatch{{1, 0, "b", 1, claim(7, digestTwo)}, {2, 0, "a", 1, claim(1, digestOne)}},
			want:     []Decision{Lost{requestKey, 1, heldBy("b", 7, 1, digestTwo), false}, BatchCommitted{2}},
		},
		{
			// The reply to an append is lost and a relay sends it again, so the batch is in the log twice. The
			// second copy must not make the owner run the request again.
			testName: "a second copy of a winning claim has no effect",
			log:      []logBatch{{1, 0, "a", 1, claim(1, digestOne)}, {2, 0, "a", 1, claim(1, digestOne)}},
			want:     []Decision{Won{requestKey, 1, 1}, BatchCommitted{1}, BatchCommitted{2}},
		},
		{
			// A former process of the same name claimed the key and died. The new process did not dispatch the
			// request, and has no information on whether the dead one did.
			testName: "a former incarnation's claim counts as foreign",
			log:      []logBatch{{1, 0, "a", 0, claim(1, digestOne)}, {2, 0, "a", 1, claim(1, digestOne)}},
			want: []Decision{Lost{requestKey, 1, KeyStatus{
				Held: true, Entry: "a", ClaimID: 1, Offset: 1, Digest: digestOne,
			}, true}, BatchCommitted{2}},
		},
		{
			// b gave up its request while the claim was in flight, then read the claim back and released it.
			// The caller was answered "not run" and sends the key to a, which may run it.
			testName: "a released key can be won",
			log: []logBatch{{1, 0, "b", 1, claim(7, digestOne)}, {2, 0, "b", 1, release(7)},
				{3, 0, "a", 1, claim(1, digestOne)}},
			want: []Decision{Released{requestKey}, Won{requestKey, 1, 3}, BatchCommitted{3}},
		},
		{
			// b runs the request. c, by an error or from a former incarnation, releases a claim that is not its
			// own.
			testName: "only the owner can release",
			log: []logBatch{{1, 0, "b", 1, claim(7, digestOne)}, {2, 0, "c", 1, release(7)}, {3, 0, "b", 2, release(7)},
				{4, 0, "b", 1, release(8)}, {5, 0, "a", 1, claim(1, digestOne)}},
			want: []Decision{Lost{requestKey, 1, heldBy("b", 7, 1, digestOne), true}, BatchCommitted{5}},
		},
		{
			// The owner of an ended request must not be able to release its key: the next attempt would run it
			// again.
			testName: "an ended request cannot be released",
			log: []logBatch{{1, 0, "b", 1, claim(7, digestOne)}, {2, 0, "b", 1, outcome(7, "done")},
				{3, 0, "b", 1, release(7)}, {4, 0, "a", 1, claim(1, digestOne)}},
			want: []Decision{ForeignOutcome{requestKey, endedBy("b", 7, 1, "done", 2)},
				Lost{requestKey, 1, endedBy("b", 7, 1, "done", 2), true}, BatchCommitted{4}},
		},
		{
			// A faulty entry records the answer to c's own request under b's key. It must never be returned to
			// a caller that asks for that key.
			testName: "a foreign or second outcome is ignored",
			log: []logBatch{{1, 0, "b", 1, claim(7, digestOne)}, {2, 0, "c", 1, outcome(7, "another's")},
				{3, 0, "b", 1, outcome(8, "of no claim")}, {4, 0, "b", 1, outcome(7, "done")},
				{5, 0, "b", 1, outcome(7, "done otherwise")}},
			want: []Decision{ForeignOutcome{requestKey, endedBy("b", 7, 1, "done", 4)}},
		},
		{
			// b died; its last append was still in flight when a closed the incarnation, and is committed after
			// that. The key is free: nothing that b claimed so late can have been dispatched by a live process.
			testName: "a claim after its incarnation's closing is void",
			log: []logBatch{{1, 0, "a", 1, closing("b", 1)}, {2, 0, "b", 1, claim(7, digestOne)},
				{3, 0, "a", 1, claim(1, digestOne)}},
			want: []Decision{IncarnationClosed{"b", 1}, BatchCommitted{1}, Won{requestKey, 1, 3}, BatchCommitted{3}},
		},
		{
			// b claimed the key before it was declared dead. It may have dispatched the request, so the key is
			// never run again.
			testName: "a claim before its incarnation's closing stays valid",
			log: []logBatch{{1, 0, "b", 1, claim(7, digestOne)}, {2, 0, "a", 1, closing("b", 1)},
				{3, 0, "a", 1, claim(1, digestOne)}},
			want: []Decision{IncarnationClosed{"b", 1}, BatchCommitted{2}, Lost{requestKey, 1, KeyStatus{
				Held: true, Entry: "b", Incarnation: 1, ClaimID: 7, Offset: 1, Digest: digestOne, OwnerClosed: true,
			}, true}, BatchCommitted{3}},
		},
		{
			// a was frozen and declared dead, resumes and claims a key. All other entries regard the claim as
			// void, so a must too.
			testName: "a closed incarnation wins no claim",
			log:      []logBatch{{1, 0, "c", 1, closing("a", 1)}, {2, 0, "a", 1, claim(1, digestOne)}},
			want:     []Decision{IncarnationClosed{"a", 1}, Voided{requestKey, 1, VoidClosed}, BatchCommitted{2}},
		},
		{
			// The log was slow: the claim is committed when the key is past its horizon, and other tables may
			// have deleted the key.
			testName: "a claim committed past the horizon is void",
			log:      []logBatch{{1, 10*time.Minute + time.Second, "a", 1, claim(1, digestOne)}},
			want:     []Decision{Voided{requestKey, 1, VoidTooOld}, BatchCommitted{1}},
		},
		{
			// The caller's clock is minutes ahead. A new table assumes that no claim for a key is in the log
			// more than MaxSkew before the key's creation, so every table must ignore a claim that is.
			testName: "a claim committed long before its key's creation is void",
			log:      []logBatch{{1, -2 * time.Minute, "a", 1, claim(1, digestOne)}},
			want:     []Decision{Voided{requestKey, 1, VoidFromFuture}, BatchCommitted{1}},
		},
		{
			// a is new and the log's oldest records were cut. They may have contained an earlier claim for the
			// key.
			testName: "a key from before the oldest record read is not won",
			first:    10,
			log:      []logBatch{{10, time.Minute, "c", 1, nil}, {11, time.Minute, "a", 1, claim(1, digestOne)}},
			want:     []Decision{Unverified{requestKey, 1}, BatchCommitted{11}},
		},
		{
			// As above, but everything that was cut is older than any claim for the key can be.
			testName: "a key from after the oldest record read is won",
			first:    10,
			log:      []logBatch{{10, -2 * time.Minute, "c", 1, nil}, {11, time.Minute, "a", 1, claim(1, digestOne)}},
			want:     []Decision{Won{requestKey, 1, 11}, BatchCommitted{11}},
		},
		{
			testName: "a key that is not a UUIDv7 is void",
			log:      []logBatch{{1, 0, "a", 1, []ClaimRecord{Claim{Key: Key{"wallcare", "digest-7"}, ClaimID: 1}}}},
			want:     []Decision{Voided{Key{"wallcare", "digest-7"}, 1, VoidBadKey}, BatchCommitted{1}},
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			table := New(Config{Entry: "a", Incarnation: 1})
			table.BeginPage(s.first)
			var got []Decision
			for _, l := range s.log {
				got = append(got, table.Apply(l.record(t))...)
				require.Empty(t, table.Apply(l.record(t)), "a record read twice must have no effect")
			}
			require.Equal(t, s.want, got)
		})
	}
}

// An entry is frozen for longer than the log keeps records and is declared dead meanwhile; the record that
// closes it is cut before it resumes. It claims a key that is free at all other entries, and must not run the
// request.
func TestEntryThatMissedRecordsWinsNoClaim(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1})
	require.False(t, table.BeginPage(0))
	table.Apply(logBatch{1, -time.Hour, "b", 1, nil}.record(t))
	require.True(t, table.BeginPage(20), "records 2 to 19 were cut")
	got := table.Apply(logBatch{20, time.Minute, "a", 1, claim(1, digestOne)}.record(t))
	require.Equal(t, []Decision{Unverified{requestKey, 1}, BatchCommitted{20}}, got)
	require.True(t, table.Lapsed())

	var unverifiable *KeyUnverifiableError
	require.ErrorAs(t, table.CheckVerifiable(time.UnixMilli(createdMillis).Add(time.Hour)), &unverifiable)
	require.True(t, unverifiable.Lapsed, "no key can be verified under this incarnation")
}

// A table that was not given the start of the log verifies no key. Otherwise an entry that omitted BeginPage
// would treat an empty table as an empty log.
func TestUnstartedTableVerifiesNoKey(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1})
	require.Equal(t, []Decision{Unverified{requestKey, 1}, BatchCommitted{1}}, table.Apply(logBatch{1, 0, "a", 1, claim(1, digestOne)}.record(t)))
}

// Keys are deleted by the log's time once they can no longer be claimed, and old answers earlier, so that a
// table's memory depends only on the requests of the last horizon.
func TestMemoryIsBounded(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1, AnswerBytes: 10})
	table.BeginPage(0)
	table.Apply(logBatch{1, 0, "b", 1, append(claim(7, digestOne), Claim{Key: Key{"wallcare", secondKey}, ClaimID: 8})}.record(t))
	table.Apply(logBatch{2, 0, "b", 1, outcome(7, "eight by")}.record(t))
	table.Apply(logBatch{3, 0, "b", 1, []ClaimRecord{Outcome{Key: Key{"wallcare", secondKey}, ClaimID: 8, Answer: "eight by"}}}.record(t))
	h, _ := table.Lookup(requestKey)
	require.True(t, h.Ended)
	require.Equal(t, StateAnswerNotKept, h.Outcome.State, "an empty text must not be returned as the answer")
	require.True(t, h.Outcome.AnswerInLog)
	require.Empty(t, h.Outcome.Answer)
	require.Equal(t, int64(2), h.Outcome.Offset, "the answer can be read again at this offset")
	h, _ = table.Lookup(Key{"wallcare", secondKey})
	require.Equal(t, "eight by", h.Outcome.Answer)

	table.Apply(logBatch{4, 10 * time.Minute, "b", 1, nil}.record(t))
	require.Equal(t, 2, table.Len(), "the horizon has not passed")
	table.Apply(logBatch{5, 10*time.Minute + 11*time.Second, "b", 1, nil}.record(t))
	require.Zero(t, table.Len())
}

// A record that is not a batch is read by every entry. It is skipped and must not stop any of them.
func TestBadRecordIsSkipped(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1})
	table.BeginPage(0)
	require.Empty(t, table.Apply(recorder.Record{Offset: 1, AtMillis: createdMillis, Data: []byte("{}")}))
	require.Equal(t, 1, table.BadRecords())
	got := table.Apply(logBatch{2, 0, "a", 1, claim(1, digestOne)}.record(t))
	require.Equal(t, []Decision{Won{requestKey, 1, 2}, BatchCommitted{2}}, got)
}
