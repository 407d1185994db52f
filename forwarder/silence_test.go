package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFirstEventSilence(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name     string
		silence  firstEventSilence
		expected time.Duration
	}{
		{"a short prompt", firstEventSilence{min: 1000 * ms, predicted: 60 * ms, elsewhere: 60 * ms, left: 4800 * ms}, 1000 * ms},
		{"a long prompt", firstEventSilence{min: 1000 * ms, predicted: 800 * ms, elsewhere: 900 * ms, left: 4800 * ms}, 2400 * ms},
		{"uncertain predictions", firstEventSilence{min: 1000 * ms, predicted: 300 * ms, deviation: 200 * ms, elsewhere: 900 * ms, left: 4800 * ms}, 1700 * ms},
		{"time for another endpoint remains", firstEventSilence{min: 1000 * ms, predicted: 1200 * ms, elsewhere: 1500 * ms, left: 4000 * ms}, 2500 * ms},
		{"no time for another endpoint", firstEventSilence{min: 1000 * ms, predicted: 2000 * ms, elsewhere: 2000 * ms, left: 4000 * ms}, 3000 * ms},
		{"the caller is about to give up", firstEventSilence{min: 1000 * ms, predicted: 100 * ms, elsewhere: 100 * ms, left: 50 * ms}, 1000 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.expected, tc.silence.limit())
			require.GreaterOrEqual(t, tc.silence.limit(), tc.silence.min)
		})
	}
}
