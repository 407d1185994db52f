package messenger

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"geraniumline/carrier"
)

// A peer is frozen: its kernel accepts the connection, but the process doesn't answer. Send must not block, the queue
// must stay within its limit, and only the newest heartbeat may be kept.
func TestFrozenPeerDoesNotBlockSend(t *testing.T) {
	const limit = 100 << 10
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = frozen.Close() }()
	registry := metrics.NewRegistry()
	a, _, _ := startMessenger(t, Config{Name: "a", Registry: registry, MaxQueue: limit, HandshakeTimeout: time.Hour})
	address := frozen.Addr().String()
	for i := range 1000 {
		a.Send(address, &carrier.Outcome{CallID: uint64(i), Answer: strings.Repeat("x", 1000)})
		a.Send(address, &carrier.Heartbeat{Sequence: uint64(i)})
	}
	a.mu.Lock()
	q := a.senders[address].queue
	a.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	require.LessOrEqual(t, q.bytes, limit)
	require.Equal(t, uint64(999), q.heartbeat.Sequence)
	require.Equal(t, int64(999), count(registry, "heartbeatsReplaced"))
	require.Equal(t, int64(1000-len(q.items)), count(registry, "messagesDropped"))
	require.Greater(t, len(q.items), 90)
}

// An entry is killed and restarted at the same address. Peers must reconnect by themselves, and log one line for the
// loss and one for the return, not one for each lost message.
func TestReconnectToRestartedPeer(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	registry := metrics.NewRegistry()
	a, _, _ := startMessenger(t, Config{Name: "a", Log: zap.New(core), Registry: registry, BackoffMax: time.Millisecond})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	in := make(chan received, 1000)
	handler := func(from string, m carrier.Message) { in <- received{from, m} }
	serve := func(ln net.Listener) *Messenger {
		m := New(Config{Listen: ln, Name: "b", Key: []byte(testKey), Handler: handler})
		go func() { _ = m.Serve(t.Context()) }()
		return m
	}
	sendHeartbeatsUntil := func(done func() bool) {
		for i := uint64(0); !done(); i++ {
			a.Send(address, &carrier.Heartbeat{Sequence: i})
			time.Sleep(time.Millisecond)
		}
	}
	first := serve(ln)
	sendHeartbeatsUntil(func() bool { return len(in) > 0 })
	require.NoError(t, first.Close())
	sendHeartbeatsUntil(func() bool { return count(registry, "messagesLost") > 10 })
	for len(in) > 0 {
		<-in
	}
	ln, err = net.Listen("tcp", address)
	require.NoError(t, err)
	second := serve(ln)
	defer func() { _ = second.Close() }()
	sendHeartbeatsUntil(func() bool { return len(in) > 0 })
	require.Equal(t, 1, logs.FilterMessage("cannot connect to peer").Len())
	require.Equal(t, 2, logs.FilterMessage("connected to peer").Len())
}

func TestSendDropsOversizeMessages(t *testing.T) {
	registry := metrics.NewRegistry()
	a, address, in := startMessenger(t, Config{Name: "a", Registry: registry, MaxFrame: 2000})
	a.Send(address, &carrier.Outcome{Answer: strings.Repeat("x", 2000)})
	a.Send(address, &carrier.Heartbeat{Members: make([]carrier.Member, 1000)})
	a.Send(address, &carrier.OutcomeCall{CallID: 1})
	require.Equal(t, &carrier.OutcomeCall{CallID: 1}, receive(t, in).m)
	require.Equal(t, int64(2), count(registry, "messagesDropped"))
}

func TestIdleSendersEnd(t *testing.T) {
	_, address, in := startMessenger(t, Config{Name: "b"})
	a, _, _ := startMessenger(t, Config{Name: "a", IdleTimeout: 20 * time.Millisecond})
	a.Send(address, &carrier.OutcomeCall{CallID: 1})
	receive(t, in)
	require.Eventually(t, func() bool { return a.idle() && a.openConns() == 0 }, 20*time.Second, time.Millisecond)
}

func TestServeRefusesShortKeys(t *testing.T) {
	for _, cfg := range []Config{{Key: []byte("short")}, {Key: []byte(testKey), OtherKeys: [][]byte{nil}}} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		cfg.Listen = ln
		m := New(cfg)
		var short *KeyError
		require.ErrorAs(t, m.Serve(t.Context()), &short)
		require.NoError(t, m.Close())
	}
}
