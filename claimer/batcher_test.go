package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.UnixMilli(bornMillis)

func at(millis int) time.Time { return noon.Add(time.Duration(millis) * time.Millisecond) }

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

func oneClaim(id uint64) ClaimRecord { return Claim{Key: wall, ClaimID: id} }

func oneOutcome(id uint64) ClaimRecord { return Outcome{Key: wall, ClaimID: id, State: StateAnswered} }

func due(t *testing.T, b *Batcher, now time.Time, want ...ClaimRecord) uint64 {
	t.Helper()
	batch, ok := b.Due(now)
	require.True(t, ok, "an append is due")
	require.ElementsMatch(t, want, batch.Records)
	return batch.BatchID
}

func notDue(t *testing.T, b *Batcher, now time.Time) {
	t.Helper()
	_, ok := b.Due(now)
	require.False(t, ok, "no append is due")
}

// The log takes some hundred appends a second for all entries. A lone claim must not wait for company,
// and a stream of claims must not take more than one append a window.
func TestAWindowGroupsClaims(t *testing.T) {
	b := testBatcher()
	notDue(t, b, at(0))
	b.Add(oneClaim(1))
	due(t, b, at(0), oneClaim(1))
	b.Add(oneClaim(2))
	b.Add(oneClaim(3))
	notDue(t, b, at(39))
	next, ok := b.Next(at(39))
	require.True(t, ok)
	require.Equal(t, at(40), next)
	due(t, b, at(40), oneClaim(2), oneClaim(3))

	b.Add(oneClaim(4))
	_, ok = b.Next(at(90))
	require.False(t, ok, "two appends are in flight")
	b.Appended(1, AppendDone{}, at(91))
	due(t, b, at(91), oneClaim(4))
}

// Long answers must not make an append that the log refuses for its size, and a single long one must still go.
func TestAnAppendIsBoundedInBytes(t *testing.T) {
	b := testBatcher()
	long := Outcome{Key: wall, ClaimID: 1, Answer: string(make([]byte, 2000))}
	b.Add(long)
	b.Add(oneClaim(2))
	due(t, b, at(0), long)
	due(t, b, at(40), oneClaim(2))
}

// An endpoint's answer or error text is longer than the log takes. The batch must still be one that can be appended,
// and the caller must be told that the answer was not kept, not be handed its first part.
func TestAnOutcomeIsMadeToFit(t *testing.T) {
	b := testBatcher()
	long := string(make([]byte, maxAnswerBytes+1))
	b.Add(Outcome{Key: wall, ClaimID: 1, State: StateAnswered, Answer: long, Message: long})
	batch, ok := b.Due(at(0))
	require.True(t, ok)
	_, err := Encode(batch)
	require.NoError(t, err)
	got := batch.Records[0].(Outcome)
	require.Empty(t, got.Answer)
	require.Equal(t, StateAnswerNotKept, got.State)
}

// The log refuses an append for its rate. Nothing of it was recorded, so its callers can still be told "not run",
// and the rest goes in the old order when the log wishes.
func TestARefusedAppendIsTriedAgain(t *testing.T) {
	b := testBatcher()
	b.Add(oneClaim(1))
	b.Add(oneOutcome(2))
	b.Add(oneClaim(3))
	id := due(t, b, at(0), oneClaim(1), oneOutcome(2), oneClaim(3))
	require.False(t, b.Withdraw(1), "it may be recorded")
	b.Appended(id, AppendRefused{RetryAfter: 500 * time.Millisecond}, at(10))
	require.True(t, b.Withdraw(1), "it surely was not")
	wait, ok := b.Available(at(10))
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	notDue(t, b, at(509))
	id = due(t, b, at(510), oneOutcome(2), oneClaim(3))
	b.Appended(id, AppendDone{}, at(520))
	_, ok = b.Available(at(520))
	require.True(t, ok)
}

// The reply is lost. A claim that is sent again could land twice and minutes late, so it is left to the log to
// tell; an outcome that is not sent again would leave its caller with "unknown" for good.
func TestAnUncertainAppendKeepsItsOutcomes(t *testing.T) {
	b := testBatcher()
	b.Add(oneClaim(1))
	b.Add(oneOutcome(2))
	id := due(t, b, at(0), oneClaim(1), oneOutcome(2))
	b.Appended(id, AppendUncertain{}, at(100))
	notDue(t, b, at(349))
	id = due(t, b, at(350), oneOutcome(2))
	b.Appended(id, AppendUncertain{}, at(400))
	b.Committed(id, at(1400))
	id = due(t, b, at(1400))
	b.Appended(id, AppendDone{}, at(1410))
	notDue(t, b, at(2500))
}

// Only the reply is lost: the batch is read back at once, just before or after its append's end is known. The log
// takes appends, so the next claim is not refused and no probe is needed. A batch read back late proves nothing.
func TestALostReplyIsNoOutage(t *testing.T) {
	for _, s := range []struct {
		testName  string
		readFirst bool
		readAt    int
		available bool
	}{
		{"read back before", true, 20, true},
		{"read back after", false, 40, true},
		{"read back late", false, 1040, false},
	} {
		t.Run(s.testName, func(t *testing.T) {
			b := testBatcher()
			b.Add(oneClaim(1))
			id := due(t, b, at(0), oneClaim(1))
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
				notDue(t, b, at(3000))
			}
		})
	}
}

// The log is down: requests that need a claim are refused at once with a time to return, and one empty append at a
// time, ever more seldom, shows when the log is back.
func TestALogThatIsDownIsProbed(t *testing.T) {
	b := testBatcher()
	b.Add(oneClaim(1))
	due(t, b, at(0), oneClaim(1))
	wait, ok := b.Available(at(1000))
	require.False(t, ok, "an append has been without reply for a second")
	require.Equal(t, 250*time.Millisecond, wait)
	b.Appended(1, AppendUncertain{}, at(1000))
	now, waits := at(1000), []int{}
	for range 4 {
		next, ok := b.Next(now)
		require.True(t, ok)
		waits = append(waits, int(next.Sub(now).Milliseconds()))
		now = next
		b.Appended(due(t, b, now), AppendUncertain{}, now)
	}
	require.Equal(t, []int{250, 500, 1000, 1000}, waits)
}
