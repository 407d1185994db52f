package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A key's age decides whether its fate is still remembered, so the age must be in the key itself.
func TestBirth(t *testing.T) {
	born, err := KeyTime(testKey)
	require.NoError(t, err)
	require.Equal(t, bornMillis, born.UnixMilli())
	for _, s := range []struct{ testName, key string }{
		{"a version that holds no time", "018bcfe5-6800-4000-8000-000000000001"},
		{"another text form of the same bytes", "{" + testKey + "}"},
		{"no hyphens", "018bcfe5680070008000000000000001"},
		{"another variant", "018bcfe5-6800-7000-c000-000000000001"},
		{"words", "ticket-2026-12-02"},
		{"nothing", ""},
	} {
		t.Run(s.testName, func(t *testing.T) {
			var format *KeyFormatError
			_, err := KeyTime(s.key)
			require.ErrorAs(t, err, &format)
		})
	}
}

func TestCheckAge(t *testing.T) {
	now := noon.Add(time.Hour)
	require.NoError(t, CheckAge(now.Add(-10*time.Minute), now, 10*time.Minute))
	require.NoError(t, CheckAge(now.Add(MaxSkew), now, 10*time.Minute))
	var old *KeyTooOldError
	require.ErrorAs(t, CheckAge(now.Add(-10*time.Minute-time.Millisecond), now, 10*time.Minute), &old)
	var future *KeyFromFutureError
	require.ErrorAs(t, CheckAge(now.Add(MaxSkew+time.Millisecond), now, 10*time.Minute), &future)
}
