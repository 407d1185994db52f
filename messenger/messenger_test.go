package messenger

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

const testKey = "0123456789abcdef0123456789abcdef"

// received is a message with its sender's authenticated name.
type received struct {
	from string
	m    carrier.Message
}

// startMessenger starts a messenger that serves on loopback until the test ends. It returns the messenger, its address
// and the messages that it receives.
func startMessenger(t *testing.T, cfg Config) (*Messenger, string, <-chan received) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	in := make(chan received, 1000)
	cfg.Listen = ln
	if cfg.Key == nil {
		cfg.Key = []byte(testKey)
	}
	if cfg.Handler == nil {
		cfg.Handler = func(from string, m carrier.Message) { in <- received{from: from, m: m} }
	}
	m := New(cfg)
	served := make(chan error, 1)
	go func() { served <- m.Serve(t.Context()) }()
	t.Cleanup(func() {
		_ = m.Close()
		require.NoError(t, <-served)
	})
	return m, ln.Addr().String(), in
}

func receive(t *testing.T, in <-chan received) received {
	t.Helper()
	select {
	case r := <-in:
		return r
	case <-time.After(20 * time.Second):
		require.FailNow(t, "timed out waiting for a message")
		return received{}
	}
}

func TestMessagesArriveInOrderWithSenderName(t *testing.T) {
	_, address, in := startMessenger(t, Config{Name: "b"})
	a, _, _ := startMessenger(t, Config{Name: "a"})
	for i := range 100 {
		a.Send(address, &carrier.OutcomeCall{CallID: uint64(i), Account: "wards"})
	}
	for i := range 100 {
		got := receive(t, in)
		require.Equal(t, "a", got.from)
		require.Equal(t, &carrier.OutcomeCall{CallID: uint64(i), Account: "wards"}, got.m)
	}
	require.NoError(t, a.Flush(t.Context()))
}

// A peer's process has ended and the next connection attempt is refused. OnRefused must be called: detection by silence
// alone would take seconds.
func TestOnRefusedIsCalled(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := closed.Addr().String()
	require.NoError(t, closed.Close())
	refused := make(chan string, 1)
	m, _, _ := startMessenger(t, Config{Name: "a", OnRefused: func(address string) {
		select {
		case refused <- address:
		default:
		}
	}})
	m.Send(address, &carrier.Heartbeat{Sequence: 1})
	require.Equal(t, address, <-refused)
}
