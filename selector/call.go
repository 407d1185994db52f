package selector

import (
	"time"

	"geraniumline/ejector"
)

// RecordStart counts a call at an endpoint and assumes that the endpoint caches its prompt parts from now on.
func (s *Selector) RecordStart(choice Choice, parts []Part, now time.Time) {
	e, known := s.chosenEndpoint(&choice)
	if !known {
		return
	}
	if s.cfg.Gate != nil {
		s.cfg.Gate.RecordSend(e.Endpoint, e.pool.coldPerSecond, now)
	}
	e.calls++
	s.addWork(e, choice.Tokens)
	e.cache.add(prefixKeys(parts))
}

// RecordPromptRead records that the prompt of the call has been processed, so that only generating its output counts as
// work.
func (s *Selector) RecordPromptRead(choice *Choice) {
	e, known := s.chosenEndpoint(choice)
	left := min(choice.Tokens, s.cfg.CallTokens)
	if known {
		s.addWork(e, left-choice.Tokens)
	}
	choice.Tokens = left
}

// RecordEnd records the end of a call and reports whether it ejected the endpoint or returned it to use.
func (s *Selector) RecordEnd(choice Choice, outcome ejector.Outcome, now time.Time) bool {
	e, known := s.chosenEndpoint(&choice)
	if !known {
		return false
	}
	if choice.refusals == e.backoff.TotalRefusals() {
		// The endpoint has refused nothing since this call was sent.
		e.backoff.RecordSuccess()
	}
	e.calls--
	s.addWork(e, -choice.Tokens)
	s.recordReachability(e, outcome, now)
	return e.pool.health.RecordOutcome(&e.health, outcome, false, now)
}

// RecordCancel records the end of a call that indicates nothing about its endpoint.
func (s *Selector) RecordCancel(choice Choice) {
	if e, known := s.chosenEndpoint(&choice); known {
		e.calls--
		s.addWork(e, -choice.Tokens)
	}
}

// ClassifyDuration compares the duration of a successful call with that of other calls in the pool.
func (s *Selector) ClassifyDuration(choice Choice, took, expected time.Duration) ejector.Outcome {
	e, known := s.chosenEndpoint(&choice)
	if !known {
		return ejector.Good
	}
	return e.pool.health.RecordDuration(&e.health, took, expected)
}
