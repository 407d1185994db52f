package placer

import (
	"math"
	"time"
)

// bucket holds loads back to the rate that the weight store allows. A store that is asked for more refuses, and the
// engines that it refused would ask again and again.
type bucket struct {
	rate, burst  float64
	tokens       float64
	filledAt     time.Time
	blockedUntil time.Time
}

func newBucket(rate float64, burst int) bucket {
	return bucket{rate: rate, burst: float64(burst)}
}

// share leaves this pool its part of the rate.
func (b *bucket) setShare(rate float64, burst, pools int) {
	b.rate = rate / float64(pools)
	b.burst = math.Max(float64(burst)/float64(pools), 1)
}

// restart begins with one token and not with the burst: the orderer before may have spent that a moment ago.
func (b *bucket) reset() {
	b.filledAt = time.Time{}
	b.tokens = 1
}

// fill adds the tokens of the time passed.
func (b *bucket) refill(now time.Time) {
	if !b.filledAt.IsZero() {
		b.tokens = math.Min(b.burst, b.tokens+b.rate*now.Sub(b.filledAt).Seconds())
	}
	b.filledAt = now
}

func (b *bucket) ready(now time.Time) bool {
	return b.tokens >= 1 && !now.Before(b.blockedUntil)
}

func (b *bucket) spend() { b.tokens-- }

// block lets no load begin for a while, and none has been saved up when it ends.
func (b *bucket) block(wait time.Duration, now time.Time) {
	if until := now.Add(wait); until.After(b.blockedUntil) {
		b.blockedUntil = until
	}
	b.tokens = math.Min(b.tokens, 1)
}
