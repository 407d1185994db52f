package reducer

import (
	"time"

	"geraniumline/claimer"
)

// outcomeStore keeps the outcomes of ended requests for callers to request, and evicts the oldest first.
// It is bounded in count and in bytes: a few thousand long summaries would otherwise fill the memory of a small VM.
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

// put stores or replaces the outcome of a key and evicts the oldest outcomes above the limits.
func (s *outcomeStore) put(key claimer.Key, outcome Outcome) {
	previous, exists := s.byKey[key]
	if !exists {
		s.order = append(s.order, key)
	}
	s.bytes += outcome.size() - previous.size()
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

// size returns the size of an outcome's texts in bytes.
func (o Outcome) size() int {
	return len(o.Answer) + len(o.Failure.Message)
}

func (s *outcomeStore) get(key claimer.Key) (Outcome, bool) {
	outcome, known := s.byKey[key]
	return outcome, known
}

// recent returns the keys of the outcomes that ended at or after a time.
func (s *outcomeStore) recent(since time.Time) []claimer.Key {
	var keys []claimer.Key
	for _, key := range s.order {
		if !s.byKey[key].Ended.Before(since) {
			keys = append(keys, key)
		}
	}
	return keys
}
