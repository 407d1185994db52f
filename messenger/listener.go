package messenger

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
)

const (
	// acceptPause is the wait after a failed accept, for example when the process is out of file descriptors.
	acceptPause = 50 * time.Millisecond
	// handshakePatience is how long an accepted connection may take to authenticate before another one may evict it. An
	// honest peer takes milliseconds, or more if this entry is busy with the handshakes of others.
	handshakePatience = 100 * time.Millisecond
	// crowdedPause is the wait between checks whether a connection may be accepted again.
	crowdedPause = 2 * time.Millisecond
	// refusalLogInterval is the time without refusals after which the next refusal is logged.
	refusalLogInterval = time.Minute
	// listenerPatience is how many idle timeouts a listener waits, so that the sender closes an idle connection first
	// and loses no message that it sends meanwhile.
	listenerPatience = 2
)

// Serve accepts peers until ctx is done or the messenger is closed, and then returns nil. It returns a KeyError if a
// shared key is too short.
func (m *Messenger) Serve(ctx context.Context) error {
	if err := m.cfg.checkKeys(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = m.cfg.Listen.Close() })
	defer stop()
	for {
		// While a large fleet starts, hundreds of honest peers connect at once. They wait in the kernel's queue.
		for m.pending.crowded(handshakePatience, time.Now()) {
			if !sleep(m.ctx, crowdedPause) {
				return nil
			}
		}
		conn, err := m.cfg.Listen.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.counters.acceptFailures.Inc(1)
			if !sleep(m.ctx, acceptPause) {
				return nil
			}
			continue
		}
		m.admit(conn)
	}
}

// admit starts the handshake of an accepted connection. Idle connections must not keep out honest peers, whose
// handshake takes milliseconds: if there are too many unauthenticated connections, the oldest is closed.
func (m *Messenger) admit(conn net.Conn) {
	if !m.track(conn) {
		return
	}
	if oldest := m.pending.add(conn, time.Now()); oldest != nil {
		m.counters.evicted.Inc(1)
		m.untrack(oldest)
	}
	m.spawn(func() {
		defer m.untrack(conn)
		m.receive(conn)
	})
}

// receive reads one peer's frames until the connection ends.
func (m *Messenger) receive(conn net.Conn) {
	authenticated, err := m.authenticate(conn, (*handshake).accept, m.cfg.HandshakeTimeout)
	m.pending.remove(conn)
	if err != nil {
		m.refuse(conn, err)
		return
	}
	name := authenticated.peer
	r := &timedReader{conn: conn, timeout: listenerPatience * m.cfg.IdleTimeout, count: m.counters.bytesReceived}
	frames := &frameReader{r: r, limit: m.cfg.MaxFrame, opener: authenticated.frames}
	msg, err := frames.next()
	if err != nil {
		m.countBadFrame(err)
		return
	}
	if call, ok := msg.(*carrier.RelayCall); ok {
		m.serveStream(conn, authenticated, call)
		return
	}
	if !m.register(name, conn) {
		m.refuse(conn, &HandshakeError{Reason: "too many peers"})
		return
	}
	defer m.unregister(name, conn)
	for {
		m.counters.received.Inc(1)
		m.cfg.Handler(name, msg)
		if msg, err = frames.next(); err != nil {
			m.countBadFrame(err)
			return
		}
	}
}

// refuse counts a refused peer, and logs it if none was refused for refusalLogInterval.
func (m *Messenger) refuse(conn net.Conn, err error) {
	m.counters.refused.Inc(1)
	now := time.Now()
	m.mu.Lock()
	shouldLog := now.Sub(m.refusedAt) > refusalLogInterval
	m.refusedAt = now
	m.mu.Unlock()
	if shouldLog {
		m.cfg.Log.Warn("refused peer connection", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
	}
}

// countBadFrame counts err if it was caused by an invalid frame.
func (m *Messenger) countBadFrame(err error) {
	var size *FrameSizeError
	var tag *TagError
	var body *DecodeError
	if errors.As(err, &size) || errors.As(err, &tag) || errors.As(err, &body) {
		m.counters.badFrames.Inc(1)
	}
}
