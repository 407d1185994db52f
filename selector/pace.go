package selector

import (
	"time"

	"geraniumline/estimator"
	"geraniumline/registrar"
	"geraniumline/switcher"
)

// minObservedTokens is the minimum size of a call that tells the speed of its pool and endpoint. In smaller calls, the
// engine steps of other calls dominate the duration.
const minObservedTokens = 1000

// Timing is one observation of an endpoint's speed.
type Timing struct {
	Endpoint registrar.Endpoint
	// LogRatio is the natural logarithm of the observed over the usual time to the first event.
	LogRatio float64
}

// ObserveFirstEvent records the time from sending a call to receiving its first event. It returns the observation of the
// endpoint's speed for peers; measured is false if the call tells nothing about it.
func (s *Selector) ObserveFirstEvent(choice Choice, took time.Duration, now time.Time) (t Timing, measured bool) {
	e, known := s.chosenEndpoint(&choice)
	if !known || choice.Tokens < minObservedTokens {
		return Timing{}, false
	}
	logRatio, measured := e.pool.fit.Observe(choice.work(), took)
	if !measured {
		return Timing{}, false
	}
	e.pool.speeds.Observe(&e.speed, logRatio, now)
	return Timing{Endpoint: *e.Endpoint, LogRatio: logRatio}, true
}

// RecordPeerTiming records a peer's observation of an endpoint process. It is dropped if another process has taken the
// endpoint's place.
func (s *Selector) RecordPeerTiming(id string, started time.Time, logRatio float64, now time.Time) {
	e, known := s.byID[id]
	if !known || !e.SameIncarnation(&registrar.Endpoint{ID: id, Started: started}) {
		return
	}
	e.pool.speeds.Observe(&e.speed, logRatio, now)
}

// SpeedChange is an endpoint that was found to be slow or usual again.
type SpeedChange struct {
	Endpoint registrar.Endpoint
	Slow     bool
	// Factor is how many times as long as usual calls take there.
	Factor float64
}

// UpdateSpeeds compares the endpoints of each pool by their observations and returns those that have become slow or usual
// again. It must be called regularly.
func (s *Selector) UpdateSpeeds(now time.Time) []SpeedChange {
	var changes []SpeedChange
	for _, p := range s.pools {
		all := make([]*estimator.Speed, len(p.endpoints))
		for i, e := range p.endpoints {
			all[i] = &e.speed
		}
		p.speeds.Update(all, now, func(i int) {
			e := p.endpoints[i]
			changes = append(changes, SpeedChange{Endpoint: *e.Endpoint, Slow: e.speed.Slow(), Factor: e.speed.Factor()})
		})
	}
	return changes
}

// SpeedSpread returns the standard deviation of the speeds of a service's endpoints, as a part of the usual speed.
func (s *Selector) SpeedSpread(service string) float64 {
	if p, known := s.pools[service]; known {
		return p.speeds.Spread()
	}
	return 0
}

// Services lists the services that have endpoints or had some.
func (s *Selector) Services() []string {
	list := make([]string, 0, len(s.pools))
	for service := range s.pools {
		list = append(list, service)
	}
	return list
}

// speedFactor returns how many times as long as usual work takes at the endpoint. Entries that don't know their peers'
// work can't tell a slow endpoint from a loaded one.
func (s *Selector) speedFactor(e *endpoint) float64 {
	if s.peerWorkUnknown || s.cfg.Disabled.Has(switcher.EndpointSpeeds) {
		return 1
	}
	return e.speed.Factor()
}

func (c *Choice) work() estimator.Work {
	return estimator.Work{Queued: c.queued, Uncached: c.Tokens, Cached: c.Cached}
}

// uncachedWork is the work of the call if the endpoint has nothing of the prompt cached.
func (c *Choice) uncachedWork() estimator.Work {
	return estimator.Work{Queued: c.queued, Uncached: c.Tokens + c.Cached}
}

// PredictFirstEvent predicts the time to the first event of a prompt at an endpoint with a typical queue. Its shared parts
// count as cached, unless peers report where they send prompts and nobody has sent this one.
func (s *Selector) PredictFirstEvent(service string, parts []Part) time.Duration {
	shared := SharedTokens(parts)
	if p, known := s.pools[service]; known && s.promptsKnown && shared > 0 {
		call := callOf(&Query{Parts: parts})
		if _, held := s.holder(p, &call); !held {
			return s.PredictUncached(service, parts)
		}
	}
	return s.predict(service, estimator.Work{Uncached: promptTokens(parts) - shared + s.cfg.CallTokens, Cached: shared})
}

// PredictUncached predicts the time to the first event of a prompt at an endpoint that has no part of it cached.
func (s *Selector) PredictUncached(service string, parts []Part) time.Duration {
	return s.predict(service, estimator.Work{Uncached: promptTokens(parts) + s.cfg.CallTokens})
}

func (s *Selector) predict(service string, w estimator.Work) time.Duration {
	if p, known := s.pools[service]; known {
		return p.fit.PredictTypical(w)
	}
	return (&estimator.Fit{}).PredictTypical(w)
}
