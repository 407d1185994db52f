package quarantiner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/quarantiner"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	content = quarantiner.Digest{1}
)

func at(d time.Duration) time.Time { return start.Add(d) }

// Content ends endpoints at several entries, some of which are replaced. What each entry believes after
// their words must be the count of endpoints lost, each once, however often and by whom it is told.
func TestVerdicts(t *testing.T) {
	type entries [3]*quarantiner.Quarantiner
	tell := func(from, to *quarantiner.Quarantiner, now time.Time) { to.Merge(from.Marks(now), now) }
	tests := []struct {
		testName string
		steps    func(q entries)
		now      time.Duration
		want     quarantiner.Verdict
	}{
		{"nothing lost", func(entries) {}, 0, quarantiner.Clear},
		{"two calls lost with one endpoint", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			q[0].RecordCrash(content, "a", at(time.Millisecond))
		}, time.Second, quarantiner.Suspect},
		{"one loss seen by two and told round", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			q[1].RecordCrash(content, "a", at(2*time.Millisecond))
			tell(q[1], q[0], at(200*time.Millisecond))
			tell(q[0], q[1], at(400*time.Millisecond))
			tell(q[1], q[0], at(600*time.Millisecond))
		}, time.Second, quarantiner.Suspect},
		{"two losses at the same moment at two entries", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			q[1].RecordCrash(content, "b", at(0))
			tell(q[1], q[0], at(time.Millisecond))
		}, time.Second, quarantiner.Quarantined},
		{"told on by a third after the first has gone", func(q entries) {
			q[1].RecordCrash(content, "a", at(0))
			q[1].RecordCrash(content, "b", at(time.Second))
			tell(q[1], q[2], at(2*time.Second))
			tell(q[2], q[0], at(3*time.Second))
		}, time.Minute, quarantiner.Quarantined},
		{"answered alone, though a peer still tells", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			tell(q[0], q[1], at(time.Second))
			q[0].RecordSuccess(content, at(2*time.Second))
			tell(q[1], q[0], at(3*time.Second))
		}, 4 * time.Second, quarantiner.Clear},
		{"cleared, then another endpoint is lost", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			q[0].RecordSuccess(content, at(time.Second))
			q[0].RecordCrash(content, "b", at(2*time.Second))
		}, 3 * time.Second, quarantiner.Quarantined},
		{"expired, though peers keep telling each other", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			for i := range 1200 {
				now := at(time.Duration(i) * time.Second)
				tell(q[0], q[1], now)
				tell(q[1], q[0], now)
			}
		}, 20 * time.Minute, quarantiner.Clear},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			var q entries
			for i := range q {
				q[i] = quarantiner.New(quarantiner.Config{})
			}
			tt.steps(q)
			require.Equal(t, tt.want, q[0].Verdict(content, at(tt.now)))
		})
	}
}

// A caller can make as much content that ends endpoints as it likes: the marks stay bounded.
func TestMarksAreBounded(t *testing.T) {
	q := quarantiner.New(quarantiner.Config{MaxMarks: 10})
	for i := range 100 {
		q.RecordCrash(quarantiner.Digest{byte(i)}, "a", start)
	}
	require.Len(t, q.Marks(start), 10)
	require.Equal(t, quarantiner.Clear, q.Verdict(quarantiner.Digest{1}, start))
	require.Equal(t, quarantiner.Suspect, q.Verdict(quarantiner.Digest{99}, start))
}
