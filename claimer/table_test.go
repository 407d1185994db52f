package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/recorder"
)

const (
	bornMillis = int64(1_700_000_000_000)
	testKey    = "018bcfe5-6800-7000-8000-000000000001" // born at bornMillis
	secondKey  = "018bcfe5-6800-7000-8000-000000000002"
)

var (
	bodyOne = [32]byte{1}
	bodyTwo = [32]byte{2}
	wall    = Key{Account: "wallcare", Key: testKey}
)

// landed is one batch as the log holds it, some time after the key's birth.
type landed struct {
	offset  int64
	after   time.Duration
	entry   string
	inc     uint64
	records []ClaimRecord
}

func (l landed) record(t *testing.T) recorder.Record {
	t.Helper()
	data, err := Encode(Batch{Entry: l.entry, Incarnation: l.inc, BatchID: uint64(l.offset), Records: l.records})
	require.NoError(t, err)
	return recorder.Record{Offset: l.offset, AtMillis: bornMillis + l.after.Milliseconds(), Data: data}
}

func claim(id uint64, body [32]byte) []ClaimRecord {
	return []ClaimRecord{Claim{Key: wall, Digest: body, ClaimID: id}}
}

func release(id uint64) []ClaimRecord { return []ClaimRecord{Release{Key: wall, ClaimID: id}} }

func outcome(id uint64, answer string) []ClaimRecord {
	return []ClaimRecord{Outcome{Key: wall, ClaimID: id, State: StateAnswered, Answer: answer, Parts: 3}}
}

func closing(entry string, inc uint64) []ClaimRecord {
	return []ClaimRecord{Closed{Entry: entry, Incarnation: inc}}
}

func holder(entry string, id uint64, offset int64, body [32]byte) KeyStatus {
	return KeyStatus{Held: true, Entry: entry, Incarnation: 1, ClaimID: id, Offset: offset, Digest: body}
}

func endedHolder(entry string, id uint64, offset int64, answer string, at int64) KeyStatus {
	h := holder(entry, id, offset, bodyOne)
	h.Ended = true
	h.Outcome = RecordedOutcome{State: StateAnswered, Answer: answer, Parts: 3, Offset: at}
	return h
}

// Each scenario is what entry a, incarnation 1, makes of the log.
func TestTheLogDecides(t *testing.T) {
	scenarios := []struct {
		testName string
		first    int64
		log      []landed
		want     []Decision
	}{
		{
			// Two callers send one key to two entries at the same moment. Both claims land; b's lies first.
			// Entry a reads b's claim before its own, and so knows that it must not run the request.
			testName: "the first claim in the log wins, at the other entry too",
			log:      []landed{{1, 0, "b", 1, claim(7, bodyOne)}, {2, 0, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{Lost{wall, 1, holder("b", 7, 1, bodyOne), true}, BatchCommitted{2}},
		},
		{
			// Offsets have holes, so the winner's is not one more than the last.
			testName: "an own claim that lies first is won",
			log:      []landed{{5, 0, "a", 1, claim(1, bodyOne)}, {9, 0, "b", 1, claim(7, bodyOne)}},
			want:     []Decision{Won{wall, 1, 5}, BatchCommitted{5}},
		},
		{
			// A caller reuses a key for another request. Its body differs, so the first answer is not its answer.
			testName: "a key with another body is told apart",
			log:      []landed{{1, 0, "b", 1, claim(7, bodyTwo)}, {2, 0, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{Lost{wall, 1, holder("b", 7, 1, bodyTwo), false}, BatchCommitted{2}},
		},
		{
			// The reply to an append is lost and a relay sends it again: the batch lies in the log twice.
			// The second copy must not make the owner run the request again.
			testName: "a second copy of a winning claim settles nothing",
			log:      []landed{{1, 0, "a", 1, claim(1, bodyOne)}, {2, 0, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{Won{wall, 1, 1}, BatchCommitted{1}, BatchCommitted{2}},
		},
		{
			// A former process of the same name had claimed the key and died. The new process has the same
			// entry name, but did not dispatch, and cannot know whether the dead one did.
			testName: "a former incarnation's claim is another's",
			log:      []landed{{1, 0, "a", 0, claim(1, bodyOne)}, {2, 0, "a", 1, claim(1, bodyOne)}},
			want: []Decision{Lost{wall, 1, KeyStatus{
				Held: true, Entry: "a", ClaimID: 1, Offset: 1, Digest: bodyOne,
			}, true}, BatchCommitted{2}},
		},
		{
			// b gave its request up while its claim was on its way, then read it back and released it.
			// The caller, told "not run", sends the key to a, which may run it.
			testName: "a released key can be won",
			log: []landed{{1, 0, "b", 1, claim(7, bodyOne)}, {2, 0, "b", 1, release(7)},
				{3, 0, "a", 1, claim(1, bodyOne)}},
			want: []Decision{Released{wall}, Won{wall, 1, 3}, BatchCommitted{3}},
		},
		{
			// b runs the request. c, by an error or from a former life, releases a claim that is not its own.
			testName: "only the owner can release",
			log: []landed{{1, 0, "b", 1, claim(7, bodyOne)}, {2, 0, "c", 1, release(7)}, {3, 0, "b", 2, release(7)},
				{4, 0, "b", 1, release(8)}, {5, 0, "a", 1, claim(1, bodyOne)}},
			want: []Decision{Lost{wall, 1, holder("b", 7, 1, bodyOne), true}, BatchCommitted{5}},
		},
		{
			// An ended request's owner must not be able to free its key: the next sending would run it again.
			testName: "an ended request cannot be released",
			log: []landed{{1, 0, "b", 1, claim(7, bodyOne)}, {2, 0, "b", 1, outcome(7, "done")},
				{3, 0, "b", 1, release(7)}, {4, 0, "a", 1, claim(1, bodyOne)}},
			want: []Decision{ForeignOutcome{wall, endedHolder("b", 7, 1, "done", 2)},
				Lost{wall, 1, endedHolder("b", 7, 1, "done", 2), true}, BatchCommitted{4}},
		},
		{
			// The endpoint's answer to c's own request is filed under b's key, by a confused entry.
			// A caller that asks for its key must never be handed it.
			testName: "a foreign outcome is not taken, nor a second one",
			log: []landed{{1, 0, "b", 1, claim(7, bodyOne)}, {2, 0, "c", 1, outcome(7, "another's")},
				{3, 0, "b", 1, outcome(8, "of no claim")}, {4, 0, "b", 1, outcome(7, "done")},
				{5, 0, "b", 1, outcome(7, "done otherwise")}},
			want: []Decision{ForeignOutcome{wall, endedHolder("b", 7, 1, "done", 4)}},
		},
		{
			// b died; its last append was still on its way when a closed it, and lands after.
			// The key is free: nothing that b claimed so late can have been dispatched by a living process.
			testName: "a claim after its incarnation's closing is void",
			log: []landed{{1, 0, "a", 1, closing("b", 1)}, {2, 0, "b", 1, claim(7, bodyOne)},
				{3, 0, "a", 1, claim(1, bodyOne)}},
			want: []Decision{IncarnationClosed{"b", 1}, BatchCommitted{1}, Won{wall, 1, 3}, BatchCommitted{3}},
		},
		{
			// b had claimed before it was declared dead. It may have dispatched, so the key is never run again.
			testName: "a claim before its incarnation's closing holds",
			log: []landed{{1, 0, "b", 1, claim(7, bodyOne)}, {2, 0, "a", 1, closing("b", 1)},
				{3, 0, "a", 1, claim(1, bodyOne)}},
			want: []Decision{IncarnationClosed{"b", 1}, BatchCommitted{2}, Lost{wall, 1, KeyStatus{
				Held: true, Entry: "b", Incarnation: 1, ClaimID: 7, Offset: 1, Digest: bodyOne, OwnerClosed: true,
			}, true}, BatchCommitted{3}},
		},
		{
			// a was frozen and declared dead, wakes up and claims. All others hold the claim void, so must a.
			testName: "a closed incarnation wins nothing",
			log:      []landed{{1, 0, "c", 1, closing("a", 1)}, {2, 0, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{IncarnationClosed{"a", 1}, Voided{wall, 1, VoidClosed}, BatchCommitted{2}},
		},
		{
			// The log was slow: the claim lands when the key is past its horizon, and other tables may have
			// forgotten what became of the key.
			testName: "a claim that lands past the horizon is void",
			log:      []landed{{1, 10*time.Minute + time.Second, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{Voided{wall, 1, VoidTooOld}, BatchCommitted{1}},
		},
		{
			// The caller's clock is minutes ahead. A fresh table reckons that no claim for a key can lie more
			// than the skew before the key's birth, so no table may take one that does.
			testName: "a claim far before its key's birth is void",
			log:      []landed{{1, -2 * time.Minute, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{Voided{wall, 1, VoidFromFuture}, BatchCommitted{1}},
		},
		{
			// a is new and the log's oldest records are cut: an earlier claim for the key may be among those.
			testName: "a key from before the oldest record read is not won",
			first:    10,
			log:      []landed{{10, time.Minute, "c", 1, nil}, {11, time.Minute, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{Unverified{wall, 1}, BatchCommitted{11}},
		},
		{
			// The same, but all that was cut is older than any claim for the key can be.
			testName: "a key from after the oldest record read is won",
			first:    10,
			log:      []landed{{10, -2 * time.Minute, "c", 1, nil}, {11, time.Minute, "a", 1, claim(1, bodyOne)}},
			want:     []Decision{Won{wall, 1, 11}, BatchCommitted{11}},
		},
		{
			testName: "a key that is no UUIDv7 is void",
			log:      []landed{{1, 0, "a", 1, []ClaimRecord{Claim{Key: Key{"wallcare", "digest-7"}, ClaimID: 1}}}},
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
				require.Empty(t, table.Apply(l.record(t)), "a record read twice settles nothing")
			}
			require.Equal(t, s.want, got)
		})
	}
}

// An entry is frozen for longer than the log keeps records, and is declared dead meanwhile; the record of its
// closing is cut before it wakes. It claims a key that all others hold free: it must not run it.
func TestAnEntryThatMissedRecordsWinsNothing(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1})
	require.False(t, table.BeginPage(0))
	table.Apply(landed{1, -time.Hour, "b", 1, nil}.record(t))
	require.True(t, table.BeginPage(20), "records 2 to 19 were cut")
	got := table.Apply(landed{20, time.Minute, "a", 1, claim(1, bodyOne)}.record(t))
	require.Equal(t, []Decision{Unverified{wall, 1}, BatchCommitted{20}}, got)
	require.True(t, table.Lapsed())

	var unprovable *KeyUnverifiableError
	require.ErrorAs(t, table.CheckVerifiable(time.UnixMilli(bornMillis).Add(time.Hour)), &unprovable)
	require.True(t, unprovable.Lapsed, "no key at all, under this incarnation")
}

// Nothing is proved by a table that was not told where the log starts: an entry that forgot to ask would
// otherwise take an empty memory for an empty log.
func TestATableThatWasNotStartedProvesNothing(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1})
	require.Equal(t, []Decision{Unverified{wall, 1}, BatchCommitted{1}}, table.Apply(landed{1, 0, "a", 1, claim(1, bodyOne)}.record(t)))
}

// Keys are forgotten by the log's time once they can be claimed no more, and old answers before that,
// so that a table's memory follows the last horizon's requests.
func TestMemoryIsBounded(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1, AnswerBytes: 10})
	table.BeginPage(0)
	table.Apply(landed{1, 0, "b", 1, append(claim(7, bodyOne), Claim{Key: Key{"wallcare", secondKey}, ClaimID: 8})}.record(t))
	table.Apply(landed{2, 0, "b", 1, outcome(7, "eight by")}.record(t))
	table.Apply(landed{3, 0, "b", 1, []ClaimRecord{Outcome{Key: Key{"wallcare", secondKey}, ClaimID: 8, Answer: "eight by"}}}.record(t))
	h, _ := table.Lookup(wall)
	require.True(t, h.Ended)
	require.Equal(t, StateAnswerNotKept, h.Outcome.State, "an empty text must not pass for the answer")
	require.True(t, h.Outcome.AnswerInLog)
	require.Empty(t, h.Outcome.Answer)
	require.Equal(t, int64(2), h.Outcome.Offset, "where the answer can be read again")
	h, _ = table.Lookup(Key{"wallcare", secondKey})
	require.Equal(t, "eight by", h.Outcome.Answer)

	table.Apply(landed{4, 10 * time.Minute, "b", 1, nil}.record(t))
	require.Equal(t, 2, table.Len(), "the horizon is not past")
	table.Apply(landed{5, 10*time.Minute + 11*time.Second, "b", 1, nil}.record(t))
	require.Zero(t, table.Len())
}

// A record that is no batch lies in the log for all to read: it is passed over, and stops nobody.
func TestABadRecordStopsNobody(t *testing.T) {
	table := New(Config{Entry: "a", Incarnation: 1})
	table.BeginPage(0)
	require.Empty(t, table.Apply(recorder.Record{Offset: 1, AtMillis: bornMillis, Data: []byte("{}")}))
	require.Equal(t, 1, table.BadRecords())
	got := table.Apply(landed{2, 0, "a", 1, claim(1, bodyOne)}.record(t))
	require.Equal(t, []Decision{Won{wall, 1, 2}, BatchCommitted{2}}, got)
}
