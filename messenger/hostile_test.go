package messenger

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

func encode(t testing.TB, m carrier.Message) []byte {
	t.Helper()
	body, err := m.MarshalMsg(nil)
	require.NoError(t, err)
	return appendFrame(nil, m.Kind(), body, nil)
}

func count(r metrics.Registry, name string) int64 {
	return metrics.GetOrRegisterCounter("peers."+name, r).Count()
}

// A client that doesn't know the shared key connects to the peers' port. Whatever it sends, the connection must be
// closed and counted, and no message may reach the handler.
func TestUnauthenticatedClientsAreRefused(t *testing.T) {
	challenge := &carrier.Challenge{Nonce: bytes.Repeat([]byte{7}, nonceSize), Entry: "a"}
	manyAccounts := append([]byte{0x81, 0xa8}, append([]byte("accounts"), 0xdd, 0, 1, 0, 0)...)
	scenarios := []struct {
		testName string
		sent     []byte
		// timeout is the handshake's; an hour where the sent bytes alone must end the connection.
		timeout time.Duration
	}{
		{"nothing until the handshake timeout", nil, 100 * time.Millisecond},
		{"partial frame", encode(t, challenge)[:10], 100 * time.Millisecond},
		{"garbage", bytes.Repeat([]byte("GET / HTTP/1.1\r\n"), 100), time.Hour},
		{"oversize length", binary.BigEndian.AppendUint32(nil, maxHandshakeFrame+1), time.Hour},
		{"largest length", binary.BigEndian.AppendUint32(nil, 1<<32-1), time.Hour},
		{"empty frame", make([]byte, lengthSize), time.Hour},
		{"unknown kind", appendFrame(nil, 200, nil, nil), time.Hour},
		{"short nonce", encode(t, &carrier.Challenge{Nonce: []byte{1}, Entry: "a"}), time.Hour},
		{"no name", encode(t, &carrier.Challenge{Nonce: challenge.Nonce}), time.Hour},
		{"heartbeat before the proof", encode(t, &carrier.Heartbeat{From: carrier.Member{Name: "a"}}), time.Hour},
		{"list of 65,536 claimed before the proof", appendFrame(nil, carrier.KindHeartbeat, manyAccounts, nil), time.Hour},
		{"heartbeat in place of the proof", append(encode(t, challenge), encode(t, &carrier.Heartbeat{})...), time.Hour},
		{"wrong proof", append(encode(t, challenge), encode(t, &carrier.Proof{Mac: make([]byte, 32)})...), time.Hour},
		{"empty proof", append(encode(t, challenge), encode(t, &carrier.Proof{})...), time.Hour},
		{"two challenges", append(encode(t, challenge), encode(t, challenge)...), time.Hour},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			registry := metrics.NewRegistry()
			_, address, in := startMessenger(t, Config{Name: "b", Registry: registry, HandshakeTimeout: s.timeout})
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(s.sent)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, conn)
			require.Eventually(t, func() bool { return count(registry, "connectionsRefused") == 1 }, 20*time.Second, time.Millisecond)
			require.Empty(t, in)
		})
	}
}

// An entry of another system, with another key, is configured with this entry's address by mistake.
func TestEntriesWithDifferentKeysDoNotConnect(t *testing.T) {
	here, there := metrics.NewRegistry(), metrics.NewRegistry()
	_, address, in := startMessenger(t, Config{Name: "b", Registry: here})
	other, _, _ := startMessenger(t, Config{Name: "a", Registry: there, Key: bytes.Repeat([]byte{1}, 32)})
	other.Send(address, &carrier.OutcomeCall{CallID: 1})
	require.Eventually(t, func() bool {
		return count(here, "connectionsRefused") == 1 && count(there, "messagesLost") == 1
	}, 20*time.Second, time.Millisecond)
	require.Empty(t, in)
}

// The operators change the key in a rolling restart. At each step, two entries that are one step apart must exchange
// messages, or the system would be partitioned.
func TestKeyRotation(t *testing.T) {
	before, after := bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)
	steps := []Config{
		{Key: before},
		{Key: before, OtherKeys: [][]byte{after}},
		{Key: after, OtherKeys: [][]byte{before}},
		{Key: after},
	}
	for i, step := range steps[1:] {
		x, y := steps[i], step
		x.Name, y.Name = "x", "y"
		mx, addressX, inX := startMessenger(t, x)
		my, addressY, inY := startMessenger(t, y)
		mx.Send(addressY, &carrier.OutcomeCall{CallID: 1})
		my.Send(addressX, &carrier.OutcomeCall{CallID: 2})
		require.Equal(t, "y", receive(t, inX).from)
		require.Equal(t, "x", receive(t, inY).from)
	}
}

// An attacker has an entry dial it, and sends the entry's own challenge and proof back (reflection). The proof is
// valid for a dialer, but the entry expects a listener's.
func TestReflectedProofIsRefused(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	go func() {
		defer func() { _ = far.Close() }()
		_, _ = io.Copy(far, far)
	}()
	buffered := &bufferedConn{Conn: near, writes: make(chan []byte, 10)}
	go buffered.run()
	_, _, err := newHandshake(buffered, []byte(testKey), "a").dial()
	var proof *ProofError
	require.ErrorAs(t, err, &proof)
	close(buffered.writes)
}

// bufferedConn buffers writes so that they return at once, like a socket's.
type bufferedConn struct {
	net.Conn
	writes chan []byte
}

func (c *bufferedConn) Write(p []byte) (int, error) {
	c.writes <- bytes.Clone(p)
	return len(p), nil
}

func (c *bufferedConn) run() {
	for p := range c.writes {
		_, _ = c.Conn.Write(p)
	}
}

// Unauthenticated clients hold hundreds of connections open and send nothing. The oldest must be closed, so that an
// honest peer, whose handshake takes milliseconds, can connect and the number of open connections stays bounded.
func TestIdleClientsDoNotKeepPeersOut(t *testing.T) {
	const maxPending = 8
	registry := metrics.NewRegistry()
	m, address, in := startMessenger(t, Config{Name: "b", Registry: registry, MaxPending: maxPending, HandshakeTimeout: time.Hour})
	for range 200 {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
	}
	require.Eventually(t, func() bool { return count(registry, "connectionsEvicted") == 200-maxPending }, 20*time.Second, time.Millisecond)
	a, _, _ := startMessenger(t, Config{Name: "a"})
	a.Send(address, &carrier.OutcomeCall{CallID: 1})
	require.Equal(t, "a", receive(t, in).from)
	require.Eventually(t, func() bool { return m.openConns() <= maxPending+1 }, 20*time.Second, time.Millisecond)
}

func (m *Messenger) openConns() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// Guards against honest peers that are evicted by each other when a whole fleet connects to one entry at once.
func TestManyPeersThatConnectAtOnceAreAllAccepted(t *testing.T) {
	const peers, maxPending = 60, 4
	registry := metrics.NewRegistry()
	_, address, in := startMessenger(t, Config{Name: "seed", Registry: registry, MaxPending: maxPending})
	for i := range peers {
		m, _, _ := startMessenger(t, Config{Name: "peer-" + strconv.Itoa(i)})
		m.Send(address, &carrier.OutcomeCall{CallID: uint64(i)})
	}
	from := make(map[string]bool)
	for range peers {
		from[receive(t, in).from] = true
	}
	require.Len(t, from, peers)
}
