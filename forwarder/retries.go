package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/meter"
	"geraniumline/retrier"
	"geraniumline/selector"
)

// takeRetry takes one retry from the budget of the request's service, and reports whether it is allowed. The lock must
// be held.
func (x *exchange) takeRetry(now time.Time) bool {
	f, service := x.f, x.service.Name
	allowed := f.retries.TakeRetry(service, x.retryNeed(), now)
	if allowed {
		x.paidRetries++
		f.cfg.Meter.Counter(meter.ForwardRepeats, service).Inc(1)
	} else {
		f.cfg.Meter.Counter(meter.ForwardRetriesDenied, service).Inc(1)
	}
	f.log.Info("retry requested",
		zap.String("request", x.req.ID),
		zap.String("service", service),
		zap.Bool("allowed", allowed),
		zap.Int("sends", x.attempts),
		zap.Int("runs", x.runs),
		zap.Float64("left", f.retries.Allowance(service, now).Left))
	return allowed
}

// retryNeed returns how much the caller depends on a retry. A request that has not run may be sent again by its caller;
// one that may have run would be lost.
func (x *exchange) retryNeed() retrier.Need {
	if x.runs > 0 || x.priority <= urgentPriority {
		return retrier.Pressing
	}
	return retrier.Deferrable
}

// allowsHedge reports whether a request may be given up at a slow endpoint and sent to another one.
func (f *Forwarder) allowsHedge(service string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.AllowsHedge(service, now)
}

// mayRetry reports whether a request may be given up at a silent endpoint and sent to another one.
func (f *Forwarder) mayRetry(query selector.Query, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries.Allowance(query.Service, now).Left >= 1 && f.selector.HasEndpoint(query, now)
}

// retryUse returns this entry's use of the retry budgets. The lock must be held.
func (f *Forwarder) retryUse(now time.Time) []carrier.RetryUse {
	uses := f.retries.Uses(now)
	list := make([]carrier.RetryUse, 0, len(uses))
	for service, u := range uses {
		list = append(list, carrier.RetryUse{Service: service, Requests: int32(u.Requests), Retries: int32(u.Retries)})
	}
	return list
}

// applyRetryUse stores a peer's use of the retry budgets. The lock must be held.
func (f *Forwarder) applyRetryUse(from string, list []carrier.RetryUse, now time.Time) {
	uses := make(map[string]retrier.Use, len(list))
	for _, u := range list {
		uses[u.Service] = retrier.Use{Requests: int(u.Requests), Retries: int(u.Retries)}
	}
	f.retries.SetPeerUses(from, uses, now)
}

// updateRetryGauges sets the gauges of what is left of the retry budgets. The lock must be held.
func (f *Forwarder) updateRetryGauges(now time.Time) {
	for _, service := range f.retries.Services() {
		f.cfg.Meter.Gauge(meter.ForwardRetriesLeft, service).Update(int64(f.retries.Allowance(service, now).Left))
	}
}
