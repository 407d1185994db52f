// Package spooler writes log lines through a bounded buffer, so that a stalled log reader causes lost lines and never
// delays the process.
package spooler

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines is the default size of the buffer in lines; at about 300 bytes each they take 1.2 MB.
	DefaultLines = 4096
	// lineBytes bounds the buffer in bytes: so many for each of its lines, but at least minBufferBytes.
	lineBytes      = 1 << 10
	minBufferBytes = 256 << 10
	// batchDelay is how long lines wait to be written together: a write for each line costs more than formatting the line.
	batchDelay = 20 * time.Millisecond
	// maxBatchBytes is the size from which a batch of lines is written without further delay.
	maxBatchBytes = 64 << 10
)

// Spooler is an io.Writer whose Write never blocks. It implements zapcore.WriteSyncer.
type Spooler struct {
	lines   chan []byte
	dropped atomic.Int64
	// buffered is the size of the buffered lines in bytes, and maxBuffered its limit.
	buffered    atomic.Int64
	maxBuffered int64
	done        chan struct{}
	mu          sync.RWMutex
	closed      bool
}

// New starts a Spooler that writes to w and buffers at most the given number of lines. If lines is 0 or less, it uses
// DefaultLines.
func New(w io.Writer, lines int) *Spooler {
	if lines <= 0 {
		lines = DefaultLines
	}
	s := &Spooler{lines: make(chan []byte, lines), done: make(chan struct{}), maxBuffered: max(int64(lines)*lineBytes, minBufferBytes)}
	go s.run(w)
	return s
}

// Write buffers one line and never fails. If the buffer is full, the line is dropped and counted. After Close, lines are
// discarded.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return len(line), nil
	}
	if s.buffered.Add(int64(len(line))) > s.maxBuffered {
		s.drop(line)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.drop(line)
	}
	return len(line), nil
}

func (s *Spooler) drop(line []byte) {
	s.buffered.Add(-int64(len(line)))
	s.dropped.Add(1)
}

// Sync does nothing, since Close writes the buffered lines.
func (s *Spooler) Sync() error { return nil }

// Dropped returns how many lines have been dropped because the buffer was full.
func (s *Spooler) Dropped() int64 { return s.dropped.Load() }

// Close writes the buffered lines and stops the Spooler.
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
	reported := int64(0)
	var batch []byte
	for line := range s.lines {
		s.buffered.Add(-int64(len(line)))
		batch = s.fillBatch(append(batch[:0], line...))
		if n := s.dropped.Load(); n > reported && len(s.lines) == 0 {
			batch = fmt.Appendf(batch, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", n-reported)
			reported = n
		}
		// An error here means that nothing reads the logs; the process continues without them.
		_, _ = w.Write(batch)
	}
}

// fillBatch adds the lines that arrive within batchDelay, so that they are written together.
func (s *Spooler) fillBatch(batch []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for len(batch) < maxBatchBytes {
		select {
		case line, open := <-s.lines:
			if !open {
				return batch
			}
			s.buffered.Add(-int64(len(line)))
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		}
	}
	return batch
}
