// Package relayer forwards TCP connections to one address, for tests that need a network which closes connections, stalls
// or loses one direction. It does not interpret the forwarded bytes.
package relayer

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a relay does with connections. It applies to open and new ones.
type Mode uint8

// The modes of a relay.
const (
	// Open forwards everything.
	Open Mode = iota
	// Closed closes all connections, including new ones once they are accepted.
	Closed
	// Stalled keeps connections open and forwards nothing.
	Stalled
	// NoReplies forwards what clients send and holds back what the target sends.
	NoReplies
)

const (
	// stallPollInterval is how often a stalled direction checks whether it may continue.
	stallPollInterval = 5 * time.Millisecond
	// bufferSize is the size in bytes of the copy buffer of each direction.
	bufferSize = 32 << 10
)

// Relay listens on a loopback address and forwards connections to its target.
type Relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// New starts a relay to target, a host:port. It fails if it cannot listen. Close stops it.
func New(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, conns: map[net.Conn]bool{}}
	r.done.Go(r.accept)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes the mode. Closed closes all open connections.
func (r *Relay) Set(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = mode
	if mode == Closed {
		r.closeAll()
	}
}

// Close stops the relay, closes its connections and waits until its goroutines have returned.
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
		if err != nil || !r.register(client, server) {
			_ = client.Close()
			continue
		}
		r.done.Go(func() { r.forward(server, client, Stalled) })
		r.done.Go(func() { r.forward(client, server, Stalled, NoReplies) })
	}
}

// register adds a pair of connections, or closes server and returns false if the mode is Closed.
func (r *Relay) register(client, server net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mode == Closed {
		_ = server.Close()
		return false
	}
	r.conns[client], r.conns[server] = true, true
	return true
}

// forward copies one direction until either end closes. It pauses while the mode is one of stallModes.
func (r *Relay) forward(to, from net.Conn, stallModes ...Mode) {
	defer r.closeConns(to, from)
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		r.awaitResume(stallModes)
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

func (r *Relay) awaitResume(stallModes []Mode) {
	for r.isIn(stallModes) {
		time.Sleep(stallPollInterval)
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

func (r *Relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(r.conns, conn)
	}
}
