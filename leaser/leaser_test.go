package leaser

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/claimer"
	"geraniumline/recorder"
)

const testPool = "engines"

var start = time.UnixMilli(1_800_000_000_000)

// model simulates one log. Entries read it only when a test calls read. The log's clock is off by skew.
type model struct {
	t       *testing.T
	now     time.Time
	skew    time.Duration
	offset  int64
	records []recorder.Record
}

func newModel(t *testing.T) *model { return &model{t: t, now: start, skew: -time.Hour} }

func (m *model) entry(name string) *Leaser { return New(Config{Entry: name, Incarnation: 1}) }

// appendRecord appends a record to the log at the current time.
func (m *model) appendRecord(data []byte) {
	m.offset += 3
	m.records = append(m.records, recorder.Record{Offset: m.offset, AtMillis: m.now.Add(m.skew).UnixMilli(), Data: data})
}

func (m *model) read(readers ...*Leaser) {
	for _, l := range readers {
		for _, r := range m.records {
			l.Apply(r, m.now)
		}
	}
}

func (m *model) bid(l *Leaser) ([]byte, uint64) {
	m.t.Helper()
	data, id, due := l.AcquireOrRenew(testPool, 0, m.now)
	require.True(m.t, due)
	return data, id
}

// acquireOrRenew has an entry append a bid or renewal, which it and the readers then read.
func (m *model) acquireOrRenew(l *Leaser, readers ...*Leaser) {
	m.t.Helper()
	data, _ := m.bid(l)
	m.appendRecord(data)
	m.read(append(readers, l)...)
}

func (m *model) holders(entries ...*Leaser) int {
	n := 0
	for _, l := range entries {
		if _, held := l.Held(testPool, m.now); held {
			n++
		}
	}
	return n
}

// Two entries find no lease holder and bid at the same time. Both appends succeed; the first one in the log gets the
// lease, and both entries compute the same holder.
func TestConcurrentBidsElectOneHolder(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	bidA, _ := m.bid(a)
	bidB, _ := m.bid(b)
	m.appendRecord(bidB)
	m.appendRecord(bidA)
	m.read(a, b)
	_, held := a.Held(testPool, m.now)
	require.False(t, held)
	lease, held := b.Held(testPool, m.now)
	require.True(t, held)
	require.Equal(t, Lease{Fence: 3, Granted: 3, Remaining: DefaultDuration - DefaultMargin}, lease)
	holder, _ := a.Holder(testPool)
	require.Equal(t, "b", holder)
}

// The holder is paused right after its append, its lease expires by the log's time, and another entry acquires it. The
// resumed holder has not read that record and sees its own as the newest: its local clock alone must end its lease.
func TestResumedHolderHasNoLease(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	m.acquireOrRenew(a, b)
	m.now = m.now.Add(DefaultDuration)
	require.Zero(t, m.holders(a), "holder after its lease expired, before it reads on")
	m.acquireOrRenew(b)
	require.Equal(t, 1, m.holders(a, b))
	lease, _ := b.Held(testPool, m.now)
	require.Equal(t, int64(6), lease.Granted, "the fencing token is above the paused holder's")
}

// The holder pauses for most of a lease after its append and only then reads its record. The lease must count from
// before the append: counted from the read it would outlast the log's, and two entries would hold it at once.
func TestALeaseCountsFromBeforeItsAppend(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	data, _ := m.bid(a)
	m.appendRecord(data)
	m.read(b)
	m.now = m.now.Add(8 * time.Second)
	m.read(a)
	lease, held := a.Held(testPool, m.now)
	require.True(t, held)
	require.Equal(t, 2*time.Second-DefaultMargin, lease.Remaining)
	m.now = m.now.Add(2 * time.Second)
	m.acquireOrRenew(b)
	require.Equal(t, 1, m.holders(a, b))
}

// The whole VM is frozen and its monotonic clock stops. When the VM resumes, the wall clock is correct again.
func TestFrozenMonotonicClock(t *testing.T) {
	now := time.Now()
	l := newLeaseTimer(now, DefaultDuration)
	require.Equal(t, DefaultDuration, l.remaining(now))
	l.startWall = l.startWall.Add(-time.Minute)
	require.Negative(t, l.remaining(now))
}

// Whatever the result of an append, the lease must be held if and only if the record is in the log.
func TestAppendResults(t *testing.T) {
	scenarios := []struct {
		testName string
		result   claimer.AppendResult
		appended bool
		held     bool
		// retryAfter is when the next append is due, counted from the result.
		retryAfter time.Duration
	}{
		{"done", claimer.AppendDone{}, true, true, DefaultDuration / appendsPerLease},
		{"reply lost after the append took effect", claimer.AppendUncertain{}, true, true, DefaultDuration / appendsPerLease},
		{"request lost", claimer.AppendUncertain{}, false, false, DefaultDuration / appendsPerLease},
		{"refused", claimer.AppendRefused{RetryAfter: 2 * time.Second}, false, false, 2 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			m := newModel(t)
			a := m.entry("a")
			data, id := m.bid(a)
			if s.appended {
				m.appendRecord(data)
			}
			a.AppendFinished(id, s.result, m.now)
			m.read(a)
			_, held := a.Held(testPool, m.now)
			require.Equal(t, s.held, held)
			m.now = m.now.Add(s.retryAfter - time.Millisecond)
			_, _, due := a.AcquireOrRenew(testPool, 0, m.now)
			require.False(t, due)
			m.now = m.now.Add(time.Millisecond)
			_, _, due = a.AcquireOrRenew(testPool, 0, m.now)
			require.True(t, due)
		})
	}
}

// A holder renews for a long time while another entry reads: the other never bids, and the fencing token only grows.
func TestRenewalsKeepTheLease(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	m.acquireOrRenew(a, b)
	last := int64(0)
	for range 600 {
		m.now = m.now.Add(100 * time.Millisecond)
		if data, _, due := a.AcquireOrRenew(testPool, 0, m.now); due {
			m.appendRecord(data)
			m.read(a, b)
		}
		_, _, due := b.AcquireOrRenew(testPool, 1, m.now)
		require.False(t, due)
		lease, held := a.Held(testPool, m.now)
		require.True(t, held)
		require.GreaterOrEqual(t, lease.Fence, last)
		require.Equal(t, int64(3), lease.Granted)
		last = lease.Fence
	}
	require.Len(t, m.records, 18, "one append per third of a lease")
}

// A new VM reads a stream from which retention dropped the true holder's record. The first record that it reads is a
// losing bid, which it must not accept as valid. The holder's second renewal names the first one as its base and so
// proves it valid.
func TestReaderWithGapDoesNotBid(t *testing.T) {
	m := newModel(t)
	a, b, c := m.entry("a"), m.entry("b"), m.entry("c")
	bidB, _ := m.bid(b)
	m.acquireOrRenew(a, b)
	m.appendRecord(bidB)
	m.read(a, b)
	m.records = m.records[1:]
	require.True(t, c.ResetOnGap(4, m.now))
	m.read(c)
	holders := []string{}
	for range 100 {
		_, _, due := c.AcquireOrRenew(testPool, 0, m.now)
		require.False(t, due)
		if data, _, due := a.AcquireOrRenew(testPool, 0, m.now); due {
			m.appendRecord(data)
		}
		m.read(a, b, c)
		holder, _ := c.Holder(testPool)
		holders = append(holders, holder)
		m.now = m.now.Add(100 * time.Millisecond)
	}
	require.Equal(t, []string{"", "a"}, slices.Compact(holders))
	require.Equal(t, 1, m.holders(a, b, c))
	require.True(t, a.ResetOnGap(1000, m.now))
	require.Zero(t, m.holders(a), "after a gap no entry holds a lease")
}

// All VMs are replaced at once after retention dropped all leases. No entry can know of a lease, so all wait until the
// longest one has expired and bid. The first record is valid, and its renewal proves that to the others.
func TestAllReadersHaveGap(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	m.offset = 19
	require.True(t, a.ResetOnGap(20, m.now))
	require.True(t, b.ResetOnGap(20, m.now))
	m.now = m.now.Add(gapWait - time.Millisecond)
	_, _, due := a.AcquireOrRenew(testPool, 0, m.now)
	require.False(t, due)
	m.now = m.now.Add(time.Millisecond)
	bidB, _ := m.bid(b)
	m.appendRecord(bidB)
	m.acquireOrRenew(a, b)
	_, held := b.Held(testPool, m.now)
	require.True(t, held)
	require.Equal(t, 1, m.holders(a, b))
	m.now = m.now.Add(DefaultDuration / 2)
	m.acquireOrRenew(b, a)
	holder, _ := a.Holder(testPool)
	require.Equal(t, "b", holder)
}

func TestMalformedRecordsAreSkipped(t *testing.T) {
	m := newModel(t)
	a := m.entry("a")
	long := recorder.Lease{Pool: testPool, Entry: "b", Millis: MaxDuration.Milliseconds() + 1}
	data, err := long.MarshalMsg(nil)
	require.NoError(t, err)
	for _, bad := range [][]byte{nil, {0xff}, data, append(data, 1)} {
		m.appendRecord(bad)
	}
	m.acquireOrRenew(a)
	require.Equal(t, 1, m.holders(a))
	require.Equal(t, int64(15), a.Offset())
}
