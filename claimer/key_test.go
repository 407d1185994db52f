package claimer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A key's age determines whether its outcome is still stored, so the key itself must contain its creation time.
func TestKeyTime(t *testing.T) {
	created, err := KeyTime(testKey)
	require.NoError(t, err)
	require.Equal(t, createdMillis, created.UnixMilli())
	for _, s := range []struct{ testName, key string }{
		{"a version without a timestamp", "018bcfe5-6800-4000-8000-000000000001"},
		{"another text form of the same bytes", "{" + testKey + "}"},
		{"no hyphens", "018bcfe5680070008000000000000001"},
		{"another variant", "018bcfe5-6800-7000-c000-000000000001"},
		{"words", "ticket-2026-12-02"},
		{"nothing", ""},
	} {
		t.Run(s.testName, func(t *testing.T) {
			var formatErr *KeyFormatError
			_, err := KeyTime(s.key)
			require.ErrorAs(t, err, &formatErr)
		})
	}
}

func TestCheckAge(t *testing.T) {
	now := testTime.Add(time.Hour)
	require.NoError(t, CheckAge(now.Add(-10*time.Minute), now, 10*time.Minute))
	require.NoError(t, CheckAge(now.Add(MaxSkew), now, 10*time.Minute))
	var tooOld *KeyTooOldError
	require.ErrorAs(t, CheckAge(now.Add(-10*time.Minute-time.Millisecond), now, 10*time.Minute), &tooOld)
	var fromFuture *KeyFromFutureError
	require.ErrorAs(t, CheckAge(now.Add(MaxSkew+time.Millisecond), now, 10*time.Minute), &fromFuture)
}
