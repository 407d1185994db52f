package collector

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against pieces that fail while calls with them are open, as all endpoints of a stage are silent for a moment.
func TestAPauseOfAllEndpointsFailsNoPiece(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 1200 * time.Millisecond, 1500 * time.Millisecond} {
		for _, endpoints := range []int{3, 5, 14} {
			t.Run(fmt.Sprintf("%v at %d", pause, endpoints), func(t *testing.T) {
				w := newSimulation(defaultStage(), endpoints)
				w.pausedUntil = start.Add(pause)
				id := w.arrive(0, "r", 1, nil)
				w.run(4 * time.Second)
				require.Equal(t, 1, w.resultCount(id), w.reasons(id))
			})
		}
	}
}
