// Package drainer decides the steps of a planned stop, so that it cuts no request.
package drainer

import "time"

// Phase is a step of a planned stop. Phases only go forward.
type Phase uint8

// The phases of a planned stop.
const (
	// Serving entries have not been asked to stop.
	Serving Phase = iota
	// Withdrawing entries are no longer given to callers, but callers with an old answer are served.
	Withdrawing
	// Draining entries take no new work and end what is in flight.
	Draining
	// HandingOver entries have nothing in flight and give their results to peers.
	HandingOver
	// Done entries may exit.
	Done
)

// String gives the phase's name as logs and the status page print it.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Withdrawing:
		return "withdrawing"
	case Draining:
		return "draining"
	case HandingOver:
		return "handingOver"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Config holds the times of a planned stop.
type Config struct {
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL time.Duration
	// Grace is added to AddressTTL: peers give this entry's address out until they hear of the stop (up to the
	// detector's SuspectAfter if this entry's heartbeats don't reach them), and a caller's last request takes time.
	Grace time.Duration
	// HandoverTimeout is how long results may wait for a peer that takes them. Zero waits without limit.
	HandoverTimeout time.Duration
}

// Drainer holds how far a planned stop has come.
type Drainer struct {
	cfg       Config
	phase     Phase
	begunAt   time.Time
	drainedAt time.Time
}

// New makes a Drainer that serves.
func New(cfg Config) *Drainer {
	return &Drainer{cfg: cfg}
}

// Begin starts the planned stop. A second signal changes nothing: shortening the stop would cut requests
// whose callers rely on their address answers.
func (d *Drainer) Begin(now time.Time) {
	if d.phase != Serving {
		return
	}
	d.phase = Withdrawing
	d.begunAt = now
}

// Step moves the stop on. inFlight counts requests and open streams, unhanded the results that callers may
// still ask for and no peer has taken.
func (d *Drainer) Step(inFlight, unhanded int, now time.Time) Phase {
	if d.phase == Withdrawing && !now.Before(d.lapse()) {
		d.phase = Draining
	}
	if d.phase == Draining && inFlight == 0 {
		d.phase = HandingOver
		d.drainedAt = now
	}
	if d.phase == HandingOver && inFlight == 0 && (unhanded == 0 || d.handoverExpired(now)) {
		d.phase = Done
	}
	return d.phase
}

// Phase gives the present phase.
func (d *Drainer) Phase() Phase {
	return d.phase
}

// AcceptsWork tells whether new requests are taken: until the last address answer given out has lapsed.
func (d *Drainer) AcceptsWork(now time.Time) bool {
	switch d.phase {
	case Serving:
		return true
	case Withdrawing:
		return now.Before(d.lapse())
	default:
		return false
	}
}

// AcceptTimeLeft gives how long new requests are still taken; zero once they aren't, and while serving.
func (d *Drainer) AcceptTimeLeft(now time.Time) time.Duration {
	if d.phase != Withdrawing {
		return 0
	}
	return max(d.lapse().Sub(now), 0)
}

func (d *Drainer) lapse() time.Time {
	return d.begunAt.Add(d.cfg.AddressTTL + d.cfg.Grace)
}

func (d *Drainer) handoverExpired(now time.Time) bool {
	return d.cfg.HandoverTimeout > 0 && now.Sub(d.drainedAt) >= d.cfg.HandoverTimeout
}
