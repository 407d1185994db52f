package placer

import (
	"math"
	"time"
)

// bucket limits loads to the rate that the weight store allows. The store refuses loads beyond it, and the engines that
// it refused would retry again and again.
type bucket struct {
	rate, burst  float64
	tokens       float64
	filledAt     time.Time
	blockedUntil time.Time
}

func newBucket(rate float64, burst int) bucket {
	return bucket{rate: rate, burst: float64(burst)}
}

// setShare sets the bucket to this pool's equal share of the total rate and burst.
func (b *bucket) setShare(rate float64, burst, pools int) {
	b.rate = rate / float64(pools)
	b.burst = math.Max(float64(burst)/float64(pools), 1)
}

// reset leaves one token instead of a full burst, which the previous orderer may have just spent.
func (b *bucket) reset() {
	b.filledAt = time.Time{}
	b.tokens = 1
}

// refill adds the tokens for the time since the last refill.
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

// block prevents loads for a while, and keeps no more than one token for when it ends.
func (b *bucket) block(wait time.Duration, now time.Time) {
	if until := now.Add(wait); until.After(b.blockedUntil) {
		b.blockedUntil = until
	}
	b.tokens = math.Min(b.tokens, 1)
}
