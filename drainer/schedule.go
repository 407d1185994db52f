package drainer

import "time"

const (
	// exitMargin is reserved for the process's exit before it is killed, and answerMargin before that for final answers to the
	// requests that are still in flight.
	exitMargin   = 450 * time.Millisecond
	answerMargin = 450 * time.Millisecond
	// marginShare bounds each of the margins to a share of a short StopTime.
	marginShare = 8
	// acceptShare bounds the time in which new requests are accepted to a share of that in which they are served, so that
	// the last of them has as long as the first.
	acceptShare = 2
)

// ScheduleConfig holds the time limits of a planned stop at whose end the process is killed.
type ScheduleConfig struct {
	// AddressTTL is how long most callers cache an address answer, MaxAddressAge how long the slowest do.
	AddressTTL, MaxAddressAge time.Duration
	// QuietTime is how long no request may have arrived before new ones are refused ahead of MaxAddressAge.
	QuietTime time.Duration
	// StopTime is the time from the start of the stop until the process is killed.
	StopTime time.Duration
}

// Schedule holds the times of a planned stop at whose end the process is killed.
type Schedule struct {
	quietTime time.Duration
	// quietFrom is when most cached addresses have expired, and acceptUntil when all have.
	quietFrom, acceptUntil time.Time
	// answerAt is when requests in flight get a final answer, and exitAt when the process exits whatever is in flight.
	answerAt, exitAt time.Time
}

// Load is what a stopping entry has to do.
type Load struct {
	// InFlight is the number of requests, and of tasks for peers.
	InFlight int
	// LastRequest is when the last request arrived.
	LastRequest time.Time
}

// NewSchedule returns the schedule of a planned stop that starts now.
func NewSchedule(cfg ScheduleConfig, now time.Time) Schedule {
	exit := cfg.StopTime - min(exitMargin, cfg.StopTime/marginShare)
	answer := exit - min(answerMargin, cfg.StopTime/marginShare)
	return Schedule{
		quietTime:   cfg.QuietTime,
		quietFrom:   now.Add(cfg.AddressTTL + cfg.QuietTime),
		acceptUntil: now.Add(min(cfg.MaxAddressAge, answer/acceptShare)),
		answerAt:    now.Add(answer),
		exitAt:      now.Add(exit),
	}
}

// ExitAt returns when the process exits whatever is in flight.
func (s *Schedule) ExitAt() time.Time { return s.exitAt }

// Next returns the phase that follows a phase, or the same one if it is not over. It advances by one phase at most, so that
// new requests are refused before those in flight are counted.
func (s *Schedule) Next(phase Phase, load Load, now time.Time) Phase {
	switch phase {
	case Serving:
		return Withdrawing
	case Withdrawing:
		if s.quiet(load, now) || !now.Before(s.acceptUntil) {
			return Draining
		}
	case Draining:
		if load.InFlight == 0 {
			return Done
		}
		if !now.Before(s.answerAt) {
			return Ending
		}
	case Ending:
		if load.InFlight == 0 || !now.Before(s.exitAt) {
			return Done
		}
	case HandingOver, Done:
		return Done
	}
	return phase
}

// quiet reports whether nothing is in flight and no caller seems to use a cached address any more.
func (s *Schedule) quiet(load Load, now time.Time) bool {
	return load.InFlight == 0 && !now.Before(s.quietFrom) && now.Sub(load.LastRequest) >= s.quietTime
}
