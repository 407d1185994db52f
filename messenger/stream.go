package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"geraniumline/carrier"
	"geraniumline/dialer"
)

// streamBuffer is the size of each of the kernel's two buffers of a stream, in bytes. Without a size, the kernel lets them grow
// to megabytes with what an endpoint sends faster than it is read.
const streamBuffer = 128 << 10

// Stream is a connection between two entries that carries the messages of one exchange in both directions. Send and
// Receive may be called concurrently, but each by one goroutine at a time.
type Stream struct {
	m      *Messenger
	conn   net.Conn
	in     *frameReader
	out    *sealer
	buf    []byte
	closed sync.Once
}

func (m *Messenger) newStream(conn net.Conn, in, out *sealer) *Stream {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed, which the next read or write reports.
		_ = errors.Join(tcp.SetReadBuffer(streamBuffer), tcp.SetWriteBuffer(streamBuffer))
	}
	r := &countedReader{conn: conn, count: m.counters.bytesReceived}
	return &Stream{m: m, conn: conn, in: &frameReader{r: r, limit: m.cfg.MaxFrame, opener: in}, out: out}
}

// OpenStream connects to a peer. The connection is closed when ctx ends, also after OpenStream has returned.
func (m *Messenger) OpenStream(ctx context.Context, peerAddress string) (*Stream, error) {
	if err := m.cfg.checkKeys(); err != nil {
		return nil, err
	}
	conn, err := dialer.New(m.cfg.DialTimeout, m.cfg.SilenceTimeout).DialContext(ctx, "tcp", peerAddress)
	if err != nil {
		return nil, err
	}
	if !m.track(conn) {
		return nil, net.ErrClosed
	}
	stop := context.AfterFunc(ctx, func() { m.untrack(conn) })
	authenticated, err := m.authenticate(conn, (*handshake).dial, m.cfg.DialTimeout)
	if err != nil {
		stop()
		m.untrack(conn)
		return nil, err
	}
	return m.newStream(conn, authenticated.replies, authenticated.frames), nil
}

// serveStream serves a stream that a peer has opened with a call.
func (m *Messenger) serveStream(conn net.Conn, authenticated session, call *carrier.RelayCall) {
	defer m.streams.Add(-1)
	s := m.newStream(conn, authenticated.frames, authenticated.replies)
	if m.streams.Add(1) > int64(m.cfg.MaxStreams) || m.cfg.StreamHandler == nil {
		m.refuse(conn, &HandshakeError{Reason: "no stream is accepted"})
		// The peer takes a call without a reply for one that may have run.
		if err := s.Send(&carrier.RelayFailure{Reason: carrier.RelayNoRoom}); err != nil {
			m.cfg.Log.Debug("refusal of a stream not sent", zap.Error(err))
		}
		return
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	m.cfg.StreamHandler(authenticated.peer, call, s)
}

// Send sends messages in a single write.
func (s *Stream) Send(messages ...carrier.Message) error {
	s.buf = s.buf[:0]
	for _, msg := range messages {
		body, err := msg.MarshalMsg(nil)
		if err != nil {
			return err
		}
		if size := kindSize + len(body) + tagSize; size > s.m.cfg.MaxFrame {
			return &FrameSizeError{Length: size, Limit: s.m.cfg.MaxFrame}
		}
		s.buf = appendFrame(s.buf, msg.Kind(), body, s.out)
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.m.cfg.WriteTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(s.buf)
	s.m.counters.bytesSent.Inc(int64(n))
	if cap(s.buf) > maxReusedBuffer {
		s.buf = nil
	}
	return err
}

// Receive returns the next message. It returns io.EOF if the peer has closed the stream between two messages.
func (s *Stream) Receive() (carrier.Message, error) {
	msg, err := s.in.next()
	if err != nil {
		s.m.countBadFrame(err)
	}
	return msg, err
}

// Close closes the connection.
func (s *Stream) Close() error {
	s.closed.Do(func() { s.m.untrack(s.conn) })
	return nil
}
