// Package guarder opens the listening sockets: it bounds their connections, headers, bodies and waiting
// times, serves TLS with certificates that may change, and throttles wrong credentials.
package guarder

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/rcrowley/go-metrics"

	"geraniumline/meter"
)

// ListenError tells that an address from the settings can't be listened on.
type ListenError struct {
	// Field names the setting, such as callerAddress.
	Field   string
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	if errors.Is(e.Err, syscall.EADDRINUSE) {
		return fmt.Sprintf("%s: the port of %s is in use by another process", e.Field, e.Address)
	}
	if errors.Is(e.Err, syscall.EADDRNOTAVAIL) {
		return fmt.Sprintf("%s: %s is no address of this VM", e.Field, e.Address)
	}
	return fmt.Sprintf("%s: can't listen on %s: %v", e.Field, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// ListenConfig says what to listen on and how many connections to hold.
type ListenConfig struct {
	// Field names the setting that gave the address, for errors.
	Field string
	// Socket labels the metrics: caller, operator or peer.
	Socket string
	// Address is an IP and a port.
	Address string
	// MaxConnections bounds the open connections; 0 takes defaultMaxConnections.
	MaxConnections int
	// Meter counts open and refused connections.
	Meter *meter.Meter
}

// defaultMaxConnections bounds a socket whose settings give no bound.
const defaultMaxConnections = 4096

// Listen opens a TCP socket that holds at most MaxConnections connections, and of those at most half
// from one remote address.
//
// Past the bound a connection is accepted and closed at once. Left in the kernel's queue instead, it
// would look to the caller like an entry that hangs; closed, the caller tries its next address. The
// bound by address keeps one host's flood from shutting out all others.
func Listen(cfg ListenConfig) (net.Listener, error) {
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	address, err := netip.ParseAddrPort(cfg.Address)
	if err != nil {
		return nil, &ListenError{Field: cfg.Field, Address: cfg.Address, Err: err}
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, &ListenError{Field: cfg.Field, Address: cfg.Address, Err: err}
	}
	return &boundedListener{
		TCPListener: listener,

		quota:   newQuota(int64(cfg.MaxConnections)),
		open:    cfg.Meter.Gauge(meter.ConnectionsOpen, cfg.Socket),
		refused: cfg.Meter.Counter(meter.ConnectionsRefused, cfg.Socket),
	}, nil
}

// boundedListener counts the connections that it has given out.
type boundedListener struct {
	*net.TCPListener
	quota   *quota
	open    metrics.Gauge
	refused metrics.Counter
}

// Accept waits for the next connection within the bounds.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		address := remoteAddress(conn)
		if l.take(address) {
			return &countedConn{TCPConn: conn, release: func() { l.release(address) }}, nil
		}
		l.refused.Inc(1)
		_ = conn.Close() // nothing was said on it
	}
}

func (l *boundedListener) take(address netip.Addr) bool {
	if !l.quota.take(address, 1) {
		return false
	}
	l.open.Update(l.quota.taken())
	return true
}

func (l *boundedListener) release(address netip.Addr) {
	l.quota.give(address, 1)
	l.open.Update(l.quota.taken())
}

// countedConn gives its place back when it is closed.
//
// It embeds a TCP connection rather than a net.Conn for its CloseWrite: without that, net/http closes
// at once after an early refusal, the kernel resets the connection because of what was not read, and
// the caller sees a reset in place of the answer.
type countedConn struct {
	*net.TCPConn
	once    sync.Once
	release func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.TCPConn.Close()
}

func remoteAddress(conn net.Conn) netip.Addr {
	return parseAddress(conn.RemoteAddr().String())
}

// parseAddress takes the IP out of an IP and port. A text of another form gives the zero Addr.
func parseAddress(text string) netip.Addr {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
