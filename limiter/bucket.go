package limiter

import (
	"math"
	"time"
)

// bucket tracks one limit of an account at this entry twice: as the share that this entry may use
// regardless of its peers, and as an estimate of the token bucket of the whole system.
//
// The share alone would waste what other entries do not use until the shares are adjusted, and
// would refuse at random if an entry's share of the burst is a few requests. The estimate alone
// would be exceeded by all entries at once between two heartbeats. So the share can always be used
// while the system is not overdrawn, and beyond it an entry may borrow from the estimate, in each
// heartbeat at most its even part of what is left there.
type bucket struct {
	perSecond float64
	burst     float64
	// reportLag is the delay, in seconds, after which peers' use is known.
	reportLag float64

	tokens float64
	// system is the estimate of what the whole system may still use at once. Peers' use is
	// subtracted as it is reported, so all entries compensate for an overshoot.
	system float64
	// peerUse is what peers use per second according to their last reports.
	peerUse  float64
	borrowed float64
	// used is what this entry has used since its last report.
	used float64
}

const (
	// overdraftOfBurst is the allowed overdraft of the system as a fraction of the burst. The larger
	// of both overdrafts applies.
	overdraftOfBurst = 0.5
	// overdraftOfHeartbeat is the allowed overdraft as a fraction of the system's use in one
	// heartbeat.
	overdraftOfHeartbeat = 0.75
)

// maxOverdraft returns how far the system may be overdrawn before entries refuse requests that
// their own shares allow. Peers' use is known a heartbeat late, so the estimate fluctuates by the
// system's use in one heartbeat. With a tighter limit, all entries would stop and start together.
func (b *bucket) maxOverdraft() float64 {
	return math.Max(overdraftOfBurst*b.burst, overdraftOfHeartbeat*b.perSecond*b.reportLag)
}

// source is what a bucket uses to pay for a request.
type source uint8

const (
	sourceNone source = iota
	sourceOwnShare
	sourceSystem
)

func (b *bucket) set(perSecond, burst float64) {
	b.perSecond = perSecond
	b.burst = burst
	b.system = math.Min(b.system, burst)
}

func (b *bucket) fill(alloc allocation) {
	b.tokens = b.capacity(alloc)
	b.system = b.burst
}

// full reports whether waiting would add nothing to the bucket.
func (b *bucket) full(alloc allocation) bool {
	if b.perSecond <= 0 {
		return true
	}
	return b.tokens >= b.capacity(alloc) && b.system >= alloc.reachableShare*b.burst
}

// capacity returns the maximum number of tokens in this entry's share.
func (b *bucket) capacity(alloc allocation) float64 { return alloc.share * b.burst }

func (b *bucket) refill(elapsed float64, alloc allocation) {
	b.tokens += elapsed * alloc.share * b.perSecond
	b.system += elapsed * (alloc.reachableShare*b.perSecond - b.peerUse)
	b.clamp(alloc)
}

func (b *bucket) clamp(alloc allocation) {
	b.tokens = math.Min(b.tokens, b.capacity(alloc))
	b.system = math.Min(b.system, alloc.reachableShare*b.burst)
	b.system = math.Max(b.system, -b.burst-b.maxOverdraft())
}

// sourceFor returns the source from which the amount can be paid.
func (b *bucket) sourceFor(amount float64, alloc allocation) source {
	if b.perSecond <= 0 {
		return sourceOwnShare
	}
	if b.system < -b.maxOverdraft() {
		return sourceNone
	}
	if b.tokens >= math.Min(amount, b.capacity(alloc)) {
		return sourceOwnShare
	}
	if b.system < math.Min(amount, alloc.reachableShare*b.burst) {
		return sourceNone
	}
	if b.borrowed > 0 && b.borrowed+amount > b.system/alloc.reachableEntries {
		return sourceNone
	}
	return sourceSystem
}

func (b *bucket) spend(amount float64, from source) {
	b.system -= amount
	b.used += amount
	if from == sourceSystem {
		b.borrowed += amount
		return
	}
	b.tokens -= amount
}

// correct adjusts the amount of an earlier spend by extra.
func (b *bucket) correct(extra float64) {
	b.tokens -= extra
	b.system -= extra
	b.used += extra
}

// timeUntil returns the time until the amount is available, from the entry's share or from the
// system, within the limits for retry delays.
func (b *bucket) timeUntil(amount float64, alloc allocation) time.Duration {
	ownWait := refillTime(math.Min(amount, b.capacity(alloc))-b.tokens, alloc.share*b.perSecond)
	systemWait := refillTime(amount-b.system, alloc.reachableShare*b.perSecond-b.peerUse)
	return min(max(min(ownWait, systemWait), minRetryAfter), maxRetryAfter)
}

func refillTime(missing, perSecond float64) time.Duration {
	seconds := missing / perSecond
	if perSecond <= 0 || seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

// report returns the use per second since the last report, and starts a new period.
func (b *bucket) report(elapsed float64) float64 {
	perSecond := b.used / elapsed
	b.used = 0
	return perSecond
}

// correctPeerUse replaces a peer's predicted use over the elapsed time with its reported use.
func (b *bucket) correctPeerUse(predicted, reported, elapsed float64) {
	b.system -= (reported - predicted) * elapsed
	b.peerUse = math.Max(0, b.peerUse+reported-predicted)
}
