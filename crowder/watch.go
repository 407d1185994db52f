package crowder

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the interval between two samples of a process.
const sampleInterval = 25 * time.Millisecond

// Usage is what a process has held at most.
type Usage struct {
	// MemoryBytes is the resident memory, and the bytes on sockets that were received and not read, or sent and not acknowledged.
	MemoryBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Watch samples a process.
type Watch struct {
	dir  string
	stop chan struct{}
	done sync.WaitGroup

	mu    sync.Mutex
	usage Usage
}

// NewWatch begins to watch the process with the given ID. Stop ends it.
func NewWatch(pid int) *Watch {
	w := &Watch{dir: filepath.Join("/proc", strconv.Itoa(pid)), stop: make(chan struct{})}
	w.done.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			w.sample()
			select {
			case <-ticker.C:
			case <-w.stop:
				return
			}
		}
	})
	return w
}

// Stop ends the watch and returns what the process has held at most. The error says that it couldn't be read.
func (w *Watch) Stop() (Usage, error) {
	close(w.stop)
	w.done.Wait()
	w.sample()
	peak, err := w.statusBytes("VmHWM:")
	w.usage.MemoryBytes = max(w.usage.MemoryBytes, peak)
	return w.usage, err
}

// sample takes one sample. A process that has ended holds nothing.
func (w *Watch) sample() {
	resident, err := w.statusBytes("VmRSS:")
	if err != nil {
		return
	}
	descriptors, sockets := w.descriptors()
	memory := resident + w.queuedBytes(sockets)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usage.MemoryBytes = max(w.usage.MemoryBytes, memory)
	w.usage.Descriptors = max(w.usage.Descriptors, descriptors)
}

// FieldError reports a field that is missing in a file of the process.
type FieldError struct{ File, Field string }

func (e *FieldError) Error() string { return fmt.Sprintf("%s has no field %s", e.File, e.Field) }

// statusBytes returns a field of the process's status that is given in kB.
func (w *Watch) statusBytes(field string) (int64, error) {
	file := filepath.Join(w.dir, "status")
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == field {
			kB, err := strconv.ParseInt(fields[1], 10, 64)
			return kB << 10, err
		}
	}
	return 0, &FieldError{File: file, Field: field}
}

// descriptors returns the number of open descriptors and the inodes of the sockets among them.
func (w *Watch) descriptors() (int, map[string]bool) {
	dir := filepath.Join(w.dir, "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, nil
	}
	sockets := make(map[string]bool)
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue
		}
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return len(entries), sockets
}

// Columns of the table of TCP sockets.
const (
	columnState  = 3
	columnQueues = 4
	columnInode  = 9
	// stateListening marks listeners, whose queue counts connections.
	stateListening = "0A"
)

// queuedBytes returns the bytes that were received on sockets and not read, or sent and not acknowledged.
func (w *Watch) queuedBytes(sockets map[string]bool) int64 {
	file, err := os.Open(filepath.Join(w.dir, "net", "tcp"))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	sum := int64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) <= columnInode || fields[columnState] == stateListening || !sockets[fields[columnInode]] {
			continue
		}
		for queue := range strings.SplitSeq(fields[columnQueues], ":") {
			if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return sum
}
