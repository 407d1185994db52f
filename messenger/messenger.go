// Package messenger carries messages between entries over TCP.
//
// Each direction between two entries has its own connection, opened by the sender. Both ends prove that they know the
// system's shared key before anything else is read, and each later frame carries an authentication tag.
// docs/dev/PEERS.md explains the design.
package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"geraniumline/carrier"
)

// flushPoll is the interval at which Flush checks whether all queues are empty.
const flushPoll = 5 * time.Millisecond

// Messenger sends messages to peers and receives messages from them.
type Messenger struct {
	cfg      Config
	counters counters
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	pending  *pendingConns
	// streams is the number of streams that peers have open.
	streams atomic.Int64

	mu        sync.Mutex
	closed    bool
	senders   map[string]*sender
	conns     map[net.Conn]struct{}
	inbound   map[string]net.Conn
	refusedAt time.Time

	heartbeat encodedHeartbeat
}

// encodedHeartbeat is the newest heartbeat and its encoding, which all its receivers share.
type encodedHeartbeat struct {
	mu      sync.Mutex
	message *carrier.Heartbeat
	body    []byte
}

// encode returns the encoding of a heartbeat. It must not be changed.
func (e *encodedHeartbeat) encode(hb *carrier.Heartbeat) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.message == hb {
		return e.body, nil
	}
	body, err := hb.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	e.message, e.body = hb, body
	return body, nil
}

// New returns a Messenger that can send at once. Call Serve to accept peers.
func New(cfg Config) *Messenger {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		cfg:      cfg,
		counters: newCounters(cfg.Registry),
		ctx:      ctx,
		cancel:   cancel,
		pending:  &pendingConns{limit: cfg.MaxPending},
		senders:  make(map[string]*sender),
		conns:    make(map[net.Conn]struct{}),
		inbound:  make(map[string]net.Conn),
	}
}

// Send queues a message for the peer and never blocks. Messages that don't fit in are dropped and counted.
// The message must not be changed afterwards.
func (m *Messenger) Send(peerAddress string, msg carrier.Message) {
	if hb, ok := msg.(*carrier.Heartbeat); ok {
		m.sendHeartbeat(peerAddress, hb)
		return
	}
	body, err := msg.MarshalMsg(nil)
	if err != nil || kindSize+len(body)+tagSize > m.cfg.MaxFrame {
		m.counters.dropped.Inc(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sender(peerAddress)
	if s == nil || !s.queue.put(item{kind: msg.Kind(), body: body}) {
		m.counters.dropped.Inc(1)
	}
}

func (m *Messenger) sendHeartbeat(peerAddress string, hb *carrier.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sender(peerAddress)
	if s == nil {
		m.counters.dropped.Inc(1)
		return
	}
	if s.queue.putHeartbeat(hb) {
		m.counters.replaced.Inc(1)
	}
}

// sender returns the address's sender and starts it if needed. It returns nil if the messenger is closed, has MaxPeers
// senders, or has a key that is too short. The caller holds mu.
func (m *Messenger) sender(address string) *sender {
	if s, ok := m.senders[address]; ok {
		return s
	}
	if m.closed || len(m.senders) >= m.cfg.MaxPeers || m.cfg.checkKeys() != nil {
		return nil
	}
	s := &sender{m: m, address: address, queue: newQueue(m.cfg.MaxQueue)}
	m.senders[address] = s
	m.group.Go(func() { s.run(m.ctx) })
	return s
}

// retire removes an idle sender. It returns false if a message was queued in the meantime.
func (m *Messenger) retire(s *sender) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.queue.empty() {
		return false
	}
	delete(m.senders, s.address)
	return true
}

// Flush waits until all queues are empty. It returns ctx.Err() if ctx is done before that.
func (m *Messenger) Flush(ctx context.Context) error {
	for !m.idle() {
		if !sleep(ctx, flushPoll) {
			return ctx.Err()
		}
	}
	return nil
}

func (m *Messenger) idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.senders {
		if !s.queue.empty() {
			return false
		}
	}
	return true
}

// Close closes the listener and all connections and waits for their goroutines. Call Flush first to send queued
// messages.
func (m *Messenger) Close() error {
	m.cancel()
	err := m.cfg.Listen.Close()
	m.mu.Lock()
	m.closed = true
	for conn := range m.conns {
		_ = conn.Close()
	}
	m.mu.Unlock()
	m.group.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// spawn runs f in a goroutine that Close waits for. After Close it does nothing, since f's connection is closed.
func (m *Messenger) spawn(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.group.Go(f)
	}
}

// track registers a connection for Close to close. After Close it closes the connection and returns false.
func (m *Messenger) track(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = conn.Close()
		return false
	}
	m.conns[conn] = struct{}{}
	return true
}

func (m *Messenger) untrack(conn net.Conn) {
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

// session is an authenticated connection.
type session struct {
	// peer is the name of the entry at the other end.
	peer string
	// frames is the sealer for frames from the dialer, replies that for frames from the listener.
	frames, replies *sealer
}

// authenticate runs one side of the handshake within timeout.
func (m *Messenger) authenticate(conn net.Conn, side func(*handshake) (string, *sealer, error), timeout time.Duration) (session, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return session{}, err
	}
	h := newHandshake(conn, m.cfg.Key, m.cfg.Name)
	h.otherKeys = m.cfg.OtherKeys
	name, s, err := side(h)
	if err != nil {
		return session{}, err
	}
	return session{peer: name, frames: s, replies: h.replies}, conn.SetDeadline(time.Time{})
}

// register makes conn the peer's only inbound connection and closes an older one of the same name. It returns false if
// there are MaxConnections peers already.
func (m *Messenger) register(name string, conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, ok := m.inbound[name]
	if !ok && len(m.inbound) >= m.cfg.MaxConnections {
		return false
	}
	if ok {
		_ = old.Close()
	}
	m.inbound[name] = conn
	return true
}

func (m *Messenger) unregister(name string, conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbound[name] == conn {
		delete(m.inbound, name)
	}
}
