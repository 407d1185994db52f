package pacer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"geraniumline/pacer"
)

// TestStepForRoundsUp holds that no caller is told to come back before its time, nor much after.
func TestStepForRoundsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.Int64Range(0, int64(pacer.MaxWait)).Draw(t, "wait"))
		told := pacer.StepWait(pacer.StepFor(wait))
		require.GreaterOrEqual(t, told, wait)
		require.LessOrEqual(t, told, max(pacer.MinWait, wait*116/100))
	})
	require.Equal(t, pacer.MaxWait, pacer.StepWait(pacer.StepFor(time.Hour)))
}
