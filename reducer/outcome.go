package reducer

import (
	"time"

	"geraniumline/claimer"
)

// outcomeStore keeps the outcomes of ended requests that callers may still ask for, the oldest going first.
// It is bounded in count and in bytes: a few thousand long summaries would else fill a small VM.
type outcomeStore struct {
	limit int
	bytes int
	byKey map[claimer.Key]Outcome
	order []claimer.Key
}

const (
	defaultMaxOutcomes = 4096
	maxOutcomeBytes    = 16 << 20
)

func newOutcomeStore(limit int) *outcomeStore {
	if limit <= 0 {
		limit = defaultMaxOutcomes
	}
	return &outcomeStore{limit: limit, byKey: map[claimer.Key]Outcome{}}
}

func (s *outcomeStore) put(key claimer.Key, outcome Outcome) {
	known, exists := s.byKey[key]
	if !exists {
		s.order = append(s.order, key)
	}
	s.bytes += outcome.size() - known.size()
	s.byKey[key] = outcome
	for len(s.order) > s.limit || s.bytes > maxOutcomeBytes && len(s.order) > 1 {
		s.dropOldest()
	}
}

func (s *outcomeStore) dropOldest() {
	oldest := s.order[0]
	s.bytes -= s.byKey[oldest].size()
	delete(s.byKey, oldest)
	s.order = s.order[1:]
}

// size is the bytes of an outcome's texts.
func (o Outcome) size() int {
	return len(o.Answer) + len(o.Failure.Message)
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
