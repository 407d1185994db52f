package proxier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/carrier"
	"geraniumline/connector"
)

// fakeStream is a stream whose peer has already sent its messages.
type fakeStream struct {
	sent, received []carrier.Message
	closed         bool
	// largest is the most bytes that were sent at once.
	largest int
}

func (s *fakeStream) Send(messages ...carrier.Message) error {
	size := 0
	defer func() { s.largest = max(s.largest, size) }()
	for _, m := range messages {
		encoded, err := m.MarshalMsg(nil)
		if err != nil {
			return err
		}
		size += len(encoded)
		copied, err := carrier.NewMessage(m.Kind())
		if err != nil {
			return err
		}
		if _, err = copied.UnmarshalMsg(encoded); err != nil {
			return err
		}
		s.sent = append(s.sent, copied)
	}
	return nil
}

func (s *fakeStream) Receive() (carrier.Message, error) {
	if len(s.received) == 0 {
		return nil, io.EOF
	}
	m := s.received[0]
	s.received = s.received[1:]
	return m, nil
}

func (s *fakeStream) Close() error {
	s.closed = true
	return nil
}

// unbounded grants a body all the memory that it needs.
func unbounded(int64) error { return nil }

func newCall(body []byte) *connector.Call {
	return &connector.Call{Address: "10.0.0.1:80", Method: http.MethodPut, Target: "/a//b?c=%2F", Host: "a.example", Header: http.Header{"X-A": {"1", "2"}}, Body: connector.NewBody(body)}
}

func TestACallArrivesAsItWasSent(t *testing.T) {
	for _, size := range []int{0, 1, chunkSize, 3*chunkSize + 1} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			body := bytes.Repeat([]byte{7}, size)
			here := &fakeStream{received: []carrier.Message{
				&carrier.RelayResponse{Status: 207, Header: http.Header{"X-B": {"3"}}},
				&carrier.RelayBody{Data: []byte("ab")},
				&carrier.RelayBody{Data: []byte("c")},
				&carrier.RelayEnd{},
			}}
			now := time.Now()
			ctx, cancel := context.WithDeadline(t.Context(), now.Add(time.Minute))
			defer cancel()
			resp, err := Send(ctx, here, newCall(body), now)
			require.NoError(t, err)
			require.Equal(t, 207, resp.Status())
			require.Equal(t, http.Header{"X-B": {"3"}}, resp.Header())
			got, err := resp.ReadAll(connector.NewBudget(0), 100)
			require.NoError(t, err)
			require.Equal(t, "abc", string(got))
			require.True(t, here.closed)

			call, ok := here.sent[0].(*carrier.RelayCall)
			require.True(t, ok)
			require.Equal(t, &carrier.RelayCall{
				Address: "10.0.0.1:80", Method: http.MethodPut, Target: "/a//b?c=%2F", Host: "a.example",
				Header: http.Header{"X-A": {"1", "2"}}, BodyBytes: int64(size), TimeoutMillis: 60_000,
			}, call)
			arrived, err := ReadBody(&fakeStream{received: here.sent[1:]}, call, unbounded)
			require.NoError(t, err)
			require.True(t, bytes.Equal(body, arrived.Bytes()))
		})
	}
}

// Guards against taking a response for complete that broke off at the endpoint or with the peer.
func TestABrokenResponseIsNotComplete(t *testing.T) {
	for _, received := range [][]carrier.Message{
		{&carrier.RelayResponse{Status: 200}},
		{&carrier.RelayResponse{Status: 200}, &carrier.RelayBody{Data: []byte("half")}},
		{&carrier.RelayResponse{Status: 200}, &carrier.RelayResponse{Status: 200}},
	} {
		resp, err := Send(t.Context(), &fakeStream{received: received}, newCall(nil), time.Now())
		require.NoError(t, err)
		_, err = resp.ReadAll(connector.NewBudget(0), 100)
		var broken *connector.ExchangeError
		require.ErrorAs(t, err, &broken)
	}
}

// Guards against taking a call that may have reached the endpoint for one that was not sent.
func TestACallWithoutAReplyMayHaveRun(t *testing.T) {
	for _, received := range [][]carrier.Message{nil, {&carrier.RelayEnd{}}} {
		s := &fakeStream{received: received}
		_, err := Send(t.Context(), s, newCall(nil), time.Now())
		var broken *connector.ExchangeError
		require.ErrorAs(t, err, &broken)
		require.True(t, s.closed)
	}
}

func TestARefusedCallWasNotSent(t *testing.T) {
	for _, reason := range []carrier.RelayReason{carrier.RelayRefused, carrier.RelayUnreachable, carrier.RelayUnproven, carrier.RelayPartitioned, carrier.RelayUnwanted, carrier.RelayStopping} {
		s := &fakeStream{received: []carrier.Message{&carrier.RelayFailure{Reason: reason}}}
		_, err := Send(t.Context(), s, newCall(nil), time.Now())
		var notSent *NotSentError
		require.ErrorAs(t, err, &notSent)
		require.Equal(t, reason, notSent.Reason)
		require.Equal(t, reason == carrier.RelayRefused, errors.Is(err, syscall.ECONNREFUSED))
		require.True(t, s.closed)
	}
}

// Guards against a peer that claims a huge body, or sends more than it claims.
func TestInvalidBodiesAreRefused(t *testing.T) {
	for _, c := range []struct {
		claimed  int64
		received carrier.Message
	}{
		{-1, nil},
		{MaxBody + 1, nil},
		{1, nil},
		{1, &carrier.RelayEnd{}},
		{1, &carrier.RelayBody{Data: []byte("two")}},
	} {
		s := &fakeStream{}
		if c.received != nil {
			s.received = []carrier.Message{c.received}
		}
		_, err := ReadBody(s, &carrier.RelayCall{BodyBytes: c.claimed}, unbounded)
		require.Error(t, err)
	}
}

// Guards against marking a response as complete whose connection broke off at the endpoint.
func TestOnlyACompleteResponseIsEnded(t *testing.T) {
	for _, complete := range []bool{true, false} {
		endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			if !complete {
				panic(http.ErrAbortHandler)
			}
		}))
		client := connector.New(connector.Config{})
		call := newCall(nil)
		call.Address = strings.TrimPrefix(endpoint.URL, "http://")
		resp, err := client.Do(t.Context(), call)
		require.NoError(t, err)
		s := &fakeStream{}
		err = Respond(s, resp)
		resp.Close()
		last := s.sent[len(s.sent)-1].Kind()
		if complete {
			require.NoError(t, err)
			require.Equal(t, carrier.KindRelayEnd, last)
		} else {
			require.Error(t, err)
			require.Equal(t, carrier.KindRelayBody, last)
		}
		client.CloseExpired(time.Now().Add(time.Hour))
		endpoint.Close()
	}
}

// emptyParts is a stream of which the peer sends empty parts of a body without end.
type emptyParts struct{ fakeStream }

func (s *emptyParts) Receive() (carrier.Message, error) { return &carrier.RelayBody{}, nil }

// Guards against a peer that holds an entry with parts that never complete a body.
func TestEmptyPartsEndTheExchange(t *testing.T) {
	var message *MessageError
	_, err := ReadBody(&emptyParts{}, &carrier.RelayCall{BodyBytes: 1}, unbounded)
	require.ErrorAs(t, err, &message)
	_, err = (&responseBody{stream: &emptyParts{}}).Read(make([]byte, 1))
	require.ErrorAs(t, err, &message)
}

// Guards against an entry that encodes the whole body of a relayed call, and so holds it twice.
func TestOnlyOnePartOfABodyIsEncodedAtOnce(t *testing.T) {
	s := &fakeStream{received: []carrier.Message{&carrier.RelayResponse{Status: 200}, &carrier.RelayEnd{}}}
	_, err := Send(t.Context(), s, newCall(make([]byte, 1<<20)), time.Now())
	require.NoError(t, err)
	require.Less(t, s.largest, 2*chunkSize)
}

// Guards against a peer that can't read that its call was refused, since its body was not read, and takes it for one that may
// have run.
func TestABodyWithoutRoomIsReadToItsEnd(t *testing.T) {
	part := &carrier.RelayBody{Data: make([]byte, 100)}
	s := &fakeStream{received: []carrier.Message{part, part, part}}
	full := errors.New("full")
	_, err := ReadBody(s, &carrier.RelayCall{BodyBytes: 300}, func(int64) error { return full })
	var room *RoomError
	require.ErrorAs(t, err, &room)
	require.ErrorIs(t, err, full)
	require.Empty(t, s.received)
}
