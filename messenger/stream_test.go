package messenger

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
)

// echo answers a call with its own target, then waits until the peer closes the stream.
func echo(closed chan<- error) func(string, *carrier.RelayCall, *Stream) {
	return func(from string, call *carrier.RelayCall, s *Stream) {
		if err := s.Send(&carrier.RelayBody{Data: []byte(from + call.Target)}, &carrier.RelayEnd{}); err != nil {
			closed <- err
			return
		}
		_, err := s.Receive()
		closed <- err
	}
}

// Guards against streams that replace the connection on which the same peer sends its messages.
func TestAStreamCarriesMessagesBothWaysBesideTheOthers(t *testing.T) {
	closed := make(chan error, 1)
	_, address, in := startMessenger(t, Config{Name: "b", StreamHandler: echo(closed)})
	a, _, _ := startMessenger(t, Config{Name: "a"})
	a.Send(address, &carrier.OutcomeCall{CallID: 1})
	require.Equal(t, "a", receive(t, in).from)
	s, err := a.OpenStream(t.Context(), address)
	require.NoError(t, err)
	require.NoError(t, s.Send(&carrier.RelayCall{Target: "/x"}))
	m, err := s.Receive()
	require.NoError(t, err)
	require.Equal(t, &carrier.RelayBody{Data: []byte("a/x")}, m)
	m, err = s.Receive()
	require.NoError(t, err)
	require.Equal(t, &carrier.RelayEnd{}, m)
	a.Send(address, &carrier.OutcomeCall{CallID: 2})
	require.Equal(t, &carrier.OutcomeCall{CallID: 2}, receive(t, in).m)
	require.NoError(t, s.Close())
	require.ErrorIs(t, <-closed, io.EOF)
}

// Guards against work for a peer whose caller has left.
func TestAStreamEndsWithItsContext(t *testing.T) {
	closed := make(chan error, 1)
	_, address, _ := startMessenger(t, Config{Name: "b", StreamHandler: echo(closed)})
	a, _, _ := startMessenger(t, Config{Name: "a"})
	ctx, cancel := context.WithCancel(t.Context())
	s, err := a.OpenStream(ctx, address)
	require.NoError(t, err)
	require.NoError(t, s.Send(&carrier.RelayCall{}))
	_, err = s.Receive()
	require.NoError(t, err)
	cancel()
	require.Error(t, <-closed)
}

func TestStreamsAreBounded(t *testing.T) {
	registry := metrics.NewRegistry()
	closed := make(chan error, 10)
	_, address, _ := startMessenger(t, Config{Name: "b", Registry: registry, MaxStreams: 1, StreamHandler: echo(closed)})
	a, _, _ := startMessenger(t, Config{Name: "a"})
	refusal := &carrier.RelayFailure{Reason: carrier.RelayNoRoom}
	open := func() (*Stream, carrier.Message) {
		s, err := a.OpenStream(t.Context(), address)
		require.NoError(t, err)
		require.NoError(t, s.Send(&carrier.RelayCall{}))
		reply, err := s.Receive()
		require.NoError(t, err)
		return s, reply
	}
	first, reply := open()
	require.NotEqual(t, refusal, reply)
	second, reply := open()
	require.Equal(t, refusal, reply)
	_, err := second.Receive()
	require.Error(t, err, "a refused stream is closed")
	require.Equal(t, int64(1), count(registry, "connectionsRefused"))
	require.NoError(t, first.Close())
	require.Error(t, <-closed)
	require.Eventually(t, func() bool {
		s, reply := open()
		_ = s.Close()
		return reply.Kind() != refusal.Kind()
	}, 20*time.Second, time.Millisecond)
}

// Guards against frames of one direction that are sent back as frames of the other.
func TestTheDirectionsOfAStreamHaveDifferentKeys(t *testing.T) {
	reflected := make(chan error, 1)
	_, address, _ := startMessenger(t, Config{Name: "b", StreamHandler: func(_ string, call *carrier.RelayCall, s *Stream) {
		s.out = s.in.opener
		s.out.sequence = 0
		reflected <- s.Send(call)
	}})
	a, _, _ := startMessenger(t, Config{Name: "a"})
	s, err := a.OpenStream(t.Context(), address)
	require.NoError(t, err)
	require.NoError(t, s.Send(&carrier.RelayCall{}))
	_, err = s.Receive()
	var tag *TagError
	require.ErrorAs(t, err, &tag)
	require.NoError(t, <-reflected)
}
