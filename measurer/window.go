package measurer

import "time"

// MostWithin is the most of the times, which are in order, in any span of the length.
func MostWithin(times []time.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
