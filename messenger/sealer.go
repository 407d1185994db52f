package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// tagSize is the length of a frame's tag in bytes: HMAC-SHA256 truncated to 128 bits.
const tagSize = 16

// sealer computes and verifies the tags of one connection's frames, in order.
// Without tags, anyone who can write into an authenticated connection could send frames in the peer's name, or repeat
// or drop some. The key is unique to the connection and the tag covers the frame's sequence number, so such a frame fails
// verification and ends the connection.
type sealer struct {
	mac      hash.Hash
	sequence uint64
	sum      [sha256.Size]byte
}

func newSealer(key []byte) *sealer {
	return &sealer{mac: hmac.New(sha256.New, key)}
}

// seal returns the next frame's tag. The slice is valid until the next call.
func (s *sealer) seal(payload []byte) []byte {
	s.sequence++
	var sequence [8]byte
	binary.BigEndian.PutUint64(sequence[:], s.sequence)
	s.mac.Reset()
	s.mac.Write(sequence[:])
	s.mac.Write(payload)
	return s.mac.Sum(s.sum[:0])[:tagSize]
}

// open verifies the tag at the end of the next frame and returns the frame without it.
func (s *sealer) open(sealed []byte) ([]byte, error) {
	at := len(sealed) - tagSize
	if !hmac.Equal(s.seal(sealed[:at]), sealed[at:]) {
		return nil, &TagError{Sequence: s.sequence}
	}
	return sealed[:at], nil
}
