package estimator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// engine reads prompts one after the other.
type engine struct {
	factor float64
	// freeAt is when the prompts accepted so far have been read.
	freeAt time.Time
	// disturbedUntil is the end of a disturbance, during which work takes disturbance times as long.
	disturbedUntil time.Time
	disturbance    float64
	speed          Speed
}

// readTime returns the time in which an engine of factor 1 reads a prompt.
func readTime(w Work) time.Duration {
	return 18*time.Millisecond + time.Duration(float64(w.Uncached)*16_000+w.pairs()*324_000)
}

// read starts a call and returns the work queued before it in tokens, and the time to its first event.
func (e *engine) read(w Work, now time.Time) (queued int, took time.Duration) {
	factor := e.factor
	if now.Before(e.disturbedUntil) {
		factor *= e.disturbance
	}
	begin := now
	if e.freeAt.After(begin) {
		begin = e.freeAt
	}
	queued = int(float64(begin.Sub(now)) / e.factor / 16_000)
	e.freeAt = begin.Add(time.Duration(factor * float64(readTime(w))))
	return queued, e.freeAt.Sub(now)
}

func randomPrompt(rnd *rand.Rand) Work {
	w := Work{Uncached: min(int(1500*math.Exp(rnd.NormFloat64())), 90_000), Cached: rnd.IntN(3) * 10_000}
	if rnd.IntN(4) == 0 {
		w.Uncached += w.Cached
		w.Cached = 0
	}
	return w
}

// pool is a pool of engines with one estimator.
type pool struct {
	rnd     *rand.Rand
	fit     Fit
	speeds  Speeds
	engines []*engine
	now     time.Time
	// updatedAt is when the speeds were last compared.
	updatedAt time.Time
	// noisy engines share their machines: each is disturbed for moments, 15% of the time.
	noisy bool
	// unknownQueues is the share of calls before which the queue at the engine isn't known.
	unknownQueues float64
}

const (
	disturbance       = 600 * time.Millisecond
	disturbanceFactor = 2.5
	disturbedShare    = 0.15
)

// disturb disturbs engines at random in a time step.
func (p *pool) disturb(step time.Duration) {
	rate := disturbedShare / float64(disturbance) * float64(len(p.engines))
	if p.noisy && p.rnd.Float64() < rate*float64(step) {
		e := p.engines[p.rnd.IntN(len(p.engines))]
		e.disturbedUntil, e.disturbance = p.now.Add(disturbance), disturbanceFactor
	}
}

func newPool(seed uint64, factors ...float64) *pool {
	p := &pool{rnd: rand.New(rand.NewPCG(seed, 1)), now: start}
	for _, factor := range factors {
		p.engines = append(p.engines, &engine{factor: factor})
	}
	return p
}

// serve sends each engine calls at random intervals with the given mean. Loaded multiplies the rate of the first one.
func (p *pool) serve(duration, interval time.Duration, loaded float64) {
	end := p.now.Add(duration)
	for p.now.Before(end) {
		total := float64(len(p.engines)) + loaded - 1
		step := time.Duration(p.rnd.ExpFloat64() * float64(interval) / total)
		p.now = p.now.Add(step)
		p.disturb(step)
		e := p.engines[0]
		if p.rnd.Float64()*total >= loaded {
			e = p.engines[p.rnd.IntN(len(p.engines))]
		}
		w := randomPrompt(p.rnd)
		queued, took := e.read(w, p.now)
		if p.rnd.Float64() >= p.unknownQueues {
			w.Queued = queued
		}
		if logRatio, measures := p.fit.Observe(w, took); measures {
			p.speeds.Observe(&e.speed, logRatio, p.now)
		}
		if p.now.Sub(p.updatedAt) >= 500*time.Millisecond {
			p.updatedAt = p.now
			p.update()
		}
	}
}

func (p *pool) update() (changed []int) {
	var all []*Speed
	for _, e := range p.engines {
		all = append(all, &e.speed)
	}
	p.speeds.Update(all, p.now, func(i int) { changed = append(changed, i) })
	return changed
}

func repeat(factor float64, n int) []float64 {
	factors := make([]float64, n)
	for i := range factors {
		factors[i] = factor
	}
	return factors
}

func TestPredictionFollowsPromptsOfAllSizes(t *testing.T) {
	p := newPool(1, repeat(1, 30)...)
	p.serve(40*time.Second, 2*time.Second, 1)
	for _, tokens := range []int{1000, 3000, 10_000, 30_000, 90_000} {
		t.Run(fmt.Sprint(tokens), func(t *testing.T) {
			w := Work{Uncached: tokens}
			require.InDelta(t, 1, float64(p.fit.Predict(w))/float64(readTime(w)), 0.25)
		})
	}
}

// Guards against a prediction that one stuck call moves by much.
func TestStuckCallMovesThePredictionLittle(t *testing.T) {
	p := newPool(1, 1)
	w := Work{Uncached: 10_000}
	before := p.fit.Predict(w)
	p.fit.Observe(w, time.Minute)
	require.InDelta(t, 1, float64(p.fit.Predict(w))/float64(before), 0.12)
}

// Guards against choices that change by noise where all endpoints are alike.
func TestAlikeEndpointsHaveNoSpeeds(t *testing.T) {
	for _, n := range []int{2, 9, 140} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			differ := 0
			for seed := range uint64(40) {
				p := newPool(seed, repeat(1, n)...)
				p.noisy, p.unknownQueues = true, 0.5
				p.serve(20*time.Second, 600*time.Millisecond, 1)
				if p.speeds.Spread() > 0 {
					differ++
				}
				for _, e := range p.engines {
					require.InDelta(t, 1, e.speed.Factor(), 0.2)
				}
			}
			require.LessOrEqual(t, differ, 4, "pools in which noise counted as a difference")
		})
	}
}

func TestDifferentEndpointsAreFound(t *testing.T) {
	for _, n := range []int{9, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			factors := repeat(1, n)
			for i := range factors {
				factors[i] = []float64{0.6, 1, 1.6}[i%3]
			}
			p := newPool(7, factors...)
			p.noisy, p.unknownQueues = true, 0.25
			p.serve(20*time.Second, 400*time.Millisecond, 1)
			sums := make(map[float64]float64)
			for _, e := range p.engines {
				sums[e.factor] += e.speed.Factor() / float64(n/3)
			}
			require.InDelta(t, 1.6, sums[1.6]/sums[1], 0.25)
			require.InDelta(t, 0.6, sums[0.6]/sums[1], 0.15)
		})
	}
}

// Guards against a loop in which an endpoint with much work counts as slow because its calls wait for each other.
func TestLoadedEndpointIsNotSlow(t *testing.T) {
	for seed := range uint64(20) {
		p := newPool(seed, repeat(1, 12)...)
		p.noisy = true
		p.serve(20*time.Second, 500*time.Millisecond, 3)
		require.Less(t, p.engines[0].speed.Factor(), 1.15)
		require.False(t, p.engines[0].speed.Slow())
	}
}

// Guards against losing a slow endpoint among usual ones because it has little work.
func TestSlowEndpointWithLittleLoadIsFound(t *testing.T) {
	p := newPool(3, append([]float64{2.2}, repeat(1, 11)...)...)
	p.serve(20*time.Second, 500*time.Millisecond, 0.5)
	require.Greater(t, p.engines[0].speed.Factor(), 1.6)
	require.True(t, p.engines[0].speed.Slow())
	for _, e := range p.engines[1:] {
		require.Less(t, e.speed.Factor(), 1.3)
	}
	p.engines[0].factor = 1
	p.serve(25*time.Second, 500*time.Millisecond, 1)
	require.False(t, p.engines[0].speed.Slow(), "an endpoint that serves as usual again is not slow")
}

// Guards against avoiding an endpoint long after its machine was disturbed for a moment.
func TestMomentaryDisturbanceDoesNotStick(t *testing.T) {
	p := newPool(5, repeat(1, 12)...)
	p.serve(15*time.Second, 400*time.Millisecond, 1)
	e := p.engines[0]
	e.disturbedUntil, e.disturbance = p.now.Add(disturbance), disturbanceFactor
	p.serve(1500*time.Millisecond, 400*time.Millisecond, 1)
	require.Less(t, e.speed.Factor(), 1.25)
	p.serve(5*time.Second, 400*time.Millisecond, 1)
	require.Less(t, e.speed.Factor(), 1.15)
}

func TestObservationsAge(t *testing.T) {
	var p Speeds
	var slow, usual Speed
	for i := range 20 {
		at := start.Add(time.Duration(i) * time.Second)
		p.Observe(&slow, 0.5, at)
		p.Observe(&usual, 0, at)
	}
	end := start.Add(20 * time.Second)
	all := []*Speed{&slow, &usual}
	p.Update(all, end, func(int) {})
	require.Greater(t, slow.Factor(), usual.Factor())
	p.Update(all, end.Add(10*halfLife), func(int) {})
	require.Equal(t, 1.0, slow.Factor())
	require.Equal(t, 1.0, usual.Factor())
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var p Speeds
			all := make([]*Speed, n)
			for i := range all {
				all[i] = &Speed{}
				p.Observe(all[i], float64(i%3)-1, start)
				p.Observe(all[i], float64(i%3)-1, start.Add(time.Second))
			}
			for b.Loop() {
				p.Update(all, start.Add(time.Second), func(int) {})
			}
		})
	}
}

// Guards against moving prompts back and forth because an endpoint's estimate wavers between two steps.
func TestRoundedFactorDoesNotWaver(t *testing.T) {
	var s Speed
	require.Equal(t, 1.0, s.RoundedFactor())
	changes, before := 0, 1.0
	for i := range 100 {
		s.setFactor([]float64{0.15, 0.25}[i%2])
		if s.RoundedFactor() != before {
			changes++
		}
		before = s.RoundedFactor()
	}
	require.Zero(t, changes)
	s.setFactor(0.45)
	require.InDelta(t, math.Exp(roundingStep), s.RoundedFactor(), 1e-9)
	s.setFactor(0.15)
	require.InDelta(t, math.Exp(roundingStep), s.RoundedFactor(), 1e-9)
	s.setFactor(0)
	require.Equal(t, 1.0, s.RoundedFactor())
}

// Guards against plans that leave no time for the queue at the engines, which is only known once an endpoint is chosen.
func TestTypicalPredictionIncludesTheWait(t *testing.T) {
	p := newPool(2, repeat(1, 10)...)
	p.unknownQueues = 0.5
	p.serve(20*time.Second, 150*time.Millisecond, 1)
	stretch := func() float64 { return float64(p.fit.PredictTypical(Work{})) / float64(p.fit.Predict(Work{})) }
	loaded := stretch()
	require.Greater(t, loaded, 1.5)
	p.serve(40*time.Second, 3*time.Second, 1)
	require.Less(t, stretch(), 1+(loaded-1)/2)
}
