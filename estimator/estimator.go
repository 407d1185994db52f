// Package estimator predicts the time to the first event of calls to the endpoints of a pool, and estimates how much
// slower or faster each endpoint is than usual. It has no clock: callers pass in the current time.
package estimator

import (
	"math"
	"time"
)

const (
	// fitRate is how far one call moves the prediction of such calls, by its deviation from it.
	fitRate = 0.1
	// maxDeviation bounds the effect of a single call, in logarithms of the time: e times as slow as predicted. Calls
	// are that slow for reasons other than the endpoint's speed.
	maxDeviation = 1.0
	// ownShare is the least part of a predicted time that must be the call's own for an observation of the endpoint's
	// speed. Otherwise a queue that has grown since would count as slowness.
	ownShare = 0.5
	// deviationRate is how far one call moves the mean deviation and stretch. maxDifference and maxStretch bound its
	// effect.
	deviationRate = 0.1
	maxDifference = time.Second
	maxStretch    = 2.0
)

// The terms of the prediction before any call has been observed: 40 prompt tokens a millisecond after a network round
// trip and one step of the engine.
const (
	defaultBase      = 40 * time.Millisecond
	defaultTokenTime = 25 * time.Microsecond
	// defaultPairTime is per million pairs of a token that is read and one that precedes it.
	defaultPairTime = 100 * time.Microsecond
)

// Work is what a call's first event waits for.
type Work struct {
	// Queued is the work known to be at the endpoint when the call was sent, in tokens.
	Queued int
	// Uncached is the number of tokens to read, and Cached the number of tokens of the prompt that precede them.
	Uncached int
	Cached   int
}

// pairs returns the pairs of tokens that attention visits while it reads the prompt, in millions.
func (w Work) pairs() float64 {
	read := float64(w.Uncached)
	return read * (float64(w.Cached) + read/2) / 1e6
}

// Fit predicts the time to the first event in a pool as the sum of a base, the reading of the prompt, its attention and
// the work queued before it. It answers the load of prompts from a thousand to a hundred thousand tokens, whose attention
// is a few percent of the time of the former and half of that of the latter. Its zero value holds the defaults.
type Fit struct {
	known bool
	// base, token, pair and queued are the fitted terms, in nanoseconds.
	base, token, pair, queued float64
	// stretch is the mean of observed times over the calls' own, and deviation the mean absolute difference between
	// observed and predicted times.
	stretch, deviation float64
}

func (f *Fit) init() {
	if f.known {
		return
	}
	*f = Fit{
		known:  true,
		base:   float64(defaultBase),
		token:  float64(defaultTokenTime),
		pair:   float64(defaultPairTime),
		queued: float64(defaultTokenTime),

		stretch: 1,
	}
}

// Predict returns the usual time to the first event.
func (f *Fit) Predict(w Work) time.Duration {
	f.init()
	return time.Duration(f.own(w) + f.queued*float64(w.Queued))
}

// PredictTypical returns the mean time to the first event at an endpoint that isn't known yet, with a typical queue. The
// queue stretches short calls by less than long ones, which are read in more steps between others' work.
func (f *Fit) PredictTypical(w Work) time.Duration {
	f.init()
	return time.Duration(f.own(w) * f.stretch)
}

// Deviation returns the mean absolute difference between observed and predicted times.
func (f *Fit) Deviation() time.Duration { return time.Duration(f.deviation) }

// own returns the time that the call takes at an idle endpoint, in nanoseconds.
func (f *Fit) own(w Work) float64 {
	return f.base + f.token*float64(w.Uncached) + f.pair*w.pairs()
}

// Observe moves the terms toward an observed time and returns the logarithm of the observed over the predicted time.
// measuresEndpoint reports whether most of the predicted time was the call's own, so that the logarithm tells the speed
// of the endpoint.
//
// Each term is multiplied by a power of the deviation that is proportional to its part of the prediction. The terms stay
// positive, and a call that is late by any amount moves them by a bounded factor.
func (f *Fit) Observe(w Work, took time.Duration) (logRatio float64, measuresEndpoint bool) {
	f.init()
	own, queued := f.own(w), f.queued*float64(w.Queued)
	predicted := own + queued
	f.stretch += deviationRate * (min(max(float64(took)/own, 1), maxStretch) - f.stretch)
	f.deviation += deviationRate * (min(math.Abs(float64(took)-predicted), float64(maxDifference)) - f.deviation)
	deviation := math.Log(max(float64(took), float64(time.Millisecond)) / predicted)
	terms := []*float64{&f.base, &f.token, &f.pair, &f.queued}
	sizes := []float64{1, float64(w.Uncached), w.pairs(), float64(w.Queued)}
	squares := 0.0
	for i, term := range terms {
		part := *term * sizes[i] / predicted
		squares += part * part
	}
	step := fitRate * clamp(deviation, maxDeviation) / squares
	for i, term := range terms {
		*term *= math.Exp(step * *term * sizes[i] / predicted)
	}
	return deviation, own >= ownShare*predicted
}

func clamp(x, limit float64) float64 { return min(max(x, -limit), limit) }
