// Package guarder opens the listening sockets. It limits their connections, header and body sizes and idle
// times, serves TLS with certificates that are reloaded when they change, and throttles wrong credentials.
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

// ListenError reports an address in the settings that can't be listened on.
type ListenError struct {
	// Field is the name of the setting, such as callerAddress.
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

// ListenConfig configures a listening socket.
type ListenConfig struct {
	// Field is the name of the setting that holds the address, for errors.
	Field string
	// Socket is the label of the metrics: caller, operator or peer.
	Socket string
	// Address is an IP and a port.
	Address string
	// MaxConnections limits the open connections; 0 means defaultMaxConnections.
	MaxConnections int
	// Meter receives the counts of open and refused connections.
	Meter *meter.Meter
}

// defaultMaxConnections is the connection limit of a socket that has none configured.
const defaultMaxConnections = 4096

// Listen opens a TCP socket that allows at most MaxConnections open connections, at most half of them from one
// remote address. Errors are *ListenError.
//
// A connection over the limit is accepted and closed at once. Left in the kernel's queue, it would look to the
// caller like an entry that hangs; after a close, the caller tries its next address. The limit per address keeps
// a flood from one host from locking out all others.
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

// boundedListener limits the number of open connections, in total and per remote address.
type boundedListener struct {
	*net.TCPListener
	quota   *quota
	open    metrics.Gauge
	refused metrics.Counter
}

// Accept returns the next connection within the limits and closes those over them.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		address := remoteAddress(conn)
		if l.acquire(address) {
			setSocketBuffers(conn)
			return &countedConn{TCPConn: conn, release: func() { l.release(address) }}, nil
		}
		l.refused.Inc(1)
		_ = conn.Close() // nothing was sent or received on it
	}
}

func (l *boundedListener) acquire(address netip.Addr) bool {
	if !l.quota.acquire(address, 1) {
		return false
	}
	l.open.Update(l.quota.inUse())
	return true
}

func (l *boundedListener) release(address netip.Addr) {
	l.quota.release(address, 1)
	l.open.Update(l.quota.inUse())
}

// countedConn releases its connection quota when it is closed.
//
// It embeds a TCP connection rather than a net.Conn because net/http needs CloseWrite. Without it, net/http closes
// the connection immediately after an early error response, the kernel resets it because of the unread data, and the
// caller sees a reset instead of the response.
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

// parseAddress returns the IP of an IP and port, or the zero Addr if the text has another form.
func parseAddress(text string) netip.Addr {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
