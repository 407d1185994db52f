package assembler

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections are callers' connections that wait for their next request. The time that they may wait is part of
// the configuration and changes with it, which http.Server's own bound can't.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: make(map[net.Conn]time.Time)}
}

// note takes a change of a connection's state.
func (i *idleConnections) note(c net.Conn, state http.ConnState, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		i.since[c] = now
		return
	}
	delete(i.since, c)
}

// close closes the connections that have waited for longer than limit.
func (i *idleConnections) close(now time.Time, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			// An error means that it is closed already.
			_ = c.Close()
		}
	}
}
