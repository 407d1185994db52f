package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"
)

func TestProgress(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	scenarios := []struct {
		testName      string
		sends, events []int
		resumed       []int
		want          map[string]any
	}{
		{"nothing sent", nil, nil, nil, map[string]any{}},
		{"no event", []int{100, 400}, nil, nil, map[string]any{
			"firstSendAfter": 100 * time.Millisecond, "lastSendAfter": 400 * time.Millisecond,
		}},
		{"stream", []int{100, 400}, []int{600, 650, 900, 910}, nil, map[string]any{
			"firstSendAfter": 100 * time.Millisecond, "lastSendAfter": 400 * time.Millisecond,
			"firstEventAfter": 600 * time.Millisecond, "longestPause": 250 * time.Millisecond,
		}},
		{"sent again after the first event", []int{100}, []int{600}, []int{700}, map[string]any{
			"firstSendAfter": 100 * time.Millisecond, "lastSendAfter": 100 * time.Millisecond,
			"firstEventAfter": 600 * time.Millisecond, "longestPause": time.Duration(0),
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var p progress
			for _, millis := range s.sends {
				p.recordSend(at(millis))
			}
			for _, millis := range s.events {
				p.recordEvent(at(millis))
			}
			for _, millis := range s.resumed {
				p.recordSend(at(millis))
			}
			got := zapcore.NewMapObjectEncoder()
			for _, field := range p.fields(start) {
				field.AddTo(got)
			}
			require.Equal(t, s.want, got.Fields)
		})
	}
}
