// Package spooler writes log lines behind a bounded buffer: a reader of the logs that stalls costs lines, never time.
package spooler

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines bounds the lines that wait; at some 300 bytes each they take 1.2 MB.
	DefaultLines = 4096
	// gatherTime is how long lines wait for others: a write for each line costs more than making the line.
	gatherTime = 20 * time.Millisecond
	// maxBlock is the size from which a block of lines is written at once.
	maxBlock = 64 << 10
)

// Spooler is an io.Writer that never waits. It implements zapcore.WriteSyncer.
type Spooler struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	mu      sync.RWMutex
	closed  bool
}

// New starts a spooler that writes to w; lines 0 takes DefaultLines.
func New(w io.Writer, lines int) *Spooler {
	if lines <= 0 {
		lines = DefaultLines
	}
	s := &Spooler{lines: make(chan []byte, lines), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write takes one line. A line that finds no room is dropped and counted.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Close waits for the lines.
func (s *Spooler) Sync() error { return nil }

// Dropped is how many lines found no room so far.
func (s *Spooler) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits and ends the spooler.
func (s *Spooler) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}

func (s *Spooler) run(w io.Writer) {
	defer close(s.done)
	told := int64(0)
	var block []byte
	for line := range s.lines {
		block = s.gather(append(block[:0], line...))
		if n := s.dropped.Load(); n > told && len(s.lines) == 0 {
			block = fmt.Appendf(block, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", n-told)
			told = n
		}
		// An error here means that nobody reads the logs; the process serves on without them.
		_, _ = w.Write(block)
	}
}

// gather adds the lines that come within gatherTime, so that one write takes them all.
func (s *Spooler) gather(block []byte) []byte {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for len(block) < maxBlock {
		select {
		case line, open := <-s.lines:
			if !open {
				return block
			}
			block = append(block, line...)
		case <-timer.C:
			return block
		}
	}
	return block
}
