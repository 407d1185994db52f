package forwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumline/collector"
)

const (
	// quietTime is how long no request may have arrived before a stopping entry exits, since callers with expired
	// addresses still send requests.
	quietTime = 400 * time.Millisecond
	// finalAnswerMargin is how long before its limit a stopping entry fails requests whose stages are not done. If
	// they were cut off with the process, their callers would not know whether they have run.
	finalAnswerMargin = 500 * time.Millisecond
	// stopPollInterval is how often a stopping entry checks whether it may exit.
	stopPollInterval = 25 * time.Millisecond
)

// Stop begins a planned stop and waits until no request is in flight and the addresses cached by callers have
// expired, or until limit has passed or the context ends. New requests are served meanwhile.
func (f *Forwarder) Stop(ctx context.Context, limit time.Duration) {
	startTime := time.Now()
	f.stopping.Store(true)
	f.log.Info("planned stop started", zap.Int64("inFlight", f.inFlight.Load()))
	f.heartbeat(startTime)
	f.returnUnstartedPieces(startTime)
	f.replicateOwnOrigins(startTime)
	addressesExpired := startTime.Add(f.cfg.AddressTTL + quietTime)
	poll := time.NewTicker(stopPollInterval)
	defer poll.Stop()
	failTimer := time.AfterFunc(limit-finalAnswerMargin, func() { close(f.ending) })
	defer failTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-poll.C:
			if f.canStop(now, addressesExpired) || now.Sub(startTime) >= limit {
				f.log.Info("planned stop finished",
					zap.Duration("took", now.Sub(startTime)),
					zap.Int64("inFlight", f.inFlight.Load()))
				return
			}
		}
	}
}

func (f *Forwarder) canStop(now, addressesExpired time.Time) bool {
	if f.inFlight.Load() > 0 || now.Before(addressesExpired) || f.hasPendingPieces() {
		return false
	}
	return now.UnixNano()-f.lastRequest.Load() >= int64(quietTime)
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
