// Package relayer passes TCP connections on to one address, for proofs that need a network which closes, stalls or
// loses one direction. It knows nothing of what it passes on.
package relayer

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode says what becomes of the bytes. It holds for open and for new connections.
type Mode uint8

// The modes of a relay.
const (
	// Open passes everything on.
	Open Mode = iota
	// Closed ends all connections and refuses new ones by closing them at once.
	Closed
	// Stalled keeps connections open and passes nothing on.
	Stalled
	// NoReplies passes on what clients send and keeps back what they are sent.
	NoReplies
)

const (
	// stallPoll is how often a stalled direction looks whether it may go on.
	stallPoll = 5 * time.Millisecond
	chunk     = 32 << 10
)

// Relay listens on one loopback address and passes connections on to another.
type Relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// New makes a relay to a target, host:port, and starts it. Close ends it.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, conns: map[net.Conn]bool{}}
	r.done.Go(r.accept)
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the mode.
func (r *Relay) Set(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	if mode == Closed {
		r.closeAll()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.Set(Closed)
	r.done.Wait()
	return err
}

func (r *Relay) closeAll() {
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil || !r.keep(client, server) {
			_ = client.Close()
			continue
		}
		r.done.Go(func() { r.pass(server, client, Stalled) })
		r.done.Go(func() { r.pass(client, server, Stalled, NoReplies) })
	}
}

// keep notes a pair of connections, unless the relay is closed.
func (r *Relay) keep(client, server net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Closed {
		_ = server.Close()
		return false
	}
	r.conns[client], r.conns[server] = true, true
	return true
}

// pass copies one direction until an end closes, and waits while a mode holds it back.
func (r *Relay) pass(to, from net.Conn, held ...Mode) {
	defer r.drop(to, from)
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		r.await(held)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil && !errors.Is(err, io.ErrNoProgress) {
			return
		}
	}
}

func (r *Relay) await(held []Mode) {
	for r.isIn(held) {
		time.Sleep(stallPoll)
	}
}

func (r *Relay) isIn(modes []Mode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, mode := range modes {
		if r.mode == mode {
			return true
		}
	}
	return false
}

func (r *Relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}
