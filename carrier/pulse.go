package carrier

import (
	"encoding/binary"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Pulse is the short form of a Member, sent if the receiver already knows the member.
type Pulse struct {
	// ID is a hash of the member's name and incarnation.
	ID        uint32
	Sequence  uint64
	AgeMillis uint32
	// State is at most maxPulseState; other values are sent as 0.
	State uint8
}

// PulseList is a list of pulses. Heartbeats of a large fleet consist mostly of pulses, so that each one is encoded in some
// eight bytes: the ID (4 bytes, big-endian), the sequence number, and the age with the state in its lowest bits, both as
// unsigned varints.
type PulseList []Pulse

const (
	pulseIDSize    = 4
	pulseStateBits = 3
	maxPulseState  = 1<<pulseStateBits - 1
	// maxPulses bounds the memory that a faulty peer can make an entry use.
	maxPulses = 4096
	// typicalPulseSize is the usual size of an encoded pulse in bytes.
	typicalPulseSize = 8
	maxPulseSize     = pulseIDSize + 2*binary.MaxVarintLen64
)

// PulseError reports a list of pulses that can't be decoded. Offset is the position in bytes of the pulse at fault.
type PulseError struct {
	Offset int
	Reason string
}

func (e *PulseError) Error() string {
	return fmt.Sprintf("pulse at byte %d: %s", e.Offset, e.Reason)
}

// MarshalMsg appends the list to b as MessagePack binary data.
func (l PulseList) MarshalMsg(b []byte) ([]byte, error) {
	return msgp.AppendBytes(b, encodePulses(l)), nil
}

// UnmarshalMsg decodes the list from the beginning of b and returns the rest. Its errors include *PulseError.
func (l *PulseList) UnmarshalMsg(b []byte) ([]byte, error) {
	data, rest, err := msgp.ReadBytesZC(b)
	if err != nil {
		return b, err
	}
	*l, err = decodePulses(data)
	return rest, err
}

// EncodeMsg writes the list to w as MessagePack binary data.
func (l PulseList) EncodeMsg(w *msgp.Writer) error { return w.WriteBytes(encodePulses(l)) }

// DecodeMsg reads the list from r. Its errors include *PulseError.
func (l *PulseList) DecodeMsg(r *msgp.Reader) error {
	data, err := r.ReadBytes(nil)
	if err != nil {
		return err
	}
	*l, err = decodePulses(data)
	return err
}

// Msgsize returns an upper bound of the encoded size in bytes.
func (l PulseList) Msgsize() int { return msgp.BytesPrefixSize + maxPulseSize*len(l) }

func encodePulses(list PulseList) []byte {
	data := make([]byte, 0, typicalPulseSize*len(list))
	for _, p := range list {
		if p.State > maxPulseState {
			p.State = 0
		}
		data = binary.BigEndian.AppendUint32(data, p.ID)
		data = binary.AppendUvarint(data, p.Sequence)
		data = binary.AppendUvarint(data, uint64(p.AgeMillis)<<pulseStateBits|uint64(p.State))
	}
	return data
}

func decodePulses(data []byte) (PulseList, error) {
	list := make(PulseList, 0, min(len(data)/typicalPulseSize+1, maxPulses))
	for at := 0; at < len(data); {
		if len(list) == maxPulses {
			return nil, &PulseError{Offset: at, Reason: "too many pulses"}
		}
		p, size, reason := decodePulse(data[at:])
		if reason != "" {
			return nil, &PulseError{Offset: at, Reason: reason}
		}
		list = append(list, p)
		at += size
	}
	return list, nil
}

// decodePulse decodes the first pulse in data, and returns its size or what is wrong with it.
func decodePulse(data []byte) (p Pulse, size int, reason string) {
	if len(data) < pulseIDSize {
		return p, 0, "truncated ID"
	}
	p.ID = binary.BigEndian.Uint32(data)
	sequence, n := binary.Uvarint(data[pulseIDSize:])
	if n <= 0 {
		return p, 0, "invalid sequence number"
	}
	age, m := binary.Uvarint(data[pulseIDSize+n:])
	if m <= 0 || age>>pulseStateBits > 1<<32-1 {
		return p, 0, "invalid age"
	}
	p.Sequence = sequence
	p.AgeMillis = uint32(age >> pulseStateBits)
	p.State = uint8(age & maxPulseState)
	return p, pulseIDSize + n + m, ""
}
