package collector

import "time"

// turnaroundWeight is the weight of the newest group in the moving average of the turnaround: it spans about twenty groups,
// one second's worth under load.
const turnaroundWeight = 0.05

// turnaround is the moving average of the time that groups take to pass through a pool.
type turnaround struct {
	mean time.Duration
}

func (t *turnaround) add(took time.Duration) {
	if t.mean == 0 {
		t.mean = took
		return
	}
	t.mean += time.Duration(turnaroundWeight * float64(took-t.mean))
}
