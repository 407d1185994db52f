package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testTime = time.UnixMilli(createdMillis)

func at(millis int) time.Time { return testTime.Add(time.Duration(millis) * time.Millisecond) }

func testBatcher() *Batcher {
	return NewBatcher(BatcherConfig{
		Entry:         "a",
		Incarnation:   1,
		Window:        40 * time.Millisecond,
		AppendTimeout: time.Second,
		RetryAfter:    250 * time.Millisecond,
		MaxRetryAfter: time.Second,
		MaxInFlight:   2,
		MaxBytes:      1000,
	})
}

func claimWithID(id uint64) ClaimRecord { return Claim{Key: requestKey, ClaimID: id} }

func outcomeWithID(id uint64) ClaimRecord {
	return Outcome{Key: requestKey, ClaimID: id, State: StateAnswered}
}

func requireDue(t *testing.T, b *Batcher, now time.Time, want ...ClaimRecord) uint64 {
	t.Helper()
	batch, ok := b.Due(now)
	require.True(t, ok, "an append is due")
	require.ElementsMatch(t, want, batch.Records)
	return batch.BatchID
}

func requireNotDue(t *testing.T, b *Batcher, now time.Time) {
	t.Helper()
	_, ok := b.Due(now)
	require.False(t, ok, "no append is due")
}

// The log accepts a few hundred appends per second for all entries. A single claim must be appended at once,
// and a stream of claims must cause at most one append per window.
func TestWindowBatchesClaims(t *testing.T) {
	b := testBatcher()
	requireNotDue(t, b, at(0))
	b.Add(claimWithID(1))
	requireDue(t, b, at(0), claimWithID(1))
	b.Add(claimWithID(2))
	b.Add(claimWithID(3))
	requireNotDue(t, b, at(39))
	next, ok := b.Next(at(39))
	require.True(t, ok)
	require.Equal(t, at(40), next)
	requireDue(t, b, at(40), claimWithID(2), claimWithID(3))

	b.Add(claimWithID(4))
	_, ok = b.Next(at(90))
	require.False(t, ok, "two appends are in flight")
	b.Appended(1, AppendDone{}, at(91))
	requireDue(t, b, at(91), claimWithID(4))
}

// Guards against an append that the log refuses for its size because of long answers. A single long record must
// still be appended.
func TestAppendSizeIsLimited(t *testing.T) {
	b := testBatcher()
	long := Outcome{Key: requestKey, ClaimID: 1, Answer: string(make([]byte, 2000))}
	b.Add(long)
	b.Add(claimWithID(2))
	requireDue(t, b, at(0), long)
	requireDue(t, b, at(40), claimWithID(2))
}

// An endpoint's answer or error text is longer than the log's limit. The batch must still be appendable, and
// the outcome must say that the answer was not kept instead of containing its first part.
func TestOutcomeIsCutToLimits(t *testing.T) {
	b := testBatcher()
	long := string(make([]byte, maxAnswerBytes+1))
	b.Add(Outcome{Key: requestKey, ClaimID: 1, State: StateAnswered, Answer: long, Message: long})
	batch, ok := b.Due(at(0))
	require.True(t, ok)
	_, err := Encode(batch)
	require.NoError(t, err)
	got := batch.Records[0].(Outcome)
	require.Empty(t, got.Answer)
	require.Equal(t, StateAnswerNotKept, got.State)
}

// The log refuses an append for its rate. None of it was recorded, so callers can still be answered "not run".
// The remaining records are appended in the same order after the wait that the log requested.
func TestRefusedAppendIsRetried(t *testing.T) {
	b := testBatcher()
	b.Add(claimWithID(1))
	b.Add(outcomeWithID(2))
	b.Add(claimWithID(3))
	id := requireDue(t, b, at(0), claimWithID(1), outcomeWithID(2), claimWithID(3))
	require.False(t, b.Withdraw(1), "the claim may have been appended")
	b.Appended(id, AppendRefused{RetryAfter: 500 * time.Millisecond}, at(10))
	require.True(t, b.Withdraw(1), "the claim was not appended")
	wait, ok := b.Available(at(10))
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	requireNotDue(t, b, at(509))
	id = requireDue(t, b, at(510), outcomeWithID(2), claimWithID(3))
	b.Appended(id, AppendDone{}, at(520))
	_, ok = b.Available(at(520))
	require.True(t, ok)
}

// The reply to an append is lost. A claim that is sent again could be appended twice and minutes late, so only
// the log decides on it. An outcome that is not sent again would leave its caller with "unknown" for good.
func TestUncertainAppendRetriesOutcomes(t *testing.T) {
	b := testBatcher()
	b.Add(claimWithID(1))
	b.Add(outcomeWithID(2))
	id := requireDue(t, b, at(0), claimWithID(1), outcomeWithID(2))
	b.Appended(id, AppendUncertain{}, at(100))
	requireNotDue(t, b, at(349))
	id = requireDue(t, b, at(350), outcomeWithID(2))
	b.Appended(id, AppendUncertain{}, at(400))
	b.Committed(id, at(1400))
	id = requireDue(t, b, at(1400))
	b.Appended(id, AppendDone{}, at(1410))
	requireNotDue(t, b, at(2500))
}

// Only the reply is lost: the batch is read back at once, just before or after the result of its append is
// known. The log accepts appends, so the next claim is not refused and no probe is needed. A batch that is read
// back late proves nothing.
func TestALostReplyIsNoOutage(t *testing.T) {
	for _, s := range []struct {
		testName  string
		readFirst bool
		readAt    int
		available bool
	}{
		{"read back before the result", true, 20, true},
		{"read back after the result", false, 40, true},
		{"read back late", false, 1040, false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			b := testBatcher()
			b.Add(claimWithID(1))
			id := requireDue(t, b, at(0), claimWithID(1))
			if s.readFirst {
				b.Committed(id, at(s.readAt))
			}
			b.Appended(id, AppendUncertain{}, at(30))
			if !s.readFirst {
				b.Committed(id, at(s.readAt))
			}
			_, available := b.Available(at(s.readAt))
			require.Equal(t, s.available, available)
			if s.available {
				requireNotDue(t, b, at(3000))
			}
		})
	}
}

// The log is down: requests that need a claim are refused at once with a retry time. One empty append at a
// time, at growing intervals, detects when the log is back.
func TestUnavailableLogIsProbed(t *testing.T) {
	b := testBatcher()
	b.Add(claimWithID(1))
	requireDue(t, b, at(0), claimWithID(1))
	wait, ok := b.Available(at(1000))
	require.False(t, ok, "an append has had no reply for a second")
	require.Equal(t, 250*time.Millisecond, wait)
	b.Appended(1, AppendUncertain{}, at(1000))
	now, waits := at(1000), []int{}
	for range 4 {
		next, ok := b.Next(now)
		require.True(t, ok)
		waits = append(waits, int(next.Sub(now).Milliseconds()))
		now = next
		b.Appended(requireDue(t, b, now), AppendUncertain{}, now)
	}
	require.Equal(t, []int{250, 500, 1000, 1000}, waits)
}
