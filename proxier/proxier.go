// Package proxier carries calls to endpoints through a peer: Send is the side of the entry that can't reach the endpoint,
// ReadBody and Respond are that of the peer. One stream carries one call. Its end marks a complete response, so that a
// response that breaks off at the endpoint, or with the peer, is never taken for a complete one.
package proxier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"geraniumline/carrier"
	"geraniumline/connector"
)

const (
	// MaxBody is the size in bytes of the largest request body that is carried; the peer holds it in memory.
	MaxBody = 8 << 20
	// chunkSize is the size in bytes of a part of a body. Its frame fits into the buffer that a stream uses again.
	chunkSize = 15 << 10
)

// Stream carries messages between two entries in both directions.
type Stream interface {
	// Send sends messages in a single write.
	Send(messages ...carrier.Message) error
	Receive() (carrier.Message, error)
	Close() error
}

// NotSentError reports that a peer sent nothing to the endpoint.
type NotSentError struct {
	Reason carrier.RelayReason
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("peer did not send the call: reason %d", e.Reason)
}

// Is matches syscall.ECONNREFUSED if the endpoint refused the peer's connection.
func (e *NotSentError) Is(target error) bool {
	return e.Reason == carrier.RelayRefused && target == syscall.ECONNREFUSED
}

// MessageError reports a message that does not belong at this point of the exchange.
type MessageError struct {
	Kind carrier.Kind
}

func (e *MessageError) Error() string { return fmt.Sprintf("unexpected message of kind %d", e.Kind) }

// BodySizeError reports a request body that is too large to be carried. Its fields are in bytes.
type BodySizeError struct {
	Size, Limit int64
}

func (e *BodySizeError) Error() string {
	return fmt.Sprintf("body of %d bytes is too large to be relayed, maximum is %d", e.Size, e.Limit)
}

// Send sends a call through the peer at the other end of the stream and reads the response up to the end of its header.
// It takes over the stream. Errors are *NotSentError or *connector.ExchangeError.
func Send(ctx context.Context, s Stream, call *connector.Call, now time.Time) (*connector.Response, error) {
	resp, err := exchange(ctx, s, call, now)
	if err == nil {
		return resp, nil
	}
	_ = s.Close()
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		return nil, notSent
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return nil, &connector.ExchangeError{Address: call.Address, Err: err}
}

func exchange(ctx context.Context, s Stream, call *connector.Call, now time.Time) (*connector.Response, error) {
	head := &carrier.RelayCall{
		Address:   call.Address,
		Method:    call.Method,
		Target:    call.Target,
		Host:      call.Host,
		Header:    call.Header,
		BodyBytes: int64(call.Body.Len()),
	}
	if deadline, ok := ctx.Deadline(); ok {
		head.TimeoutMillis = deadline.Sub(now).Milliseconds()
	}
	if err := sendCall(s, head, call.Body); err != nil {
		return nil, err
	}
	m, err := s.Receive()
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *carrier.RelayFailure:
		return nil, &NotSentError{Reason: m.Reason}
	case *carrier.RelayResponse:
		resp := &http.Response{StatusCode: int(m.Status), Header: m.Header, Body: &responseBody{stream: s}}
		if m.UntilClose {
			resp.ContentLength = -1
		}
		return connector.NewResponse(call.Address, resp), nil
	default:
		return nil, &MessageError{Kind: m.Kind()}
	}
}

// sendCall sends the head and the body of a call. Only the part that is being sent is encoded.
func sendCall(s Stream, head *carrier.RelayCall, body connector.Body) error {
	messages := []carrier.Message{head}
	for _, block := range body {
		for part := range slices.Chunk(block, chunkSize) {
			if err := s.Send(append(messages, &carrier.RelayBody{Data: part})...); err != nil {
				return err
			}
			messages = nil
		}
	}
	if messages == nil {
		return nil
	}
	return s.Send(messages...)
}

// responseBody reads the body of a relayed response.
type responseBody struct {
	stream   Stream
	unread   []byte
	complete bool
}

// Read returns io.EOF only if the peer has marked the body as complete.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 {
		if b.complete {
			return 0, io.EOF
		}
		m, err := b.stream.Receive()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
		switch m := m.(type) {
		case *carrier.RelayBody:
			if len(m.Data) == 0 {
				return 0, &MessageError{Kind: m.Kind()}
			}
			b.unread = m.Data
		case *carrier.RelayEnd:
			b.complete = true
		default:
			return 0, &MessageError{Kind: m.Kind()}
		}
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *responseBody) Close() error { return b.stream.Close() }

// RoomError reports that there was no room for the body of a peer's call, which was read to its end all the same, so that the
// peer can read the reply.
type RoomError struct{ Err error }

func (e *RoomError) Error() string { return fmt.Sprintf("body of a peer's call not held: %v", e.Err) }

// Unwrap returns the cause.
func (e *RoomError) Unwrap() error { return e.Err }

// ReadBody reads the body of a peer's call. It calls grow before it holds n more bytes; an error of that is returned as a
// *RoomError.
func ReadBody(s Stream, call *carrier.RelayCall, grow func(n int64) error) (connector.Body, error) {
	if call.BodyBytes < 0 || call.BodyBytes > MaxBody {
		return nil, &BodySizeError{Size: call.BodyBytes, Limit: MaxBody}
	}
	buffer := connector.NewBodyBuffer(call.BodyBytes, grow)
	var roomErr error
	for received := int64(0); received < call.BodyBytes; {
		m, err := s.Receive()
		if err != nil {
			return nil, err
		}
		part, ok := m.(*carrier.RelayBody)
		if !ok || len(part.Data) == 0 {
			return nil, &MessageError{Kind: m.Kind()}
		}
		received += int64(len(part.Data))
		if received > call.BodyBytes {
			return nil, &BodySizeError{Size: received, Limit: call.BodyBytes}
		}
		if roomErr != nil {
			continue
		}
		if _, roomErr = buffer.Write(part.Data); roomErr != nil {
			buffer = nil
		}
	}
	if roomErr != nil {
		return nil, &RoomError{Err: roomErr}
	}
	return buffer.Body(), nil
}

// Respond sends an endpoint's response to the peer as it arrives. Without an error the response is complete; otherwise
// the caller must close the stream.
func Respond(s Stream, resp *connector.Response) error {
	head := &carrier.RelayResponse{Status: int32(resp.Status()), Header: resp.Header(), UntilClose: resp.UntilClose()}
	if err := s.Send(head); err != nil {
		return err
	}
	buf := make([]byte, chunkSize)
	for {
		n, err := resp.Read(buf)
		var messages []carrier.Message
		if n > 0 {
			messages = append(messages, &carrier.RelayBody{Data: buf[:n]})
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			messages = append(messages, &carrier.RelayEnd{})
		}
		if len(messages) > 0 {
			if sendErr := s.Send(messages...); sendErr != nil {
				return sendErr
			}
		}
		if ended {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
