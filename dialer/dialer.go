// Package dialer creates the dialers for all outgoing connections, so that none of them waits for an unresponsive peer
// longer than configured.
package dialer

import (
	"net"
	"time"
)

const (
	// A connection on which nothing arrives is probed after keepAliveIdle and then every keepAliveInterval, as a failed
	// path is not noticed otherwise while nothing is sent. The caller of a stream disconnects after some seconds without
	// an event.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// MinSilence is the shortest acknowledgement timeout for connections to processes that may pause for a second. Linux
// closes an idle connection whose probes are not answered within that timeout, whatever their number.
const MinSilence = keepAliveIdle + keepAliveCount*keepAliveInterval

// New returns a dialer that must connect within timeout. Its connections are closed when sent bytes or probes are not
// acknowledged within ackTimeout. On systems other than Linux ackTimeout has no effect, and unanswered probes close an
// idle connection after MinSilence.
func New(timeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: ackTimeoutControl(ackTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
}
