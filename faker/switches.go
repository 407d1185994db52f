package faker

import (
	"context"
	"sync"
)

// switches holds a set of fault switches and notifies waiters when it changes.
type switches[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

func newSwitches[T any](value T) *switches[T] {
	return &switches[T]{value: value, changed: make(chan struct{})}
}

func (s *switches[T]) get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

func (s *switches[T]) set(value T) {
	s.update(func(v *T) { *v = value })
}

func (s *switches[T]) update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.value)
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch returns the current switches and a channel that is closed at their next change.
func (s *switches[T]) watch() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.changed
}

// waitUntil blocks until ok returns true for the switches, or returns the context's error.
func (s *switches[T]) waitUntil(ctx context.Context, ok func(T) bool) error {
	for {
		value, changed := s.watch()
		if ok(value) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
