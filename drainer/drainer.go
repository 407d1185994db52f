// Package drainer implements the phases of a planned stop, so that the stop interrupts no request.
package drainer

import "time"

// Phase is a phase of a planned stop. Phases only advance.
type Phase uint8

// The phases of a planned stop.
const (
	// Serving entries have not been asked to stop.
	Serving Phase = iota
	// Withdrawing entries are no longer handed out to callers, but still serve callers with an older address answer.
	Withdrawing
	// Draining entries accept no new work and finish requests in flight.
	Draining
	// Ending entries are about to be killed and give up the requests in flight with a final answer.
	Ending
	// HandingOver entries have nothing in flight and transfer their results to peers.
	HandingOver
	// Done entries may exit.
	Done
)

// String returns the name of the phase as shown in logs and on the status page.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Withdrawing:
		return "withdrawing"
	case Draining:
		return "draining"
	case Ending:
		return "ending"
	case HandingOver:
		return "handingOver"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Config holds the time limits of a planned stop.
type Config struct {
	// AddressTTL is how long callers may cache an address answer.
	AddressTTL time.Duration
	// Grace is added to AddressTTL: peers hand out this entry's address until they learn of the stop (up to the
	// detector's SuspectAfter if this entry's heartbeats don't reach them), and a caller's last request takes time.
	Grace time.Duration
	// HandoverTimeout is how long to wait for peers to accept the results. Zero means no limit.
	HandoverTimeout time.Duration
}

// Drainer tracks the progress of a planned stop.
type Drainer struct {
	cfg       Config
	phase     Phase
	startedAt time.Time
	drainedAt time.Time
}

// New returns a Drainer in phase Serving.
func New(cfg Config) *Drainer {
	return &Drainer{cfg: cfg}
}

// Begin starts the planned stop. Further calls have no effect: shortening the stop would interrupt requests of
// callers that rely on their address answers.
func (d *Drainer) Begin(now time.Time) {
	if d.phase != Serving {
		return
	}
	d.phase = Withdrawing
	d.startedAt = now
}

// Step advances the stop and returns the current phase. inFlight is the number of requests and open streams,
// pendingResults the number of results that callers may still request and no peer has accepted.
func (d *Drainer) Step(inFlight, pendingResults int, now time.Time) Phase {
	if d.phase == Withdrawing && !now.Before(d.acceptUntil()) {
		d.phase = Draining
	}
	if d.phase == Draining && inFlight == 0 {
		d.phase = HandingOver
		d.drainedAt = now
	}
	if d.phase == HandingOver && inFlight == 0 && (pendingResults == 0 || d.handoverExpired(now)) {
		d.phase = Done
	}
	return d.phase
}

// Phase returns the current phase.
func (d *Drainer) Phase() Phase {
	return d.phase
}

// AcceptsWork reports whether new requests are accepted, which ends when the last address answer handed out has
// expired.
func (d *Drainer) AcceptsWork(now time.Time) bool {
	switch d.phase {
	case Serving:
		return true
	case Withdrawing:
		return now.Before(d.acceptUntil())
	default:
		return false
	}
}

// AcceptTimeLeft returns for how much longer new requests are accepted. It is zero while serving and after the last
// address answer has expired.
func (d *Drainer) AcceptTimeLeft(now time.Time) time.Duration {
	if d.phase != Withdrawing {
		return 0
	}
	return max(d.acceptUntil().Sub(now), 0)
}

func (d *Drainer) acceptUntil() time.Time {
	return d.startedAt.Add(d.cfg.AddressTTL + d.cfg.Grace)
}

func (d *Drainer) handoverExpired(now time.Time) bool {
	return d.cfg.HandoverTimeout > 0 && now.Sub(d.drainedAt) >= d.cfg.HandoverTimeout
}
