package verifier

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMatches(t *testing.T) {
	credential := GenerateCredential()
	hash := HashCredential(credential)
	require.NotEqual(t, credential, GenerateCredential())
	scenarios := []struct {
		testName   string
		credential string
		hash       string
		want       bool
	}{
		{"right", credential, hash, true},
		{"hash in upper case", credential, strings.ToUpper(hash), true},
		{"wrong", credential + "x", hash, false},
		{"empty credential", "", HashCredential(""), false},
		{"truncated hash", credential, hash[:62], false},
		{"hash not hex", credential, strings.Repeat("z", 64), false},
		{"empty hash", credential, "", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			require.Equal(t, s.want, Matches(s.credential, s.hash))
		})
	}
}

// A broken client sends wrong credentials in a loop, from more and more addresses. Its address is throttled after the
// burst and regains allowance each minute; other addresses are not affected. The number of tracked addresses stays
// bounded by dropping the least recently used.
func TestRecordFailureThrottlesEachAddressInBoundedMemory(t *testing.T) {
	v := New(Config{Burst: 3, PerMinute: 2, MaxAddresses: 10})
	now := time.Unix(1000, 0)
	for range 3 {
		require.False(t, v.RecordFailure("10.0.0.1", now))
	}
	require.True(t, v.RecordFailure("10.0.0.1", now))
	require.False(t, v.RecordFailure("10.0.0.2", now))

	require.False(t, v.RecordFailure("10.0.0.1", now.Add(30*time.Second)))
	require.True(t, v.RecordFailure("10.0.0.1", now.Add(30*time.Second)))
	require.True(t, v.RecordFailure("10.0.0.1", now), "a clock set back refills nothing")

	for i := range 1000 {
		v.RecordFailure(fmt.Sprintf("10.1.0.%d", i), now)
		v.RecordFailure("10.0.0.1", now)
	}
	require.Equal(t, 10, v.Addresses())
	require.True(t, v.RecordFailure("10.0.0.1", now), "an address in use was dropped")
}
