// Package dialer makes the dialers of all outgoing connections, so that none of them waits for a silent peer longer
// than it is told to.
package dialer

import (
	"net"
	"time"
)

// New makes a dialer whose connections are to stand within timeout, and end when sent bytes are not acknowledged for
// silence.
func New(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: limitSilence(silence)}
}
