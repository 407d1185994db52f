package forwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"geraniumline/collector"
)

const (
	// quietTime is how long no request may have come before a stopping entry ends: callers with old addresses still
	// come.
	quietTime = 400 * time.Millisecond
	// lastCall is how long before its limit a stopping entry answers requests whose stages are not done: cut with the
	// process, their callers would not know whether they have run.
	lastCall = 500 * time.Millisecond
	// stopPoll is how often a stopping entry looks whether it may end.
	stopPoll = 25 * time.Millisecond
)

// Stop begins a planned stop and waits until no request is in flight and callers' old addresses have lapsed, or until
// limit is over. New requests are served meanwhile.
func (f *Forwarder) Stop(ctx context.Context, limit time.Duration) {
	begun := time.Now()
	f.stopping.Store(true)
	f.log.Info("planned stop begun", zap.Int64("inFlight", f.inFlight.Load()))
	f.heartbeat(begun)
	f.handOver(begun)
	lapse := begun.Add(f.cfg.AddressTTL + quietTime)
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	last := time.AfterFunc(limit-lastCall, func() { close(f.ending) })
	defer last.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-poll.C:
			if f.mayEnd(now, lapse) || now.Sub(begun) >= limit {
				f.log.Info("planned stop done",
					zap.Duration("took", now.Sub(begun)),
					zap.Int64("inFlight", f.inFlight.Load()))
				return
			}
		}
	}
}

func (f *Forwarder) mayEnd(now, lapse time.Time) bool {
	if f.inFlight.Load() > 0 || now.Before(lapse) || f.collecting() {
		return false
	}
	return now.UnixNano()-f.lastRequest.Load() >= int64(quietTime)
}

// collecting tells whether peers still wait for pieces here.
func (f *Forwarder) collecting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		if p.Busy() {
			return true
		}
	}
	return false
}

// handOver gives the pieces that have not begun back to their entries, if another entry can collect them.
func (f *Forwarder) handOver(now time.Time) {
	f.locked(func() []func() {
		var todo []func()
		for service, p := range f.pools {
			if _, other := f.owner(service, []string{f.cfg.Name}); !other {
				continue
			}
			todo = append(todo, f.performAll(service, p, p.Reduce(collector.Stopping{}, now))...)
		}
		return todo
	})
}
