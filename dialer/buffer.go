package dialer

import (
	"context"
	"net"
)

// ReceiveBuffer is the size in bytes of the kernel's receive buffer of a connection whose peer may send without end. Left to
// itself, the kernel lets a peer that sends faster than it is read fill many megabytes on each connection.
const ReceiveBuffer = 128 << 10

// SetReceiveBuffer sets the size of a TCP connection's receive buffer.
func SetReceiveBuffer(conn net.Conn, n int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// An error means that the connection is closed, which the next read reports.
		_ = tcp.SetReadBuffer(n)
	}
}

// Bounded returns the dialer's function for connections with a ReceiveBuffer.
func Bounded(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err == nil {
			SetReceiveBuffer(conn, ReceiveBuffer)
		}
		return conn, err
	}
}
