package messenger

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against streams on which the kernel holds megabytes that nobody has read.
func TestBuffersOfStreamsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	new(Messenger).newStream(conn, nil, nil)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			n, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option)
			require.NoError(t, err)
			// The kernel doubles the size for its own overhead.
			require.Equal(t, 2*streamBuffer, n)
		}
	}))
}
