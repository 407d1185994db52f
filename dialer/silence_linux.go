package dialer

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux's tcp(7); package syscall has no name for it.
const tcpUserTimeout = 0x12

// limitSilence ends a connection whose sent bytes are not acknowledged for the time.
// When a link is cut, small messages fit into the kernel's buffer for more than a minute, so no write fails; the kernel
// waits twice as long before each resend, and after the link is mended a healthy peer would seem lost for as long
// as the cut was. A connection that ends is opened anew within BackoffMax.
func limitSilence(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return set
	}
}
