package faker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/platformserver"
)

func TestLogStreamExpiresByAge(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	s := newLogStream(retention{age: 10 * time.Second, records: 100, bytes: 100})
	s.append([]byte("old"), 0, start)
	s.append([]byte("new"), 2, start.Add(6*time.Second))
	require.Len(t, s.read(0, 10, start.Add(10*time.Second)).Records, 2)
	page := s.read(0, 10, start.Add(11*time.Second))
	require.Equal(t, int64(2), page.First)
	require.Len(t, page.Records, 1)
	require.Equal(t, int64(4), page.Records[0].Offset)
	page = s.read(0, 10, start.Add(time.Minute))
	require.Equal(t, int64(5), page.First)
	require.Equal(t, int64(5), page.Next)
}

// A VM is set to leaving. Until the lag has passed, readers still see it as live; after that, they see the
// newest list as of the lookup time, never a later one.
func TestVMHistoryLookupByTime(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	live := []platformserver.VM{{Address: "127.0.0.1:1", State: platformserver.VMStateLive}}
	leaving := []platformserver.VM{{Address: "127.0.0.1:1", State: platformserver.VMStateLeaving}}
	h := &vmHistory{}
	h.set(live, time.Time{})
	h.set(leaving, start)
	h.set(nil, start.Add(time.Second))
	require.Equal(t, live, h.at(start.Add(-time.Millisecond)))
	require.Equal(t, leaving, h.at(start))
	require.Equal(t, leaving, h.at(start.Add(999*time.Millisecond)))
	require.Empty(t, h.at(start.Add(time.Second)))
	require.Empty(t, h.latest())
}

func TestLoadHistoryLookupByTime(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	h := &loadHistory{}
	h.record(start, 1, 0)
	h.record(start.Add(time.Second), 8, 3)
	require.Equal(t, 0, h.at(start.Add(-time.Millisecond)).running)
	require.Equal(t, 1, h.at(start.Add(999*time.Millisecond)).running)
	require.Equal(t, 3, h.at(start.Add(time.Second)).waiting)
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	lost := false
	isEventLost := func() bool { lost = !lost; return lost }
	c := newPrefixCache(2)
	c.store([]string{"a", "b"}, start, isEventLost)
	c.store([]string{"c"}, start.Add(time.Second), isEventLost)
	require.Empty(t, c.eventsSince(0, start.Add(-time.Millisecond)).Events)
	page := c.eventsSince(0, start)
	require.Equal(t, int64(2), page.Next)
	require.Len(t, page.Events, 1)
	require.Equal(t, int64(1), page.Events[0].Seq)
	page = c.eventsSince(2, start.Add(time.Second))
	require.Equal(t, int64(4), page.Next)
	require.Equal(t, endpointserver.CacheEvent{Seq: 3, Kind: endpointserver.CacheEventKindEvicted, Prefix: "a"}, page.Events[0])
	require.Equal(t, 0, c.match([]string{"a", "b"}))
}
