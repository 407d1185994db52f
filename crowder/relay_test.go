package crowder

import (
	"crypto/sha256"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/messenger"
	"geraniumline/platform/imitator"
)

// relayClients are the calls of a peer whose bodies of maxBody each hold 256 MB.
const relayClients = 64

// Guards against bodies of clients that an entry without links to endpoints hands to a peer, which holds them all.
func TestForwardOutlivesTheBodiesOfAPeersClients(t *testing.T) {
	for _, tc := range []struct {
		name        string
		calls, sent int
	}{
		{"whole bodies that wait", relayClients, maxBody},
		{"bodies that stop before their end", relayClients, maxBody - 1},
		{"calls without their bodies", idleClients, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := startForward(t)
			// The entry relays only to endpoints that it knows, and once it has reached one.
			p.requireAnswer("first", "a question")
			m := newPeer(t)
			var calls sync.WaitGroup
			for range tc.calls {
				calls.Go(func() { sendRelayCall(t, m, p, tc.sent) })
			}
			calls.Wait()
			time.Sleep(settleTime)
			p.requireAnswer("ordinary", "a question")
			p.requireBounds()
		})
	}
}

// newPeer returns the messenger of a peer.
func newPeer(t *testing.T) *messenger.Messenger {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key := sha256.Sum256([]byte("geraniumline entries on one platform"))
	m := messenger.New(messenger.Config{Listen: l, Name: "peer", Key: key[:], Handler: func(string, carrier.Message) {}})
	t.Cleanup(func() { require.NoError(t, m.Close()) })
	return m
}

// sendRelayCall asks the process to send a call to an endpoint that never answers, and sends so many bytes of its body. The
// stream stays open until the messenger is closed.
func sendRelayCall(t *testing.T, m *messenger.Messenger, p *process, sent int) {
	s, err := m.OpenStream(t.Context(), p.listen.Peers)
	if err != nil {
		return
	}
	// What can't be sent because the process refuses it isn't held.
	_ = s.Send(&carrier.RelayCall{
		Address: p.site.Endpoints[0].Address(), Method: "POST", Target: imitator.PlainPath, Host: imitator.Host,
		BodyBytes: maxBody, TimeoutMillis: 30_000,
	})
	part := make([]byte, writeSize)
	for sent > 0 {
		n := min(sent, len(part))
		if s.Send(&carrier.RelayBody{Data: part[:n]}) != nil {
			return
		}
		sent -= n
	}
}
