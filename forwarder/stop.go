package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/collector"
	"geraniumline/drainer"
)

const (
	// addressAgeFactor is how many times the TTL of an address answer the slowest callers use it.
	addressAgeFactor = 3
	// quietTime is how long no request may have arrived before a stopping entry exits, since callers with expired
	// addresses still send requests.
	quietTime = 400 * time.Millisecond
	// stopPollInterval is how often a stopping entry checks whether it may exit.
	stopPollInterval = 25 * time.Millisecond
)

// StopConfig configures a planned stop.
type StopConfig struct {
	// StopTime is the time from the start of the stop until the process is killed.
	StopTime time.Duration
	// CloseIdle closes the callers' idle connections. It is called once new requests are refused.
	CloseIdle func()
}

// Stop carries out a planned stop and returns when the process may exit. New requests are served until cached addresses
// have expired, and refused from then on. Requests in flight are served until shortly before the process is killed; then they
// get a final answer.
func (f *Forwarder) Stop(cfg StopConfig) {
	startTime := time.Now()
	f.stopping.Store(true)
	f.log.Info("planned stop started", zap.Int64("inFlight", f.inFlight.Load()))
	f.heartbeat(startTime)
	f.returnUnstartedPieces(startTime)
	f.replicateOwnOrigins(startTime)
	schedule := drainer.NewSchedule(drainer.ScheduleConfig{
		AddressTTL:    f.cfg.AddressTTL,
		MaxAddressAge: addressAgeFactor * f.cfg.AddressTTL,
		QuietTime:     quietTime,
		StopTime:      cfg.StopTime,
	}, startTime)
	poll := time.NewTicker(stopPollInterval)
	defer poll.Stop()
	for phase := drainer.Withdrawing; phase != drainer.Done; {
		now := <-poll.C
		next := schedule.Next(phase, f.stopLoad(), now)
		if next == phase {
			continue
		}
		phase = next
		f.log.Info("planned stop",
			zap.Stringer("phase", phase),
			zap.Duration("since", now.Sub(startTime)),
			zap.Int64("inFlight", f.inFlight.Load()))
		switch phase {
		case drainer.Draining:
			// The order matters: a request that is read from a connection that is being closed must not be passed on.
			f.refusing.Store(true)
			cfg.CloseIdle()
		case drainer.Ending:
			f.end()
		default:
		}
	}
}

// stopLoad returns what is in flight here.
func (f *Forwarder) stopLoad() drainer.Load {
	load := drainer.Load{InFlight: int(f.inFlight.Load()), LastRequest: time.Unix(0, f.lastRequest.Load())}
	if f.hasPendingPieces() {
		load.InFlight++
	}
	return load
}

// ends reports whether this entry is about to exit.
func (f *Forwarder) ends() bool { return f.endContext.Err() != nil }

// refuseStopping refuses a request that has come when this entry stops.
func (x *exchange) refuseStopping() *FailureError {
	x.w.Header().Set("Connection", "close")
	return notRun("entryStops", shortRetryDelay())
}

// cutShort returns the failure of a request whose time has passed, and that an endpoint may have run.
func (x *exchange) cutShort(now time.Time) *FailureError {
	if x.f.ends() && now.Before(x.deadline) {
		return mayHaveRun("endedByStop")
	}
	return timedOut()
}

// hasPendingPieces reports whether pieces collected here are still pending.
func (f *Forwarder) hasPendingPieces() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		if p.Busy() {
			return true
		}
	}
	return false
}

// returnUnstartedPieces returns the pieces that have not started to their entries if another entry can collect them.
func (f *Forwarder) returnUnstartedPieces(now time.Time) {
	f.withLock(func() []func() {
		var actions []func()
		for service, p := range f.pools {
			if _, other := f.owner(service, []string{f.cfg.Name}); !other {
				continue
			}
			actions = append(actions, f.performAll(service, p, p.Reduce(collector.Stopping{}, now))...)
		}
		return actions
	})
}
