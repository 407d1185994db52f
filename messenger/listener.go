package messenger

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptPause is the wait after an accept that failed, as when the process is out of file descriptors.
	acceptPause = 50 * time.Millisecond
	// refusalQuiet is how long no peer was refused before the next refusal is logged again.
	refusalQuiet = time.Minute
)

// Serve accepts peers until the context ends or the messenger is closed.
func (m *Messenger) Serve(ctx context.Context) error {
	if err := m.cfg.checkKeys(); err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = m.cfg.Listen.Close() })
	defer stop()
	for {
		conn, err := m.cfg.Listen.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.counts.acceptFailures.Inc(1)
			if !sleep(m.ctx, acceptPause) {
				return nil
			}
			continue
		}
		m.admit(conn)
	}
}

// admit starts the handshake of an accepted connection. Connections that only wait would use up the places of
// honest peers, who take milliseconds: when the places are full, the one that has waited longest is closed.
func (m *Messenger) admit(conn net.Conn) {
	if !m.track(conn) {
		return
	}
	if oldest := m.pending.add(conn); oldest != nil {
		m.counts.evicted.Inc(1)
		m.untrack(oldest)
	}
	m.spawn(func() {
		defer m.untrack(conn)
		m.receive(conn)
	})
}

// receive reads one peer's frames until the connection ends.
func (m *Messenger) receive(conn net.Conn) {
	name, opener, err := m.prove(conn, (*handshake).accept)
	m.pending.remove(conn)
	if err != nil {
		m.refuse(conn, err)
		return
	}
	if !m.enter(name, conn) {
		m.refuse(conn, &HandshakeError{Reason: "too many peers"})
		return
	}
	defer m.leave(name, conn)
	r := &timedReader{conn: conn, timeout: m.cfg.IdleTimeout, count: m.counts.bytesReceived}
	frames := &frameReader{r: r, limit: m.cfg.MaxFrame, opener: opener}
	for {
		msg, err := frames.next()
		if err != nil {
			m.countEnd(err)
			return
		}
		m.counts.received.Inc(1)
		m.cfg.Handler(name, msg)
	}
}

// refuse counts a peer that was turned away, and logs it if none was for a while.
func (m *Messenger) refuse(conn net.Conn, err error) {
	m.counts.refused.Inc(1)
	now := time.Now()
	m.mu.Lock()
	quiet := now.Sub(m.refusedAt) > refusalQuiet
	m.refusedAt = now
	m.mu.Unlock()
	if quiet {
		m.cfg.Log.Warn("peers are refused", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
	}
}

func (m *Messenger) countEnd(err error) {
	var size *FrameSizeError
	var tag *TagError
	var body *DecodeError
	if errors.As(err, &size) || errors.As(err, &tag) || errors.As(err, &body) {
		m.counts.badFrames.Inc(1)
	}
}
