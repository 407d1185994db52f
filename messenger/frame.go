package messenger

import (
	"encoding/binary"
	"fmt"
	"io"

	"geraniumline/carrier"
)

// A frame consists of a length of 4 bytes (big-endian, of everything that follows), a byte for the kind, the msgpack
// body and, after the handshake, a tag that authenticates its sender and its position.
const (
	lengthSize = 4
	kindSize   = 1
	// maxHandshakeFrame is the maximum size of a frame from an unauthenticated peer, in bytes.
	maxHandshakeFrame = 1 << 10
	// maxReusedBuffer is the largest buffer that is reused for the next frame, in bytes.
	maxReusedBuffer = 16 << 10
)

// FrameSizeError reports a frame whose length is out of the range that the connection allows. Its fields are in bytes.
type FrameSizeError struct {
	Length, Limit int
}

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame size %d bytes out of range, maximum is %d", e.Length, e.Limit)
}

// TagError reports a frame whose tag is not that of the next frame of this connection.
type TagError struct {
	Sequence uint64
}

func (e *TagError) Error() string {
	return fmt.Sprintf("frame %d of the connection has an invalid tag", e.Sequence)
}

// DecodeError reports a frame whose body is not a valid message of its kind.
type DecodeError struct {
	Kind  carrier.Kind
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("decode frame of kind %d: %v", e.Kind, e.Cause)
}

func (e *DecodeError) Unwrap() error { return e.Cause }

// appendFrame appends a frame with the encoded body to dst, with a tag if s is not nil.
func appendFrame(dst []byte, kind carrier.Kind, body []byte, s *sealer) []byte {
	n := kindSize + len(body)
	if s != nil {
		n += tagSize
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(n))
	start := len(dst)
	dst = append(dst, byte(kind))
	dst = append(dst, body...)
	if s == nil {
		return dst
	}
	return append(dst, s.seal(dst[start:])...)
}

// frameReader reads the frames of one connection.
type frameReader struct {
	r     io.Reader
	limit int
	// opener verifies the tags; it is nil during the handshake.
	opener *sealer
	buf    []byte
}

// next reads one frame and decodes its message.
func (f *frameReader) next() (carrier.Message, error) {
	payload, err := f.read()
	if err != nil {
		return nil, err
	}
	return decode(carrier.Kind(payload[0]), payload[kindSize:])
}

// nextOf reads one frame of the given kind. Other kinds aren't decoded: an unauthenticated peer could claim a list of
// many thousand elements in a few bytes, and memory would be allocated for all of them.
func (f *frameReader) nextOf(kind carrier.Kind) (carrier.Message, error) {
	payload, err := f.read()
	if err != nil {
		return nil, err
	}
	if got := carrier.Kind(payload[0]); got != kind {
		return nil, &HandshakeError{Reason: fmt.Sprintf("got frame of kind %d, want %d", got, kind)}
	}
	return decode(kind, payload[kindSize:])
}

// read returns a frame's kind and body. The size limit is checked before memory is allocated.
func (f *frameReader) read() ([]byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(f.r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(f.limit) || int(n) < f.minSize() {
		return nil, &FrameSizeError{Length: int(n), Limit: f.limit}
	}
	payload := f.buffer(int(n))
	if _, err := io.ReadFull(f.r, payload); err != nil {
		return nil, err
	}
	if f.opener == nil {
		return payload, nil
	}
	return f.opener.open(payload)
}

func (f *frameReader) minSize() int {
	if f.opener != nil {
		return kindSize + tagSize
	}
	return kindSize
}

// buffer returns a slice of n bytes, reusing the reader's buffer for all but large frames.
func (f *frameReader) buffer(n int) []byte {
	if n > maxReusedBuffer {
		return make([]byte, n)
	}
	if n > cap(f.buf) {
		f.buf = make([]byte, n)
	}
	return f.buf[:n]
}

func decode(kind carrier.Kind, body []byte) (carrier.Message, error) {
	m, err := carrier.NewMessage(kind)
	if err != nil {
		return nil, err
	}
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return nil, &DecodeError{Kind: kind, Cause: err}
	}
	if len(rest) > 0 {
		return nil, &DecodeError{Kind: kind, Cause: &TrailingError{Bytes: len(rest)}}
	}
	return m, nil
}

// TrailingError reports bytes that follow a frame's message.
type TrailingError struct {
	Bytes int
}

func (e *TrailingError) Error() string {
	return fmt.Sprintf("%d trailing bytes after the message", e.Bytes)
}
