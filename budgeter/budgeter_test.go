package budgeter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// newLedger returns a ledger with room for so many connections and twenty large bodies.
func newLedger(connections int) *Ledger {
	return New(Config{Bytes: int64(connections)*ConnectionBytes + 20*2*SmallBytes, Connections: connections})
}

// open opens a connection in a phase and makes it hold so many bytes.
func open(t *testing.T, l *Ledger, phase Phase, bytes int64, now time.Time) *Holder {
	t.Helper()
	h, verdict := l.Open(now)
	require.True(t, verdict.Granted)
	require.Empty(t, verdict.Evicted)
	l.Enter(h, phase, now)
	verdict = l.Grow(h, bytes, now)
	require.True(t, verdict.Granted)
	require.Empty(t, verdict.Evicted)
	return h
}

// Guards against new callers that are refused, or kept ones that are closed, for the sake of connections that never had a
// request answered.
func TestConnectionsAreEvictedInOrder(t *testing.T) {
	later := epoch.Add(patience)
	for _, tc := range []struct {
		name   string
		phases []Phase
		after  time.Duration
		want   int
	}{
		{"ending first", []Phase{Waiting, Kept, Reading, Ending}, patience, 3},
		{"then waiting, longest first", []Phase{Reading, Kept, Waiting, Waiting}, patience, 2},
		{"then unread responses and unfinished bodies", []Phase{Kept, Reading, Serving}, patience, 1},
		{"kept if there is nothing else", []Phase{Serving, Kept, Kept}, patience, 1},
		{"kept if it is more of them than of new ones", []Phase{Waiting, Kept, Kept}, 0, 1},
		{"nobody that is being served", []Phase{Serving, Serving}, patience, -1},
		{"nobody that has just come", []Phase{Waiting, Kept, Reading}, 0, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLedger(len(tc.phases))
			var holders []*Holder
			for _, phase := range tc.phases {
				holders = append(holders, open(t, l, phase, 0, epoch))
			}
			h, verdict := l.Open(epoch.Add(tc.after))
			require.Equal(t, tc.want >= 0, verdict.Granted)
			require.Equal(t, verdict.Granted, h != nil)
			if tc.want >= 0 {
				require.Equal(t, []*Holder{holders[tc.want]}, verdict.Evicted)
				require.False(t, l.Grow(holders[tc.want], 1, later).Granted, "an evicted one holds nothing more")
			}
		})
	}
}

// Guards against a few clients with long bodies that keep out all others.
func TestLongBodiesLeaveRoomForSmallRequests(t *testing.T) {
	l := newLedger(100)
	const body = SmallBytes + 1
	var held []*Holder
	for {
		h, verdict := l.Open(epoch)
		require.True(t, verdict.Granted)
		l.Enter(h, Serving, epoch)
		if !l.Grow(h, body, epoch).Granted {
			l.Close(h)
			break
		}
		held = append(held, h)
	}
	require.NotEmpty(t, held)
	require.LessOrEqual(t, l.largeBytes, l.cfg.Bytes/2)
	small := open(t, l, Serving, SmallBytes, epoch)
	require.False(t, l.Grow(small, 1, epoch).Granted, "it would become large")

	l.Enter(held[0], Reading, epoch)
	other := open(t, l, Reading, 0, epoch)
	require.False(t, l.Grow(other, body, epoch.Add(patience/2)).Granted, "a body that has just begun isn't evicted for another one")
	verdict := l.Grow(other, body, epoch.Add(patience))
	require.True(t, verdict.Granted)
	require.Equal(t, []*Holder{held[0]}, verdict.Evicted)
}

// Guards against limits under which the longest body that is allowed can't be served though nothing else is.
func TestALoneBodyHasRoom(t *testing.T) {
	const smallestVM = 144 << 20
	const longestBody = 4 << 20
	requests, auxiliary := Divide(Limits{MemoryBytes: smallestVM, Sockets: 2875})
	require.Positive(t, auxiliary.Connections)
	l := New(requests)
	open(t, l, Reading, longestBody, epoch)
	require.Less(t, requests.MaxBytes(), requests.Bytes)
	h, verdict := l.Open(epoch)
	require.True(t, verdict.Granted)
	require.False(t, l.Grow(h, requests.MaxBytes()+1, epoch).Granted)
}

// Guards against a service that answers nothing and takes the connections of callers of all others.
func TestOneServiceLeavesConnectionsToOthers(t *testing.T) {
	l := newLedger(8)
	for range 6 {
		require.True(t, l.Serve(open(t, l, Reading, 0, epoch), "silent", epoch))
	}
	h := open(t, l, Reading, 0, epoch)
	require.False(t, l.Serve(h, "silent", epoch))
	require.True(t, l.Serve(h, "other", epoch))
	l.Enter(h, Kept, epoch)
	require.Len(t, l.serving, 1)
}

// Guards against an account of what is held that drifts, or exceeds its limits, in any order of events.
func TestNoMoreIsHeldThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(5)
		now := epoch
		var holders []*Holder
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "millis")) * time.Millisecond)
			if len(holders) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				if h, _ := l.Open(now); h != nil {
					holders = append(holders, h)
				}
				continue
			}
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.Grow(h, rapid.Int64Range(0, 3*SmallBytes).Draw(t, "bytes"), now)
			case 1:
				l.Enter(h, Phase(rapid.IntRange(0, int(phaseCount)-1).Draw(t, "phase")), now)
			case 2:
				l.Serve(h, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"), now)
			case 3:
				l.Shrink(h, h.Bytes()/2, now)
			case 4:
				l.Close(h)
			}
			require.LessOrEqual(t, l.Bytes(), l.cfg.Bytes)
			require.LessOrEqual(t, l.Connections(), l.cfg.Connections)
			sum, open := int64(0), 0
			for _, h := range holders {
				if h.open {
					sum += h.Bytes() + ConnectionBytes
					open++
				}
			}
			require.Equal(t, sum, l.Bytes())
			require.Equal(t, open, l.Connections())
		}
		for _, h := range holders {
			l.Close(h)
		}
		require.Equal(t, New(l.cfg), l)
	})
}
