package dialer

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Packet loss can't be produced on loopback without privileges, so this checks that the socket options are set.
func TestDialedConnectionsSetTimeouts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	d := New(time.Second, 3*time.Second)
	conn, err := d.DialContext(t.Context(), "tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		millis, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		require.NoError(t, err)
		require.Equal(t, 3000, millis)
		alive, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		require.NoError(t, err)
		require.Equal(t, 1, alive)
		count, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
		require.NoError(t, err)
		require.Equal(t, keepAliveCount, count)
	}))
}
