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

// socketBuffer bounds what the kernel holds for a peer that doesn't read, so that a peer which was frozen
// finds little old news when it wakes.
const socketBuffer = 64 << 10

// sender writes to one peer address over a connection that it opens when there is something to send.
type sender struct {
	m       *Messenger
	address string
	queue   *queue
	conn    net.Conn
	sealer  *sealer
	// lost is closed when the peer ends conn; nil while there is none.
	lost chan struct{}
	// reached tells whether the last try to connect succeeded, so that only changes are logged.
	reached bool
	tried   bool
	backoff time.Duration
	// notBefore is the earliest time of the next try to connect.
	notBefore time.Time
	buf       []byte
}

// run sends until the context ends or nothing was given to the sender for the idle time.
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
			s.work(ctx)
		case <-idle.C:
			if s.m.retire(s) {
				return
			}
		}
		idle.Stop()
	}
}

// work sends what waits.
func (s *sender) work(ctx context.Context) {
	if s.queue.empty() {
		return
	}
	if s.conn == nil && !s.connect(ctx) {
		return
	}
	hb, items := s.queue.take()
	defer s.queue.done()
	if hb != nil {
		if body, err := hb.MarshalMsg(nil); err == nil {
			items = append([]item{{kind: hb.Kind(), body: body}}, items...)
		}
	}
	if err := s.write(items); err != nil {
		s.m.counts.lost.Inc(int64(len(items)))
		s.disconnect()
	}
}

// write sends all items in one write: on small VMs the system call costs more than the frame.
func (s *sender) write(items []item) error {
	s.buf = s.buf[:0]
	sent := 0
	for _, it := range items {
		if kindSize+len(it.body)+tagSize > s.m.cfg.MaxFrame {
			s.m.counts.dropped.Inc(1)
			continue
		}
		s.buf = appendFrame(s.buf, it.kind, it.body, s.sealer)
		sent++
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.m.cfg.WriteTimeout)); err != nil {
		return err
	}
	n, err := s.conn.Write(s.buf)
	s.m.counts.bytesSent.Inc(int64(n))
	if err != nil {
		return err
	}
	s.m.counts.sent.Inc(int64(sent))
	if cap(s.buf) > keptBuffer {
		s.buf = nil
	}
	return nil
}

// connect waits for the backoff and tries once. If it fails, what waits is dropped: the callers of a peer that
// can't be reached have their own timeouts, and a late call is of no use to them.
func (s *sender) connect(ctx context.Context) bool {
	if !sleep(ctx, time.Until(s.notBefore)) {
		return false
	}
	peer, err := s.tryConnect(ctx)
	s.report(peer, err)
	if err != nil {
		s.delay()
		s.drop()
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
	peer, seal, err := s.m.prove(conn, (*handshake).dial)
	if err != nil {
		s.m.untrack(conn)
		return "", err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(socketBuffer)
	}
	s.conn, s.sealer = conn, seal
	s.lost = make(chan struct{})
	lost := s.lost
	s.m.group.Go(func() { watch(conn, lost) })
	return peer, nil
}

// watch ends when the peer ends the connection. The listener never sends after the handshake, so any read ends it.
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
	s.delay()
}

// delay sets when the next try may start: doubling, with a random part so that peers don't come back together.
func (s *sender) delay() {
	s.backoff = min(max(s.backoff*2, s.m.cfg.BackoffMin), s.m.cfg.BackoffMax)
	jitter := rand.N(s.backoff/2 + 1)
	s.notBefore = time.Now().Add(s.backoff - jitter)
}

func (s *sender) drop() {
	hb, items := s.queue.take()
	n := int64(len(items))
	if hb != nil {
		n++
	}
	s.m.counts.lost.Inc(n)
	s.queue.done()
}

// report logs a change between a peer that can be reached and one that can't.
func (s *sender) report(peer string, err error) {
	reached := err == nil
	if s.tried && s.reached == reached {
		return
	}
	s.tried, s.reached = true, reached
	if reached {
		s.m.cfg.Log.Info("peer reached", zap.String("peer", peer), zap.String("address", s.address))
		return
	}
	s.m.cfg.Log.Warn("peer can't be reached", zap.String("address", s.address), zap.Error(err))
}

// sleep waits, and tells whether the context still runs.
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
