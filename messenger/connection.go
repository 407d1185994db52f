package messenger

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// timedReader sets a new deadline for each read of a connection and counts the bytes.
type timedReader struct {
	conn    net.Conn
	timeout time.Duration
	count   metrics.Counter
}

func (r *timedReader) Read(p []byte) (int, error) {
	if err := r.conn.SetReadDeadline(time.Now().Add(r.timeout)); err != nil {
		return 0, err
	}
	n, err := r.conn.Read(p)
	r.count.Inc(int64(n))
	return n, err
}

// countedReader counts the bytes that are read from a connection.
type countedReader struct {
	conn  net.Conn
	count metrics.Counter
}

func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	r.count.Inc(int64(n))
	return n, err
}

// pendingConn is an accepted connection that is not authenticated yet.
type pendingConn struct {
	conn       net.Conn
	acceptedAt time.Time
}

// pendingConns holds the pending connections, oldest first.
type pendingConns struct {
	mu    sync.Mutex
	limit int
	conns []pendingConn
}

// add stores conn. If there are more connections than limit, it removes and returns the oldest.
func (p *pendingConns) add(conn net.Conn, now time.Time) net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, pendingConn{conn: conn, acceptedAt: now})
	if len(p.conns) <= p.limit {
		return nil
	}
	oldest := p.conns[0].conn
	p.conns = slices.Delete(p.conns, 0, 1)
	return oldest
}

func (p *pendingConns) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.IndexFunc(p.conns, func(c pendingConn) bool { return c.conn == conn }); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
}

// crowded reports whether one more connection would evict one that was accepted less than patience ago.
func (p *pendingConns) crowded(patience time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) >= p.limit && now.Sub(p.conns[0].acceptedAt) < patience
}
