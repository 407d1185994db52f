package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/pacer"
)

// Callers must not be told to retry before their time, nor much after it.
func TestStepForRoundsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.Int64Range(0, int64(pacer.MaxWait)).Draw(t, "wait"))
		got := pacer.StepWait(pacer.StepFor(wait))
		require.GreaterOrEqual(t, got, wait)
		require.LessOrEqual(t, got, max(pacer.MinWait, wait*116/100))
	})
	require.Equal(t, pacer.MaxWait, pacer.StepWait(pacer.StepFor(time.Hour)))
}
