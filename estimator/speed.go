package estimator

import (
	"math"
	"time"
)

const (
	// halfLife is how fast observations of an endpoint's speed age. A disturbance of a second is forgotten within it.
	halfLife = 8 * time.Second
	// independentAfter is the time after which two observations of an endpoint count as independent. Those made within
	// one disturbance say the same.
	independentAfter = 500 * time.Millisecond
	// minObservationWeight is the weight of an observation made right after another one.
	minObservationWeight = 0.1
	// aboveWeight is the weight of an observation above the endpoint's mean, relative to one below. Work that the
	// observer didn't know of only adds to a time.
	aboveWeight = 0.4
	// minWeight is the least weight of an endpoint's observations for the comparison with others.
	minWeight = 2.0
	// noiseRate is how far one observation moves the pool's noise, and defaultNoise is the noise before that: calls
	// usually take between half and twice the predicted time.
	noiseRate    = 0.04
	defaultNoise = 0.25
	// significance is how many standard errors the spread of endpoints must exceed noise by.
	significance = 2.0
	// minSpread is the least standard deviation of the logarithms of speeds that placement takes into account.
	minSpread = 0.1
	// levelRate is how far one observation moves the level that the pool's observations are relative to.
	levelRate = 0.02
	// maxSpeedFactor bounds the factor of an endpoint; one that is slower is ejected or left for silence.
	maxSpeedFactor = 3.0
	// slowFactor is the factor from which an endpoint counts as slow, and usualFactor that below which it no longer
	// does.
	slowFactor  = 1.3
	usualFactor = 1.15
	// roundingStep is the step of rounded factors, in logarithms: half as slow again. A factor keeps its step until it is
	// keepStep away from it.
	roundingStep = 0.4
	keepStep     = 0.3
)

// Speed is the speed of one endpoint process. Its zero value has no observations.
type Speed struct {
	// factor is the logarithm of Factor, and rounded that of RoundedFactor.
	factor       float64
	ratio        float64
	rounded      float64
	roundedRatio float64
	// mean and weight are those of the observations, of which the last one was made at observedAt. The weight is that at
	// agedAt.
	mean       float64
	weight     float64
	observedAt time.Time
	agedAt     time.Time
	slow       bool
}

// Factor returns how many times as long as usual calls take at the endpoint. It is 1 unless the endpoints of the pool
// are known to differ.
func (s *Speed) Factor() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.ratio
}

// RoundedFactor returns Factor rounded to a few steps, for choices that observers with estimates of their own should
// agree on.
func (s *Speed) RoundedFactor() float64 {
	if s.rounded == 0 {
		return 1
	}
	return s.roundedRatio
}

// Slow reports whether the endpoint is much slower than usual.
func (s *Speed) Slow() bool { return s.slow }

// age reduces the weight of the observations by their age.
func (s *Speed) age(now time.Time) {
	if passed := now.Sub(s.agedAt); passed > 0 {
		s.weight *= math.Exp2(-float64(passed) / float64(halfLife))
		s.agedAt = now
	}
}

// Speeds compares the endpoints of a pool. It answers the load of a pool whose endpoints differ in speed or share their
// machines with others: placed by work alone, the slow ones have the longest queues.
type Speeds struct {
	// level is the recent mean of all observations. It follows a load that all endpoints have in common and the
	// observers' predictions, which are still inexact after their start.
	level float64
	// noise is the variance of an endpoint's mean at a weight of 1. Observations of lower weight add less to it.
	noise  float64
	spread float64
}

// Observe counts an observation of an endpoint: the logarithm of its time over the usual one.
func (p *Speeds) Observe(s *Speed, logRatio float64, now time.Time) {
	if p.noise == 0 {
		p.noise = defaultNoise
	}
	logRatio = clamp(logRatio, maxDeviation)
	p.level += levelRate * (logRatio - p.level)
	logRatio -= p.level
	weight, deviation := 1.0, logRatio-s.mean
	if s.weight > 0 {
		weight = min(max(float64(now.Sub(s.observedAt))/float64(independentAfter), minObservationWeight), 1)
		s.age(now)
		if deviation > 0 {
			weight *= aboveWeight
		}
		// A deviation from a mean of few observations contains the error of the mean.
		square := deviation * deviation * s.weight / (weight + s.weight)
		p.noise += noiseRate * weight * (weight*square - p.noise)
	}
	s.observedAt, s.agedAt = now, now
	s.weight += weight
	s.mean += weight / s.weight * (logRatio - s.mean)
}

// Update computes the speeds of all endpoints of the pool. Each one is its mean shrunk toward the pool's by how much of
// the endpoints' spread noise explains: to exactly the pool's if noise explains all of it. changed is called for each
// endpoint that has become slow or usual.
func (p *Speeds) Update(all []*Speed, now time.Time, changed func(i int)) {
	mean, n := 0.0, 0.0
	for _, s := range all {
		s.age(now)
		if s.weight >= minWeight {
			mean += s.mean
			n++
		}
	}
	if n > 0 {
		mean /= n
	}
	p.spread = math.Sqrt(p.variance(all, mean))
	for i, s := range all {
		s.setFactor(p.factor(s, mean))
		if slow := s.ratio >= slowFactor || s.slow && s.ratio >= usualFactor; slow != s.slow {
			s.slow = slow
			changed(i)
		}
	}
}

// variance estimates the variance of the endpoints' speeds around the pool's mean, without noise.
func (p *Speeds) variance(all []*Speed, mean float64) float64 {
	n, excess, noise := 0.0, 0.0, 0.0
	for _, s := range all {
		if s.weight < minWeight {
			continue
		}
		n++
		expected := p.noise / s.weight
		excess += (s.mean-mean)*(s.mean-mean) - expected
		noise += expected * expected
	}
	if n < 2 {
		return 0
	}
	variance := (excess - significance*math.Sqrt(2*noise)) / n
	if variance < minSpread*minSpread {
		return 0
	}
	return variance
}

// factor returns the logarithm of an endpoint's factor.
func (p *Speeds) factor(s *Speed, mean float64) float64 {
	variance := p.spread * p.spread
	if variance == 0 || s.weight == 0 {
		return 0
	}
	return (s.mean - mean) * variance / (variance + p.noise/s.weight)
}

func (s *Speed) setFactor(factor float64) {
	s.factor = clamp(factor, math.Log(maxSpeedFactor))
	s.ratio = math.Exp(s.factor)
	if math.Abs(s.factor-s.rounded) > keepStep || s.factor == 0 {
		s.rounded = math.Round(s.factor/roundingStep) * roundingStep
		s.roundedRatio = math.Exp(s.rounded)
	}
}

// Spread returns the standard deviation of the endpoints' speeds, as a part of the usual one. It is 0 if noise explains
// all differences.
func (p *Speeds) Spread() float64 { return p.spread }
