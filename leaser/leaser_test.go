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

// model is one log, and entries that read it when the test says so. The log's clock is off by skew.
type model struct {
	t       *testing.T
	now     time.Time
	skew    time.Duration
	offset  int64
	records []recorder.Record
}

func newModel(t *testing.T) *model { return &model{t: t, now: start, skew: -time.Hour} }

func (m *model) entry(name string) *Leaser { return New(Config{Entry: name, Incarnation: 1}) }

// land has the log take a record now.
func (m *model) land(data []byte) {
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

// take has an entry bid, and all read the result.
func (m *model) take(l *Leaser, readers ...*Leaser) {
	m.t.Helper()
	data, _ := m.bid(l)
	m.land(data)
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

// Two entries find no orderer and bid at the same moment. Both appends succeed; the log's order lets one of them
// order engines, and both read the same.
func TestTwoBidsGiveOneOrderer(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	ofA, _ := m.bid(a)
	ofB, _ := m.bid(b)
	m.land(ofB)
	m.land(ofA)
	m.read(a, b)
	_, held := a.Held(testPool, m.now)
	require.False(t, held)
	lease, held := b.Held(testPool, m.now)
	require.True(t, held)
	require.Equal(t, Lease{Fence: 3, Granted: 3, Remaining: DefaultDuration - DefaultMargin}, lease)
	holder, _ := a.Holder(testPool)
	require.Equal(t, "b", holder)
}

// The orderer is paused right after it appended, and its lease lapses by the log's time. Another takes over. The
// woken one has not read that yet and still finds its own record the newest: its own clock alone must stop it.
func TestAWokenHolderHoldsNothing(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	m.take(a, b)
	m.now = m.now.Add(DefaultDuration)
	require.Zero(t, m.holders(a), "before anything is read")
	m.take(b)
	require.Equal(t, 1, m.holders(a, b))
	lease, _ := b.Held(testPool, m.now)
	require.Equal(t, int64(6), lease.Granted, "the number is above the paused holder's")
}

// An append is sent, the holder pauses for most of a lease, and only then reads its record. The lease counts from
// before the append: counted from the reading it would outlast the log's, and two would order at once.
func TestALeaseCountsFromBeforeItsAppend(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	data, _ := m.bid(a)
	m.land(data)
	m.read(b)
	m.now = m.now.Add(8 * time.Second)
	m.read(a)
	lease, held := a.Held(testPool, m.now)
	require.True(t, held)
	require.Equal(t, 2*time.Second-DefaultMargin, lease.Remaining)
	m.now = m.now.Add(2 * time.Second)
	m.take(b)
	require.Equal(t, 1, m.holders(a, b))
}

// The VM is frozen as a whole, and its monotonic clock with it. After the thaw the clock of the day is right again.
func TestAFrozenMonotonicClock(t *testing.T) {
	now := time.Now()
	l := limitFrom(now, DefaultDuration)
	require.Equal(t, DefaultDuration, l.left(now))
	l.day = l.day.Add(-time.Minute)
	require.Negative(t, l.left(now))
}

// Appends go wrong in all ways. The lease must be held if and only if the record is in the log.
func TestEndsOfAppends(t *testing.T) {
	scenarios := []struct {
		testName string
		result   claimer.AppendResult
		lands    bool
		held     bool
		// again is whether a new bid is due a moment after the end.
		again time.Duration
	}{
		{"done", claimer.AppendDone{}, true, true, DefaultDuration / renewals},
		{"reply lost after it took effect", claimer.AppendUncertain{}, true, true, DefaultDuration / renewals},
		{"lost on its way", claimer.AppendUncertain{}, false, false, DefaultDuration / renewals},
		{"refused", claimer.AppendRefused{RetryAfter: 2 * time.Second}, false, false, 2 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			m := newModel(t)
			a := m.entry("a")
			data, id := m.bid(a)
			if s.lands {
				m.land(data)
			}
			a.AppendFinished(id, s.result, m.now)
			m.read(a)
			_, held := a.Held(testPool, m.now)
			require.Equal(t, s.held, held)
			m.now = m.now.Add(s.again - time.Millisecond)
			_, _, due := a.AcquireOrRenew(testPool, 0, m.now)
			require.False(t, due)
			m.now = m.now.Add(time.Millisecond)
			_, _, due = a.AcquireOrRenew(testPool, 0, m.now)
			require.True(t, due)
		})
	}
}

// A holder renews for a long time while another reads along: nobody else bids, and the number only grows.
func TestRenewalsKeepTheLease(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	m.take(a, b)
	last := int64(0)
	for range 600 {
		m.now = m.now.Add(100 * time.Millisecond)
		if data, _, due := a.AcquireOrRenew(testPool, 0, m.now); due {
			m.land(data)
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
	require.Len(t, m.records, 18, "one append every third of a lease")
}

// A new VM reads a stream whose beginning retention has dropped, with the true holder's record in it, and a losing
// bid after it that it must not take for valid. The holder's second renewal names the first and so proves it.
func TestAReaderWithoutTheBeginningHoldsBack(t *testing.T) {
	m := newModel(t)
	a, b, c := m.entry("a"), m.entry("b"), m.entry("c")
	ofB, _ := m.bid(b)
	m.take(a, b)
	m.land(ofB)
	m.read(a, b)
	m.records = m.records[1:]
	require.True(t, c.ResetOnGap(4, m.now))
	m.read(c)
	holders := []string{}
	for range 100 {
		_, _, due := c.AcquireOrRenew(testPool, 0, m.now)
		require.False(t, due)
		if data, _, due := a.AcquireOrRenew(testPool, 0, m.now); due {
			m.land(data)
		}
		m.read(a, b, c)
		holder, _ := c.Holder(testPool)
		holders = append(holders, holder)
		m.now = m.now.Add(100 * time.Millisecond)
	}
	require.Equal(t, []string{"", "a"}, slices.Compact(holders))
	require.Equal(t, 1, m.holders(a, b, c))
	require.True(t, a.ResetOnGap(1000, m.now))
	require.Zero(t, m.holders(a), "a gap leaves nobody sure of its lease")
}

// All VMs are replaced at once after retention has dropped all leases. Nobody can know of one, so all wait out the
// longest and bid; the first record holds, and its renewal tells the others.
func TestAllReadersLackTheBeginning(t *testing.T) {
	m := newModel(t)
	a, b := m.entry("a"), m.entry("b")
	m.offset = 19
	require.True(t, a.ResetOnGap(20, m.now))
	require.True(t, b.ResetOnGap(20, m.now))
	m.now = m.now.Add(silence - time.Millisecond)
	_, _, due := a.AcquireOrRenew(testPool, 0, m.now)
	require.False(t, due)
	m.now = m.now.Add(time.Millisecond)
	ofB, _ := m.bid(b)
	m.land(ofB)
	m.take(a, b)
	_, held := b.Held(testPool, m.now)
	require.True(t, held)
	require.Equal(t, 1, m.holders(a, b))
	m.now = m.now.Add(DefaultDuration / 2)
	m.take(b, a)
	holder, _ := a.Holder(testPool)
	require.Equal(t, "b", holder)
}

func TestMalformedRecordsArePassedOver(t *testing.T) {
	m := newModel(t)
	a := m.entry("a")
	long := recorder.Lease{Pool: testPool, Entry: "b", Millis: MaxDuration.Milliseconds() + 1}
	data, err := long.MarshalMsg(nil)
	require.NoError(t, err)
	for _, bad := range [][]byte{nil, {0xff}, data, append(data, 1)} {
		m.land(bad)
	}
	m.take(a)
	require.Equal(t, 1, m.holders(a))
	require.Equal(t, int64(15), a.Offset())
}
