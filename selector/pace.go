package selector

import "time"

const (
	// paceWeight is the weight of the newest call in a service's pace.
	paceWeight = 0.1
	// usualPace is the time for a prompt token before any call has been seen: 40 tokens a millisecond.
	usualPace = 25 * time.Microsecond
	// firstStep is what a first event takes besides its prompt: the way there and back and a step of the engine.
	firstStep = 40 * time.Millisecond
	// leastTokens is the work from which a call tells of the pace; below it the steps of others weigh more.
	leastTokens = 1000
)

// ObserveFirstEvent takes the time from a call's sending to its first event.
func (s *Selector) ObserveFirstEvent(choice Choice, took time.Duration) {
	e, known := s.chosen(&choice)
	if !known || choice.Tokens < leastTokens || took <= firstStep {
		return
	}
	seen := float64(took-firstStep) / float64(choice.Tokens)
	e.pool.pace += paceWeight * (seen - e.pool.pace)
}

// PredictFirstEvent predicts the time to the first event of a prompt whose shared parts are held.
func (s *Selector) PredictFirstEvent(service string, parts []Part) time.Duration {
	pace := float64(usualPace)
	if p, known := s.pools[service]; known {
		pace = p.pace
	}
	tokens := s.cfg.CallTokens - sharedTokens(parts)
	for _, part := range parts {
		tokens += part.Tokens
	}
	return firstStep + time.Duration(pace*float64(tokens))
}
