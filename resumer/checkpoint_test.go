package resumer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/locator"
)

func TestACheckpointNeedsAnObservation(t *testing.T) {
	_, found := NewHistory(true).Checkpoint(locator.At(0, 1), start)
	require.False(t, found)
}

// Guards against streams that are refused after a restart although only one version was ever registered.
func TestARestoredHistoryReachesBack(t *testing.T) {
	for name, firstStart := range map[string]bool{"since the first start": true, "since a minute": false} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(firstStart)
			h.Observe(list("v1"), at(0))
			c, found := h.Checkpoint(locator.At(0, 7), at(60))
			require.True(t, found)
			require.Equal(t, []Listing{{Service: "model", Version: "v1"}}, c.Listings)
			restarted := NewHistory(false)
			restarted.Observe(list("v1"), at(70))
			require.False(t, restarted.View("model", minWindow, at(71)).FullWindow)
			restarted.Restore(c, list("v1"), at(71))
			require.Equal(t, View{Listed: true, Version: "v1", FullWindow: true}, restarted.View("model", minWindow, at(71)))
			require.Equal(t, firstStart, restarted.View("model", MaxWindow, at(71)).FullWindow)
		})
	}
}

// Guards against streams that are joined after a restart, when one of their versions is no longer listed.
func TestARestoredHistoryShowsVersionsThatHaveGone(t *testing.T) {
	h := NewHistory(true)
	h.Observe(list("v1", "v2"), at(0))
	h.Observe(list("v2"), at(10))
	c, _ := h.Checkpoint(locator.At(0, 7), at(30))
	require.Equal(t, []Listing{{"model", "v1", 20 * time.Second}, {"model", "v2", 0}}, c.Listings)

	restarted := NewHistory(false)
	restarted.Observe(list("v2"), at(100))
	restarted.Restore(c, list(), at(100))
	require.True(t, restarted.View("model", minWindow, at(100)).Several, "the time without entries does not count")
	require.True(t, restarted.View("model", minWindow, at(125)).Several, "an entry with an old list may have used it later")
	require.False(t, restarted.View("model", minWindow, at(126)).Several)

	restarted = NewHistory(false)
	restarted.Observe(list("v2"), at(100))
	restarted.Restore(Checkpoint{SinceFirstStart: true}, list("v1"), at(100))
	require.True(t, restarted.View("model", minWindow, at(130)).Several, "registered after the checkpoint")
}

// Guards against a history that counts as complete although lists were missed.
func TestAnInterruptedHistoryIsNotComplete(t *testing.T) {
	h := NewHistory(true)
	h.Observe(list("v1"), at(0))
	h.Interrupt(at(40))
	h.Observe(list("v1"), at(40))
	require.False(t, h.View("model", minWindow, at(69)).FullWindow)
	require.True(t, h.View("model", minWindow, at(70)).FullWindow)
	h.Note(list("v2"), at(71))
	h.Observe(list("v1"), at(71))
	require.True(t, h.View("model", minWindow, at(72)).Several)
}

func TestPlanRestore(t *testing.T) {
	for _, tc := range []struct {
		name              string
		checkpoint, first locator.Position
		want              RestorePlan
	}{
		{"written after the first list", locator.At(1, 9), locator.At(1, 8), ApplyCheckpoint{}},
		{"written at the first list", locator.At(1, 8), locator.At(1, 8), ApplyCheckpoint{}},
		{"of a later era", locator.At(2, 3), locator.At(1, 8), ApplyCheckpoint{}},
		{"written before", locator.At(1, 7), locator.At(1, 8), ReadSince{locator.At(1, 7), locator.At(1, 8)}},
		{"of an earlier era", locator.At(0, 9), locator.At(1, 8), AwaitCheckpoint{}},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, PlanRestore(tc.checkpoint, tc.first)) })
	}
}
