package reducer

import (
	"time"

	"geraniumline/claimer"
)

// outcomeStore keeps the outcomes of ended requests that callers may still ask for, the oldest going first.
type outcomeStore struct {
	limit int
	byKey map[claimer.Key]Outcome
	order []claimer.Key
}

const defaultOutcomesKept = 4096

func newOutcomeStore(limit int) *outcomeStore {
	if limit <= 0 {
		limit = defaultOutcomesKept
	}
	return &outcomeStore{limit: limit, byKey: map[claimer.Key]Outcome{}}
}

func (s *outcomeStore) put(key claimer.Key, outcome Outcome) {
	if _, known := s.byKey[key]; !known {
		s.order = append(s.order, key)
	}
	s.byKey[key] = outcome
	for len(s.order) > s.limit {
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
	}
}

func (s *outcomeStore) get(key claimer.Key) (Outcome, bool) {
	outcome, known := s.byKey[key]
	return outcome, known
}

func (s *outcomeStore) recent(since time.Time) []claimer.Key {
	var keys []claimer.Key
	for _, key := range s.order {
		if !s.byKey[key].Ended.Before(since) {
			keys = append(keys, key)
		}
	}
	return keys
}
