package assembler

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections tracks caller connections that wait for their next request. Their idle timeout is part of the
// configuration and changes with it, which http.Server.IdleTimeout does not support.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: make(map[net.Conn]time.Time)}
}

// track records a state change of a connection.
func (i *idleConnections) track(c net.Conn, state http.ConnState, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		i.since[c] = now
		return
	}
	delete(i.since, c)
}

// closeExpired closes the connections that have been idle for longer than limit, and returns their number.
func (i *idleConnections) closeExpired(now time.Time, limit time.Duration) (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			// An error means that the connection is closed already.
			_ = c.Close()
			n++
		}
	}
	return n
}
