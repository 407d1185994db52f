package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"

	"geraniumline/carrier"
)

const (
	nonceSize = 32
	maxName   = 128
)

// Labels keep the uses of the shared key apart. The dialer's and the listener's proofs differ, so a proof
// can't be sent back to its maker (reflection) or used as a frame key.
const (
	dialerLabel   = "geraniumline peers 1 dialer"
	listenerLabel = "geraniumline peers 1 listener"
	frameLabel    = "geraniumline peers 1 frames"
)

// ProofError tells of a peer that does not know the shared key.
type ProofError struct {
	Entry string
}

func (e *ProofError) Error() string {
	return fmt.Sprintf("peer %q does not prove that it knows the shared key", e.Entry)
}

// HandshakeError tells of a peer that does not follow the handshake.
type HandshakeError struct {
	Reason string
}

func (e *HandshakeError) Error() string {
	return "handshake: " + e.Reason
}

// handshake proves the shared key in both directions. Both sides send a challenge; the dialer proves first, so
// that a listener gives whoever can connect nothing to try keys against.
type handshake struct {
	conn   io.ReadWriter
	frames *frameReader
	key    []byte
	// others are keys that a dialer may prove instead.
	others [][]byte
	own    carrier.Challenge
	peer   carrier.Challenge
}

func newHandshake(conn io.ReadWriter, key []byte, name string) *handshake {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // It never fails: the runtime ends the process if there is no randomness.
	return &handshake{
		conn:   conn,
		frames: &frameReader{r: conn, limit: handshakeLimit},
		key:    key,
		own:    carrier.Challenge{Nonce: nonce, Entry: name},
	}
}

// dial is the dialer's side. It gives the peer's name and the sealer for the frames to send.
func (h *handshake) dial() (string, *sealer, error) {
	if err := h.send(&h.own); err != nil {
		return "", nil, err
	}
	if err := h.readChallenge(); err != nil {
		return "", nil, err
	}
	if err := h.send(&carrier.Proof{Mac: h.derive(dialerLabel, &h.own, &h.peer)}); err != nil {
		return "", nil, err
	}
	if err := h.check(h.derive(listenerLabel, &h.own, &h.peer)); err != nil {
		return "", nil, err
	}
	return h.peer.Entry, newSealer(h.derive(frameLabel, &h.own, &h.peer)), nil
}

// accept is the listener's side. It gives the peer's name and the sealer for the frames to read.
func (h *handshake) accept() (string, *sealer, error) {
	if err := h.readChallenge(); err != nil {
		return "", nil, err
	}
	if err := h.send(&h.own); err != nil {
		return "", nil, err
	}
	if err := h.checkAny(); err != nil {
		return "", nil, err
	}
	if err := h.send(&carrier.Proof{Mac: h.derive(listenerLabel, &h.peer, &h.own)}); err != nil {
		return "", nil, err
	}
	return h.peer.Entry, newSealer(h.derive(frameLabel, &h.peer, &h.own)), nil
}

func (h *handshake) send(m carrier.Message) error {
	body, err := m.MarshalMsg(nil)
	if err != nil {
		return err
	}
	_, err = h.conn.Write(appendFrame(nil, m.Kind(), body, nil))
	return err
}

func (h *handshake) readChallenge() error {
	m, err := h.frames.nextOf(carrier.KindChallenge)
	if err != nil {
		return err
	}
	c := m.(*carrier.Challenge)
	switch {
	case len(c.Nonce) != nonceSize:
		return &HandshakeError{Reason: "nonce of a wrong length"}
	case c.Entry == "" || len(c.Entry) > maxName:
		return &HandshakeError{Reason: "name of a wrong length"}
	}
	h.peer = *c
	return nil
}

// check reads the listener's proof.
func (h *handshake) check(want []byte) error {
	proof, err := h.readProof()
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, want) {
		return &ProofError{Entry: h.peer.Entry}
	}
	return nil
}

// checkAny reads the dialer's proof, and goes on with the key that it proves.
func (h *handshake) checkAny() error {
	proof, err := h.readProof()
	if err != nil {
		return err
	}
	for _, key := range append([][]byte{h.key}, h.others...) {
		h.key = key
		if hmac.Equal(proof, h.derive(dialerLabel, &h.peer, &h.own)) {
			return nil
		}
	}
	return &ProofError{Entry: h.peer.Entry}
}

func (h *handshake) readProof() ([]byte, error) {
	m, err := h.frames.nextOf(carrier.KindProof)
	if err != nil {
		return nil, err
	}
	return m.(*carrier.Proof).Mac, nil
}

// derive gives a value that only who knows the shared key can make, for this use and this connection.
func (h *handshake) derive(label string, dialer, listener *carrier.Challenge) []byte {
	mac := hmac.New(sha256.New, h.key)
	parts := [][]byte{
		[]byte(label),
		dialer.Nonce, listener.Nonce,
		[]byte(dialer.Entry), []byte(listener.Entry),
	}
	for _, part := range parts {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}
