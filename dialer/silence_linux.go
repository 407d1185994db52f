package dialer

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux's tcp(7); package syscall does not define it.
const tcpUserTimeout = 0x12

// ackTimeoutControl returns a net.Dialer.Control function that makes the kernel close a connection when sent bytes are
// not acknowledged within timeout.
// When a link fails, small messages fit into the kernel's buffer for more than a minute, so no write fails. The kernel
// waits twice as long before each retransmission, so after the link recovers, a healthy peer would seem unreachable for as
// long as the failure lasted. The messenger reopens a closed connection within its BackoffMax.
func ackTimeoutControl(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optErr
	}
}
