// Package dialer creates the dialers for all outgoing connections, so that none of them waits for an unresponsive peer
// longer than configured.
package dialer

import (
	"net"
	"time"
)

const (
	// A connection on which nothing arrives is probed after keepAliveIdle and then every keepAliveInterval. A connection
	// that only waits for data has nothing unacknowledged, so the acknowledgement timeout does not close it when the
	// network path fails; the probes do, after keepAliveIdle and keepAliveCount times keepAliveInterval. The caller of a
	// stream disconnects after some seconds without an event.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// New returns a dialer that must connect within timeout. Its connections are closed when sent bytes are not acknowledged
// within ackTimeout, and are probed while nothing arrives. On systems other than Linux ackTimeout has no effect.
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
