package spooler

import (
	"bytes"
	"fmt"
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
	for i := range 100 {
		n, err := fmt.Fprintf(s, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.GreaterOrEqual(t, s.Dropped(), int64(89))
	close(w.free)
	s.Close()
	require.Contains(t, w.String(), "line 0\n")
	require.Contains(t, w.String(), fmt.Sprintf(`"lines":%d`, s.Dropped()))
	_, err := s.Write([]byte("late"))
	require.NoError(t, err)
}
