package forwarder

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

// silentStream is a stream of which the peer sends nothing, and which stays open until it is closed here.
type silentStream struct {
	once   sync.Once
	closed chan struct{}
}

func (s *silentStream) Send(...carrier.Message) error { return nil }

func (s *silentStream) Receive() (carrier.Message, error) {
	<-s.closed
	return nil, net.ErrClosed
}

func (s *silentStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}

// Guards against a peer that stops in the middle of its call and holds an entry, and its planned stop, for as long as the
// connection lives.
func TestACallWhoseBodyNeverComesEndsAtItsTimeLimit(t *testing.T) {
	m := newMesh(t, 1)
	f := m.nodes["entry-0"]
	s := &silentStream{closed: make(chan struct{})}
	f.ServeRelay("peer", &carrier.RelayCall{Address: "a:1", BodyBytes: 1, TimeoutMillis: 1}, s)
	require.Zero(t, f.inFlight.Load())
	<-s.closed
}
