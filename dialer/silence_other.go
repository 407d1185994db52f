//go:build !linux

package dialer

import (
	"syscall"
	"time"
)

// limitSilence does nothing where the option is missing: after a cut, a peer may take as long to be reached again as
// the cut lasted.
func limitSilence(time.Duration) func(network, address string, c syscall.RawConn) error {
	return nil
}
