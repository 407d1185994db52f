//go:build !linux

package dialer

import (
	"syscall"
	"time"
)

// ackTimeoutControl does nothing on systems without TCP_USER_TIMEOUT: after a link failure, it may take as long as the
// failure lasted until a peer is reachable again.
func ackTimeoutControl(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
