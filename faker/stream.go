package faker

import (
	"context"
	"strconv"
	"sync"
	"time"

	"geraniumline/endpointserver"
)

// Limits on the streams that an endpoint keeps so that callers can resume them.
const (
	maxStreams      = 16_384
	streamRetention = 60 * time.Second
)

// stream stores the output of an execution so far. It outlives the connection of the call.
type stream struct {
	id     string
	call   *endpointserver.StageCall // The input is removed because it may be large.
	output output
	cancel context.CancelFunc

	mu           sync.Mutex
	texts        []string
	done         bool
	endedAt      time.Time
	failure      string
	cost         float64
	cachedTokens int
	changed      chan struct{}
}

func (s *stream) push(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.texts = append(s.texts, text)
	s.notifyReaders()
}

// finish adds the final part and marks the stream as done.
func (s *stream) finish(r result, failure string, cost float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.texts = append(s.texts, r.lastText)
	s.cachedTokens = r.cachedTokens
	s.failure = failure
	s.cost = cost
	s.done = true
	s.endedAt = now
	s.notifyReaders()
}

func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// next returns the parts from a sequence number on and waits until there is at least one. It returns none
// if the stream ended before that number.
func (s *stream) next(ctx context.Context, from int) ([]endpointserver.StagePart, error) {
	for {
		s.mu.Lock()
		parts, done, changed := s.partsLocked(from), s.done, s.changed
		s.mu.Unlock()
		if len(parts) > 0 || done {
			return parts, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *stream) partsLocked(from int) []endpointserver.StagePart {
	var parts []endpointserver.StagePart
	for seq := from; seq < len(s.texts); seq++ {
		parts = append(parts, s.partLocked(seq))
	}
	return parts
}

func (s *stream) partLocked(seq int) endpointserver.StagePart {
	part := endpointserver.StagePart{
		RequestId: s.call.RequestId,
		Stage:     s.call.Stage,
		Attempt:   s.call.Attempt,
		StreamId:  s.id,
		Seq:       seq,
		Text:      s.texts[seq],
	}
	if !s.done || seq != len(s.texts)-1 {
		return part
	}
	part.Final = true
	part.Total = endpointserver.NewOptInt(len(s.texts))
	part.Cost = endpointserver.NewOptFloat64(s.cost)
	part.CachedTokens = endpointserver.NewOptInt(s.cachedTokens)
	if s.failure != "" {
		part.Error = endpointserver.NewOptString(s.failure)
	}
	return part
}

// waitDone blocks until the stream has its final part, or returns the context's error.
func (s *stream) waitDone(ctx context.Context) error {
	for {
		s.mu.Lock()
		done, changed := s.done, s.changed
		s.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *stream) endedBefore(cutoff time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done && s.endedAt.Before(cutoff)
}

func (s *stream) isDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

// streamStore stores streams by id and in the order in which they were added.
type streamStore struct {
	mu         sync.Mutex
	prefix     string
	startCount int
	byID       map[string]*stream
	order      []*stream
}

func newStreamStore(prefix string) *streamStore {
	return &streamStore{prefix: prefix, byID: make(map[string]*stream)}
}

func (t *streamStore) add(
	call *endpointserver.StageCall, o output, cancel context.CancelFunc, now time.Time,
) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	t.startCount++
	s := &stream{
		id:      t.prefix + "-" + strconv.Itoa(t.startCount),
		call:    copyWithoutInput(call),
		output:  o,
		cancel:  cancel,
		changed: make(chan struct{}),
	}
	t.byID[s.id] = s
	t.order = append(t.order, s)
	return s
}

func copyWithoutInput(call *endpointserver.StageCall) *endpointserver.StageCall {
	kept := *call
	kept.Input = ""
	return &kept
}

// prune removes the oldest streams whose retention time has passed. If there are still too many, it
// removes finished streams of the older half; those in flight are limited by the endpoint's queue.
func (t *streamStore) prune(now time.Time) {
	cutoff := now.Add(-streamRetention)
	for len(t.order) > 0 && t.order[0].endedBefore(cutoff) {
		delete(t.byID, t.order[0].id)
		t.order[0] = nil
		t.order = t.order[1:]
	}
	if len(t.order) < maxStreams {
		return
	}
	kept := make([]*stream, 0, len(t.order))
	for i, s := range t.order {
		if i < maxStreams/2 && s.isDone() {
			delete(t.byID, s.id)
			continue
		}
		kept = append(kept, s)
	}
	t.order = kept
}

func (t *streamStore) find(id string) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// findOther returns a stream of another request than that of s: the newest one in flight, or else the newest
// finished one. It searches only the newest maxOtherStreamSearch streams.
func (t *streamStore) findOther(s *stream) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest *stream
	for i := len(t.order) - 1; i >= 0 && len(t.order)-i <= maxOtherStreamSearch; i-- {
		candidate := t.order[i]
		if candidate.call.RequestId == s.call.RequestId {
			continue
		}
		if !candidate.isDone() {
			return candidate
		}
		if newest == nil {
			newest = candidate
		}
	}
	return newest
}

const maxOtherStreamSearch = 256
