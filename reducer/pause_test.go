package reducer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are lost because an entry gives up silent endpoints that go on a moment later.
func TestAPauseOfAPoolLosesNoRequest(t *testing.T) {
	t.Parallel()
	const (
		pause    = 1500 * time.Millisecond
		deadline = 10 * time.Second
	)
	s := newSystem(t, threePools(5))
	s.load(quietRate, 3*time.Second, deadline)
	s.runFor(3 * time.Second)
	sent := s.load(quietRate, pause, deadline)
	for _, e := range s.endpointList[10:20] {
		e.hanging = true
	}
	s.runFor(pause)
	for _, e := range s.endpointList[10:20] {
		e.hanging = false
		e.run()
	}
	s.runFor(deadline)
	for _, r := range *sent {
		require.True(t, r.answered(), "%+v", r)
	}
}
