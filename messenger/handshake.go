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
	nonceSize   = 32
	maxNameSize = 128
)

// Labels separate the uses of the shared key. The dialer's and the listener's proofs differ, so a proof can't be sent
// back to its sender (reflection) or used as a frame key.
const (
	dialerLabel   = "geraniumline peers 1 dialer"
	listenerLabel = "geraniumline peers 1 listener"
	frameLabel    = "geraniumline peers 1 frames"
	replyLabel    = "geraniumline peers 1 replies"
)

// ProofError reports a peer that failed to prove that it knows the shared key.
type ProofError struct {
	Entry string
}

func (e *ProofError) Error() string {
	return fmt.Sprintf("peer %q sent an invalid proof of the shared key", e.Entry)
}

// HandshakeError reports a peer that violates the handshake protocol.
type HandshakeError struct {
	Reason string
}

func (e *HandshakeError) Error() string {
	return "handshake: " + e.Reason
}

// handshake authenticates both sides by the shared key. Both send a challenge. The dialer sends its proof first, so
// that an unauthenticated dialer obtains no proof to test keys against.
type handshake struct {
	conn   io.ReadWriter
	frames *frameReader
	key    []byte
	// otherKeys are further keys that a dialer may use.
	otherKeys [][]byte
	own       carrier.Challenge
	peer      carrier.Challenge
	// replies is the sealer for frames from the listener to the dialer.
	replies *sealer
}

func newHandshake(conn io.ReadWriter, key []byte, name string) *handshake {
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce) // Read never fails: the runtime ends the process if there is no randomness.
	return &handshake{
		conn:   conn,
		frames: &frameReader{r: conn, limit: maxHandshakeFrame},
		key:    key,
		own:    carrier.Challenge{Nonce: nonce, Entry: name},
	}
}

// dial runs the dialer's side. It returns the peer's name and the sealer for outgoing frames.
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
	if err := h.verifyListener(h.derive(listenerLabel, &h.own, &h.peer)); err != nil {
		return "", nil, err
	}
	h.replies = newSealer(h.derive(replyLabel, &h.own, &h.peer))
	return h.peer.Entry, newSealer(h.derive(frameLabel, &h.own, &h.peer)), nil
}

// accept runs the listener's side. It returns the peer's name and the sealer for incoming frames.
func (h *handshake) accept() (string, *sealer, error) {
	if err := h.readChallenge(); err != nil {
		return "", nil, err
	}
	if err := h.send(&h.own); err != nil {
		return "", nil, err
	}
	if err := h.verifyDialer(); err != nil {
		return "", nil, err
	}
	if err := h.send(&carrier.Proof{Mac: h.derive(listenerLabel, &h.peer, &h.own)}); err != nil {
		return "", nil, err
	}
	h.replies = newSealer(h.derive(replyLabel, &h.peer, &h.own))
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
		return &HandshakeError{Reason: "nonce has an invalid length"}
	case c.Entry == "" || len(c.Entry) > maxNameSize:
		return &HandshakeError{Reason: "name has an invalid length"}
	}
	h.peer = *c
	return nil
}

// verifyListener reads the listener's proof and compares it with want.
func (h *handshake) verifyListener(want []byte) error {
	proof, err := h.readProof()
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, want) {
		return &ProofError{Entry: h.peer.Entry}
	}
	return nil
}

// verifyDialer reads the dialer's proof and sets the key to the one that the proof was made with.
func (h *handshake) verifyDialer() error {
	proof, err := h.readProof()
	if err != nil {
		return err
	}
	for _, key := range append([][]byte{h.key}, h.otherKeys...) {
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

// derive computes a MAC over this connection's challenges for one use. Only holders of the shared key can compute it.
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
