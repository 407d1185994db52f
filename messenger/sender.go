package messenger

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"geraniumline/dialer"
)

// socketBuffer is the size of the kernel's send buffer, in bytes. It is small so that a peer that was frozen receives
// few outdated messages when it resumes.
const socketBuffer = 64 << 10

// sender sends messages to one peer address over a connection that it opens on demand.
type sender struct {
	m       *Messenger
	address string
	queue   *queue
	conn    net.Conn
	sealer  *sealer
	// lost is closed when the peer closes conn; it is nil without a connection.
	lost chan struct{}
	// reached is the result of the last connection attempt, so that only changes are logged. It is valid if tried is set.
	reached bool
	tried   bool
	backoff time.Duration
	// notBefore is the earliest time of the next connection attempt.
	notBefore time.Time
	buf       []byte
}

// run sends queued messages until ctx is done or no message was queued for IdleTimeout.
func (s *sender) run(ctx context.Context) {
	defer s.disconnect()
	for {
		idle := time.NewTimer(s.m.cfg.IdleTimeout)
		select {
		case <-ctx.Done():
			idle.Stop()
			return
		case <-s.lost:
			s.disconnect()
		case <-s.queue.wake:
			s.sendQueued(ctx)
		case <-idle.C:
			if s.m.retire(s) {
				return
			}
		}
		idle.Stop()
	}
}

// sendQueued connects if needed and sends all queued messages.
func (s *sender) sendQueued(ctx context.Context) {
	if s.queue.empty() {
		return
	}
	if s.conn == nil && !s.connect(ctx) {
		return
	}
	hb, items := s.queue.take()
	defer s.queue.done()
	if hb != nil {
		if body, err := s.m.heartbeat.encode(hb); err == nil {
			items = append([]item{{kind: hb.Kind(), body: body}}, items...)
		}
	}
	if err := s.write(items); err != nil {
		s.m.counters.lost.Inc(int64(len(items)))
		s.disconnect()
	}
}

// write sends all items in a single write: on small VMs a system call costs more than a frame.
func (s *sender) write(items []item) error {
	s.buf = s.buf[:0]
	sent := 0
	for _, it := range items {
		if kindSize+len(it.body)+tagSize > s.m.cfg.MaxFrame {
			s.m.counters.dropped.Inc(1)
			continue
		}
		s.buf = appendFrame(s.buf, it.kind, it.body, s.sealer)
		sent++
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.m.cfg.WriteTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(s.buf)
	s.m.counters.bytesSent.Inc(int64(n))
	if err != nil {
		return err
	}
	s.m.counters.sent.Inc(int64(sent))
	if cap(s.buf) > maxReusedBuffer {
		s.buf = nil
	}
	return nil
}

// connect waits for the backoff and attempts one connection. If it fails, the queued messages are dropped: callers of
// an unreachable peer have their own timeouts, and a late message is of no use to them.
func (s *sender) connect(ctx context.Context) bool {
	if !sleep(ctx, time.Until(s.notBefore)) {
		return false
	}
	peer, err := s.tryConnect(ctx)
	s.logReachability(peer, err)
	if err != nil {
		s.delayReconnect()
		s.dropQueued()
		return false
	}
	s.backoff = 0
	return true
}

func (s *sender) tryConnect(ctx context.Context) (string, error) {
	d := dialer.New(s.m.cfg.DialTimeout, s.m.cfg.SilenceTimeout)
	conn, err := d.DialContext(ctx, "tcp", s.address)
	if errors.Is(err, syscall.ECONNREFUSED) && s.m.cfg.OnRefused != nil {
		s.m.cfg.OnRefused(s.address)
	}
	if err != nil {
		return "", err
	}
	if !s.m.track(conn) {
		return "", net.ErrClosed
	}
	authenticated, err := s.m.authenticate(conn, (*handshake).dial, s.m.cfg.HandshakeTimeout)
	if err != nil {
		s.m.untrack(conn)
		return "", err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBuffer)
	}
	s.conn, s.sealer = conn, authenticated.frames
	s.lost = make(chan struct{})
	lost := s.lost
	s.m.group.Go(func() { watch(conn, lost) })
	return authenticated.peer, nil
}

// watch closes lost when the peer closes the connection. The listener sends nothing after the handshake, so
// any read that returns means the end.
func watch(conn net.Conn, lost chan<- struct{}) {
	defer close(lost)
	var b [1]byte
	_, _ = conn.Read(b[:])
}

func (s *sender) disconnect() {
	if s.conn == nil {
		return
	}
	s.m.untrack(s.conn)
	s.conn, s.sealer, s.lost = nil, nil, nil
	s.delayReconnect()
}

// delayReconnect doubles the backoff and sets the time of the next attempt, with jitter so that peers don't reconnect
// at the same time.
func (s *sender) delayReconnect() {
	s.backoff = min(max(s.backoff*2, s.m.cfg.BackoffMin), s.m.cfg.BackoffMax)
	jitter := rand.N(s.backoff/2 + 1)
	s.notBefore = time.Now().Add(s.backoff - jitter)
}

// dropQueued drops all queued messages and counts them as lost.
func (s *sender) dropQueued() {
	hb, items := s.queue.take()
	n := int64(len(items))
	if hb != nil {
		n++
	}
	s.m.counters.lost.Inc(n)
	s.queue.done()
}

// logReachability logs when the peer becomes reachable or unreachable.
func (s *sender) logReachability(peer string, err error) {
	reached := err == nil
	if s.tried && s.reached == reached {
		return
	}
	s.tried, s.reached = true, reached
	if reached {
		s.m.cfg.Log.Info("connected to peer", zap.String("peer", peer), zap.String("address", s.address))
		return
	}
	s.m.cfg.Log.Warn("cannot connect to peer", zap.String("address", s.address), zap.Error(err))
}

// sleep waits for d. It returns false if ctx is done before that.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
