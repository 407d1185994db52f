package spooler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stalled is a reader of logs that takes nothing until it is let go.
type stalled struct {
	bytes.Buffer
	free chan struct{}
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(p)
}

// The reader of the logs stalls: lines are dropped beyond the bound, nobody waits, and the loss is told afterwards.
func TestAStalledReaderCostsLinesAndNoTime(t *testing.T) {
	w := &stalled{free: make(chan struct{})}
	s := New(w, 10)
	// One block of lines is on its way and ten lines wait; no more are kept.
	long := strings.Repeat("x", maxBlock/5)
	for i := range 100 {
		n, err := fmt.Fprintf(s, "line %d %s\n", i, long)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.GreaterOrEqual(t, s.Dropped(), int64(84))
	close(w.free)
	s.Close()
	require.Contains(t, w.String(), "line 0 ")
	require.Contains(t, w.String(), fmt.Sprintf(`"lines":%d`, s.Dropped()))
	_, err := s.Write([]byte("late"))
	require.NoError(t, err)
}
