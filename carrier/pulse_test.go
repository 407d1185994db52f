package carrier

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPulsesSurviveEncoding(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for n := range 300 {
		hb := Heartbeat{Pulses: make(PulseList, n)}
		for i := range hb.Pulses {
			hb.Pulses[i] = Pulse{
				ID:        rnd.Uint32(),
				Sequence:  rnd.Uint64() >> rnd.IntN(64),
				AgeMillis: rnd.Uint32() >> rnd.IntN(32),
				State:     uint8(rnd.IntN(maxPulseState + 1)),
			}
		}
		data, err := hb.MarshalMsg(nil)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), hb.Msgsize())
		var got Heartbeat
		rest, err := got.UnmarshalMsg(data)
		require.NoError(t, err)
		require.Empty(t, rest)
		require.Equal(t, hb.Pulses, got.Pulses)
	}
}

// Guards against a faulty peer's pulses that end the process or are taken for those of a member.
func TestInvalidPulsesAreRejected(t *testing.T) {
	valid := encodePulses(PulseList{{ID: 1, Sequence: 300, AgeMillis: 200, State: 1}})
	overflow := []byte{0, 0, 0, 1, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}
	for name, data := range map[string][]byte{
		"truncated ID":       append(valid[:len(valid):len(valid)], 0, 0),
		"truncated sequence": valid[:pulseIDSize+1],
		"truncated age":      valid[:len(valid)-1],
		"age out of range":   overflow,
		"too many":           encodePulses(make(PulseList, maxPulses+1)),
	} {
		_, err := decodePulses(data)
		var invalid *PulseError
		require.ErrorAs(t, err, &invalid, name)
	}
}

// Guards against heartbeats of a large fleet that grow by more than ten bytes for each member.
func TestAPulseIsSmall(t *testing.T) {
	const pulses, perSecond, hour = 200, 7, 3600
	list := make(PulseList, pulses)
	for i := range list {
		list[i] = Pulse{ID: 1 << 31, Sequence: 24 * hour * perSecond, AgeMillis: 1500, State: 1}
	}
	require.LessOrEqual(t, len(encodePulses(list)), 10*pulses)
}
