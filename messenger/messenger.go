// Package messenger carries messages between entries over TCP.
//
// Each direction between two entries has its own connection, opened by the sender. Both ends prove that they
// know the system's shared key before anything else is read, and each frame after that has a tag.
// docs/dev/PEERS.md tells why.
package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"geraniumline/carrier"
)

// flushPoll is how often Flush looks whether all queues are empty.
const flushPoll = 5 * time.Millisecond

// Messenger sends messages to peers and receives theirs.
type Messenger struct {
	cfg     Config
	counts  counts
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	pending *pending

	mu        sync.Mutex
	closed    bool
	senders   map[string]*sender
	conns     map[net.Conn]struct{}
	inbound   map[string]net.Conn
	refusedAt time.Time
}

// New makes a Messenger. It can send at once; Serve accepts peers.
func New(cfg Config) *Messenger {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		cfg:     cfg,
		counts:  newCounts(cfg.Registry),
		ctx:     ctx,
		cancel:  cancel,
		pending: &pending{limit: cfg.MaxPending},
		senders: make(map[string]*sender),
		conns:   make(map[net.Conn]struct{}),
		inbound: make(map[string]net.Conn),
	}
}

// Send gives a message to the peer's queue and never waits. What finds no room is dropped and counted.
// The message must not be changed afterwards.
func (m *Messenger) Send(peerAddress string, msg carrier.Message) {
	if hb, ok := msg.(*carrier.Heartbeat); ok {
		m.sendHeartbeat(peerAddress, hb)
		return
	}
	body, err := msg.MarshalMsg(nil)
	if err != nil || kindSize+len(body)+tagSize > m.cfg.MaxFrame {
		m.counts.dropped.Inc(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sender(peerAddress)
	if s == nil || !s.queue.put(item{kind: msg.Kind(), body: body}) {
		m.counts.dropped.Inc(1)
	}
}

func (m *Messenger) sendHeartbeat(peerAddress string, hb *carrier.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sender(peerAddress)
	if s == nil {
		m.counts.dropped.Inc(1)
		return
	}
	if s.queue.putHeartbeat(hb) {
		m.counts.replaced.Inc(1)
	}
}

// sender gives the address's sender, started if needed; nil if there may not be one. The caller holds mu.
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

// retire forgets an idle sender. It tells false if a message came meanwhile.
func (m *Messenger) retire(s *sender) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !s.queue.empty() {
		return false
	}
	delete(m.senders, s.address)
	return true
}

// Flush waits until all queues are empty or the context ends.
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

// Close ends all connections and waits for their goroutines. Call Flush first to have queued messages sent.
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

// spawn runs f in a goroutine that Close waits for; not after Close, which has ended f's connection.
func (m *Messenger) spawn(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.group.Go(f)
	}
}

// track notes a connection that Close has to end. It closes the connection and tells false after Close.
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

// prove runs one side of the handshake within its time limit.
func (m *Messenger) prove(conn net.Conn, side func(*handshake) (string, *sealer, error)) (string, *sealer, error) {
	if err := conn.SetDeadline(time.Now().Add(m.cfg.HandshakeTimeout)); err != nil {
		return "", nil, err
	}
	h := newHandshake(conn, m.cfg.Key, m.cfg.Name)
	h.others = m.cfg.OtherKeys
	name, s, err := side(h)
	if err != nil {
		return "", nil, err
	}
	return name, s, conn.SetDeadline(time.Time{})
}

// enter makes conn the one connection of the peer; an older one of the same name is closed.
func (m *Messenger) enter(name string, conn net.Conn) bool {
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

func (m *Messenger) leave(name string, conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inbound[name] == conn {
		delete(m.inbound, name)
	}
}
