package splitter

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsAreSplitAtAnyChunkSize(t *testing.T) {
	text := "id: 1\ndata: a\n\nweight: 3\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 4\ndata: ha"
	for size := 1; size < len(text); size++ {
		s := New(0)
		var events []Event
		for rest := []byte(text); len(rest) > 0; {
			n := min(size, len(rest))
			more, err := s.Feed(rest[:n])
			require.NoError(t, err)
			events = append(events, more...)
			rest = rest[n:]
		}
		require.Len(t, events, 3)
		require.Equal(t, Event{Data: []byte("id: 1\ndata: a\n\n"), ID: 1, HasID: true}, events[0])
		require.Equal(t, int64(2), events[1].ID)
		require.False(t, events[2].HasID)
		require.Equal(t, "id: 4\ndata: ha", string(s.Remainder()))
	}
}

// Guards against streams that are taken for complete although they end inside an event.
func TestOnlyWholeEventsEndAStream(t *testing.T) {
	text := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
	complete := map[int]bool{0: true, strings.Index(text, "id: 2"): true, len(text): true}
	for n := range len(text) + 1 {
		s := New(0)
		_, err := s.Feed([]byte(text[:n]))
		require.NoError(t, err)
		var incomplete *IncompleteError
		require.Equal(t, !complete[n], errors.As(s.End(), &incomplete), "after %d bytes", n)
	}
}

func TestOversizedEventIsRejected(t *testing.T) {
	s := New(100)
	_, err := s.Feed([]byte(strings.Repeat("x", 101)))
	var sizeErr *SizeError
	require.ErrorAs(t, err, &sizeErr)
	require.Equal(t, 100, sizeErr.Limit)
}

func FuzzNoByteIsLost(f *testing.F) {
	f.Add([]byte("id: 1\n\n"), 3)
	f.Add([]byte("\n\n\r\n\r\ndata"), 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		s := New(1 << 20)
		var split []byte
		for rest := data; len(rest) > 0; {
			n := min(max(size, 1), len(rest))
			events, err := s.Feed(rest[:n])
			require.NoError(t, err)
			for _, e := range events {
				split = append(split, e.Data...)
			}
			rest = rest[n:]
		}
		require.True(t, bytes.Equal(data, append(split, s.Remainder()...)))
	})
}

// Guards against an endpoint that holds a processor with bytes without end: the work of searching an event for its end must
// not grow with the square of the bytes received.
func TestAnEventWithoutEndIsSearchedOnce(t *testing.T) {
	for _, repeated := range []string{"x", "x\n", "\r"} {
		s := New(0)
		var err error
		n := 0
		for ; err == nil; n++ {
			_, err = s.Feed([]byte{repeated[n%len(repeated)]})
		}
		var size *SizeError
		require.ErrorAs(t, err, &size)
		require.Equal(t, DefaultMaxEvent+1, n)
	}
}
