// Package dialer makes the dialers of all outgoing connections, so that none of them waits for a silent peer longer
// than it is told to.
package dialer

import (
	"net"
	"time"
)

const (
	// keepAliveIdle and keepAliveEvery are when a connection on which nothing arrives is probed. A reader that only
	// waits has nothing unacknowledged, so the limit on silence does not end its connection when the path has gone
	// dark; the probes do, after keepAliveIdle and keepAliveCount times keepAliveEvery. A stream's caller leaves
	// after some seconds without an event.
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	keepAliveCount = 3
)

// New makes a dialer whose connections are to stand within timeout, end when sent bytes are not acknowledged for
// silence, and are probed while nothing arrives.
func New(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		Control: limitSilence(silence),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveEvery,
			Count:    keepAliveCount,
		},
	}
}
