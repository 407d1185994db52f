package guarder

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleState records since when a connection has waited for a request. The connection itself decides whether it is idle, by what
// it has read: net/http takes it for idle until the whole head of a request has been parsed, and a connection that is closed in
// between would have its request served and its response lost.
type idleState struct {
	mu    sync.Mutex
	idle  bool
	since time.Time
	// expired is set once the connection was taken for idle for too long. Nothing that arrives later is read.
	expired bool
}

// rest records that the connection waits for a request from now on.
func (s *idleState) rest(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle, s.since = true, now
}

// wake records that something has arrived. It returns false if the connection has expired.
func (s *idleState) wake() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = false
	return !s.expired
}

// expire reports whether the connection has been idle for longer than limit, and makes it expire if so.
func (s *idleState) expire(limit time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.idle || now.Sub(s.since) <= limit {
		return false
	}
	s.idle, s.expired = false, true
	return true
}

// CloseIdle closes the connections that have waited for a request for longer than limit, and returns their number. A request
// that has begun to arrive is served.
func (a *Admission) CloseIdle(limit time.Duration, now time.Time) int {
	var expired []*heldConn
	a.mu.Lock()
	for _, h := range a.holds {
		if h.conn != nil && h.conn.idle.expire(limit, now) {
			expired = append(expired, h.conn)
		}
	}
	a.mu.Unlock()
	for _, c := range expired {
		// An error means that the connection is closed already.
		_ = c.Close()
	}
	return len(expired)
}

// AdmissionState records when a connection becomes idle. Use it as http.Server.ConnState.
func AdmissionState(c net.Conn, state http.ConnState) {
	if h := holdOfConn(c); h != nil && state == http.StateIdle {
		now := time.Now()
		h.becomeIdle(now)
		h.conn.idle.rest(now)
	}
}
