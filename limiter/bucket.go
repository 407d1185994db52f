package limiter

import (
	"math"
	"time"
)

// bucket holds one limit of an account at this entry, twice: as the part that this entry
// may use without regard to peers, and as an estimate of the whole system's token bucket.
//
// The part alone wastes what other entries don't use until the shares follow, and refuses
// at random when an entry's part of the burst is a few requests. The estimate alone is
// exceeded by all entries at once between two heartbeats. So the part is always usable
// while the system is not in debt, and beyond it an entry may borrow from the estimate, in
// each heartbeat no more than its even part of what is left there.
type bucket struct {
	perSecond float64
	burst     float64
	// lag is the time in seconds after which peers' use is known.
	lag float64

	tokens float64
	// system is the estimate of what the whole system may still use at once. Peers' use is
	// subtracted as it is reported, so an overshoot is paid back by all.
	system float64
	// peerUse is what peers use a second by their last reports.
	peerUse  float64
	borrowed float64
	// used is what this entry has used since its last report.
	used float64
}

const (
	// debtPart is the least part of the burst by which the system may be overdrawn.
	debtPart = 0.5
	// lagPart is the part of the system's use in one heartbeat by which it may be.
	lagPart = 0.75
)

// debt is how far the system may be overdrawn before entries refuse what their own parts
// allow. Peers' use is known a heartbeat late, so the estimate swings by what the system
// uses in one. With a tighter bound all entries would stop and start together.
func (b *bucket) debt() float64 {
	return math.Max(debtPart*b.burst, lagPart*b.perSecond*b.lag)
}

// source tells what a bucket pays a request from.
type source uint8

const (
	fromNothing source = iota
	fromPart
	fromSystem
)

func (b *bucket) set(perSecond, burst float64) {
	b.perSecond = perSecond
	b.burst = burst
	b.system = math.Min(b.system, burst)
}

func (b *bucket) fill(p portion) {
	b.tokens = b.capacity(p)
	b.system = b.burst
}

// full tells that time would bring nothing more.
func (b *bucket) full(p portion) bool {
	if b.perSecond <= 0 {
		return true
	}
	return b.tokens >= b.capacity(p) && b.system >= p.heard*b.burst
}

// capacity is the most that this entry's part may hold.
func (b *bucket) capacity(p portion) float64 { return p.share * b.burst }

func (b *bucket) refill(elapsed float64, p portion) {
	b.tokens += elapsed * p.share * b.perSecond
	b.system += elapsed * (p.heard*b.perSecond - b.peerUse)
	b.clip(p)
}

func (b *bucket) clip(p portion) {
	b.tokens = math.Min(b.tokens, b.capacity(p))
	b.system = math.Min(b.system, p.heard*b.burst)
	b.system = math.Max(b.system, -b.burst-b.debt())
}

// pay tells what the amount can be paid from.
func (b *bucket) pay(amount float64, p portion) source {
	if b.perSecond <= 0 {
		return fromPart
	}
	if b.system < -b.debt() {
		return fromNothing
	}
	if b.tokens >= math.Min(amount, b.capacity(p)) {
		return fromPart
	}
	if b.system < math.Min(amount, p.heard*b.burst) {
		return fromNothing
	}
	if b.borrowed > 0 && b.borrowed+amount > b.system/p.entries {
		return fromNothing
	}
	return fromSystem
}

func (b *bucket) take(amount float64, from source) {
	b.system -= amount
	b.used += amount
	if from == fromSystem {
		b.borrowed += amount
		return
	}
	b.tokens -= amount
}

// correct sets the amount of an earlier take right.
func (b *bucket) correct(extra float64) {
	b.tokens -= extra
	b.system -= extra
	b.used += extra
}

// until is the time in which the amount is there again, in the entry's part or the system.
func (b *bucket) until(amount float64, p portion) time.Duration {
	part := wait(math.Min(amount, b.capacity(p))-b.tokens, p.share*b.perSecond)
	system := wait(amount-b.system, p.heard*b.perSecond-b.peerUse)
	return min(max(min(part, system), retryShortest), retryLongest)
}

func wait(missing, perSecond float64) time.Duration {
	seconds := missing / perSecond
	if perSecond <= 0 || seconds > retryLongest.Seconds() {
		return retryLongest
	}
	return time.Duration(seconds * float64(time.Second))
}

// report gives what was used a second since the last report, and starts anew.
func (b *bucket) report(elapsed float64) float64 {
	perSecond := b.used / elapsed
	b.used = 0
	return perSecond
}

// learn replaces a peer's predicted use over the elapsed time by what it reports.
func (b *bucket) learn(predicted, reported, elapsed float64) {
	b.system -= (reported - predicted) * elapsed
	b.peerUse = math.Max(0, b.peerUse+reported-predicted)
}
