package regulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/registrar"
)

// Guards against calls to an endpoint that wants none, or too many, once its registration expires and returns.
func TestNoticesReturnWithTheRegistration(t *testing.T) {
	started := time.UnixMilli(1000)
	e := &registrar.Endpoint{ID: "a", Started: started}
	tests := []struct {
		testName  string
		returning time.Time
		after     time.Duration
		want      bool
	}{
		{"same process", started, time.Minute, true},
		{"later process", started.Add(time.Second), time.Minute, false},
		{"same process much later", started, 6 * time.Minute, false},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			r := newRegulator("entry", []string{"entry"})
			r.ApplyNotice(e, Notice{Leaving: true, Rest: time.Minute, Limited: true, PerSecond: 5, Fragile: true, MaxRefusals: 9}, now)
			r.Retain(listOf("b", started), now)
			require.False(t, r.IsLeaving("a"))
			require.Empty(t, r.LimitedEndpoints())
			r.Retain(listOf("b", started), now.Add(tt.after))
			r.Retain(listOf("a", tt.returning), now.Add(tt.after))
			require.Equal(t, tt.want, r.IsLeaving("a"))
			require.Equal(t, tt.want, r.Resting("a", now))
			_, limited := r.Limit("a")
			require.Equal(t, tt.want, limited)
			require.Equal(t, tt.want, len(r.FragileEndpoints()) == 1)
		})
	}
}

// Guards against memory that grows with endpoints that come and go.
func TestDepartedEndpointsAreBounded(t *testing.T) {
	r := newRegulator("entry", []string{"entry"})
	for i := range 2 * maxDeparted {
		r.MarkLeaving(LeavingEndpoint{Endpoint: fmt.Sprint(i), Started: time.UnixMilli(1000)})
		r.Retain(listOf("b", time.UnixMilli(1000)), now.Add(time.Duration(i)*time.Millisecond))
	}
	require.Len(t, r.departed, maxDeparted)
}
