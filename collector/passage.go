package collector

import "time"

// passageWeight is the weight of the newest group in the mean passage: some twenty groups, a second's worth under load.
const passageWeight = 0.05

// passage is the time that groups take to pass through a pool.
type passage struct {
	mean time.Duration
}

func (p *passage) add(took time.Duration) {
	if p.mean == 0 {
		p.mean = took
		return
	}
	p.mean += time.Duration(passageWeight * float64(took-p.mean))
}
