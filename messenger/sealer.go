package messenger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
)

// tagSize is the length of a frame's tag: HMAC-SHA256 cut to 128 bits.
const tagSize = 16

// sealer makes and checks the tags of one connection's frames, in their order.
// Without tags, whoever can write into a proved connection could send frames in the peer's name, or repeat or
// drop some. The key is of this connection alone and the tag covers the frame's place in it, so such a frame
// ends the connection.
type sealer struct {
	mac      hash.Hash
	sequence uint64
	sum      [sha256.Size]byte
}

func newSealer(key []byte) *sealer {
	return &sealer{mac: hmac.New(sha256.New, key)}
}

// seal gives the next frame's tag. It is valid until the next call.
func (s *sealer) seal(content []byte) []byte {
	s.sequence++
	var place [8]byte
	binary.BigEndian.PutUint64(place[:], s.sequence)
	s.mac.Reset()
	s.mac.Write(place[:])
	s.mac.Write(content)
	return s.mac.Sum(s.sum[:0])[:tagSize]
}

// open checks the tag at the end of the next frame and cuts it off.
func (s *sealer) open(sealed []byte) ([]byte, error) {
	at := len(sealed) - tagSize
	if !hmac.Equal(s.seal(sealed[:at]), sealed[at:]) {
		return nil, &TagError{Sequence: s.sequence}
	}
	return sealed[:at], nil
}
