package measurer

import "time"

// MaxInWindow returns the largest number of times in any span of the given length. The times must be in ascending
// order.
func MaxInWindow(times []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
