package messenger

import (
	"encoding/binary"
	"fmt"
	"io"

	"geraniumline/carrier"
)

// A frame is a length of 4 bytes (big-endian, of all that follows), the kind's byte, the msgpack body and,
// after the handshake, a tag that proves its sender and place.
const (
	lengthSize = 4
	kindSize   = 1
	// handshakeLimit is the most bytes of a frame from a peer that has not proved itself.
	handshakeLimit = 1 << 10
	// keptBuffer is the largest buffer that is kept between frames.
	keptBuffer = 64 << 10
)

// FrameSizeError tells of a frame whose length is outside of what the connection allows.
type FrameSizeError struct {
	Length, Limit int
}

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, at most %d are allowed", e.Length, e.Limit)
}

// TagError tells of a frame that the peer did not seal as the next one of this connection.
type TagError struct {
	Sequence uint64
}

func (e *TagError) Error() string {
	return fmt.Sprintf("frame %d of the connection has a wrong tag", e.Sequence)
}

// DecodeError tells of a frame whose body is no message of its kind.
type DecodeError struct {
	Kind  carrier.Kind
	Cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("frame of kind %d: %v", e.Kind, e.Cause)
}

func (e *DecodeError) Unwrap() error { return e.Cause }

// appendFrame adds a frame with the encoded body to dst, sealed if s is set.
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
	// opener checks the tags; nil during the handshake.
	opener *sealer
	buf    []byte
}

// next reads one frame and its message.
func (f *frameReader) next() (carrier.Message, error) {
	content, err := f.read()
	if err != nil {
		return nil, err
	}
	return decode(carrier.Kind(content[0]), content[kindSize:])
}

// nextOf reads one frame of the kind. No other kind is decoded: a peer that has not proved itself could claim a
// list of many thousand elements in a few bytes, and memory would be taken for them all.
func (f *frameReader) nextOf(kind carrier.Kind) (carrier.Message, error) {
	content, err := f.read()
	if err != nil {
		return nil, err
	}
	if got := carrier.Kind(content[0]); got != kind {
		return nil, &HandshakeError{Reason: fmt.Sprintf("frame of kind %d instead of %d", got, kind)}
	}
	return decode(kind, content[kindSize:])
}

// read gives a frame's kind and body. The limit is checked before memory is taken for them.
func (f *frameReader) read() ([]byte, error) {
	var head [lengthSize]byte
	if _, err := io.ReadFull(f.r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(f.limit) || int(n) < f.least() {
		return nil, &FrameSizeError{Length: int(n), Limit: f.limit}
	}
	content := f.room(int(n))
	if _, err := io.ReadFull(f.r, content); err != nil {
		return nil, err
	}
	if f.opener == nil {
		return content, nil
	}
	return f.opener.open(content)
}

func (f *frameReader) least() int {
	if f.opener != nil {
		return kindSize + tagSize
	}
	return kindSize
}

func (f *frameReader) room(n int) []byte {
	if n > keptBuffer {
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

// TrailingError tells of bytes after a frame's message.
type TrailingError struct {
	Bytes int
}

func (e *TrailingError) Error() string {
	return fmt.Sprintf("%d bytes after the message", e.Bytes)
}
