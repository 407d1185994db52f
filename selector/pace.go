package selector

import "time"

const (
	// tokenTimeWeight is the weight of the newest call in a pool's moving average of the time per prompt token.
	tokenTimeWeight = 0.1
	// defaultTokenTime is the time per prompt token before any call has been observed: 40 tokens a millisecond.
	defaultTokenTime = 25 * time.Microsecond
	// firstEventOverhead is the part of the time to the first event that does not depend on the prompt: the network
	// round trip and one step of the engine.
	firstEventOverhead = 40 * time.Millisecond
	// minObservedTokens is the minimum size of a call that updates the token time. In smaller calls, the engine steps
	// of other calls dominate the duration.
	minObservedTokens = 1000
)

// ObserveFirstEvent records the time from sending a call to receiving its first event.
func (s *Selector) ObserveFirstEvent(choice Choice, took time.Duration) {
	e, known := s.chosenEndpoint(&choice)
	if !known || choice.Tokens < minObservedTokens || took <= firstEventOverhead {
		return
	}
	observed := float64(took-firstEventOverhead) / float64(choice.Tokens)
	e.pool.tokenTime += tokenTimeWeight * (observed - e.pool.tokenTime)
}

// PredictFirstEvent predicts the time to the first event of a prompt whose shared parts are cached.
func (s *Selector) PredictFirstEvent(service string, parts []Part) time.Duration {
	return s.predictIdle(service, promptTokens(parts)-sharedTokens(parts))
}

// PredictUncached predicts the time to the first event of a prompt at an idle endpoint that has no part of it cached.
func (s *Selector) PredictUncached(service string, parts []Part) time.Duration {
	return s.predictIdle(service, promptTokens(parts))
}

// predictIdle predicts the time to the first event at an idle endpoint that reads a number of prompt tokens.
func (s *Selector) predictIdle(service string, tokens int) time.Duration {
	tokenTime := float64(defaultTokenTime)
	if p, known := s.pools[service]; known {
		tokenTime = p.tokenTime
	}
	return firstEventOverhead + time.Duration(tokenTime*float64(tokens+s.cfg.CallTokens))
}

// predict predicts the time to the first event of a call with the given work at an endpoint with its present queue.
func (p *pool) predict(e *endpoint, tokens int) time.Duration {
	work := float64(e.tokens+e.peerTokens+tokens) * e.health.Slowness()
	return firstEventOverhead + time.Duration(p.tokenTime*work)
}
