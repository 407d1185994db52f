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
