package spooler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stalledWriter blocks all writes until released is closed.
type stalledWriter struct {
	bytes.Buffer
	released chan struct{}
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.released
	return s.Buffer.Write(p)
}

// The log reader stalls. Lines beyond the buffer's size must be dropped without blocking Write, and the number of dropped
// lines must be logged afterwards.
func TestAStalledReaderDropsLinesWithoutBlocking(t *testing.T) {
	w := &stalledWriter{released: make(chan struct{})}
	s := New(w, 10)
	// One batch of lines is being written and ten lines are buffered; the others are dropped.
	long := strings.Repeat("x", maxBatchBytes/5)
	for i := range 100 {
		n, err := fmt.Fprintf(s, "line %d %s\n", i, long)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.GreaterOrEqual(t, s.Dropped(), int64(84))
	close(w.released)
	s.Close()
	require.Contains(t, w.String(), "line 0 ")
	require.Contains(t, w.String(), fmt.Sprintf(`"lines":%d`, s.Dropped()))
	_, err := s.Write([]byte("late"))
	require.NoError(t, err)
}

// Guards against lines that are so long that the buffer, though bounded in lines, takes all memory while nobody reads the log.
func TestLongLinesFillTheBuffer(t *testing.T) {
	w := &stalledWriter{released: make(chan struct{})}
	const lines = 1000
	s := New(w, lines)
	long := bytes.Repeat([]byte("x"), 10*lineBytes)
	for range lines {
		_, err := s.Write(long)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.buffered.Load(), int64(lines*lineBytes))
	require.Positive(t, s.Dropped())
	close(w.released)
	s.Close()
	require.Zero(t, s.buffered.Load())
}
