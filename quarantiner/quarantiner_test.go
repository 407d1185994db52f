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

// Content crashes endpoints at several entries, some of which are replaced. The verdict of each entry after
// exchanging marks must reflect the number of endpoints lost, each counted once no matter how often and by which
// entry it is reported.
func TestVerdicts(t *testing.T) {
	type entries [3]*quarantiner.Quarantiner
	send := func(from, to *quarantiner.Quarantiner, now time.Time) { to.Merge(from.Marks(now), now) }
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
		{"one loss seen by two entries and sent back and forth", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			q[1].RecordCrash(content, "a", at(2*time.Millisecond))
			send(q[1], q[0], at(200*time.Millisecond))
			send(q[0], q[1], at(400*time.Millisecond))
			send(q[1], q[0], at(600*time.Millisecond))
		}, time.Second, quarantiner.Suspect},
		{"two losses at the same moment at two entries", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			q[1].RecordCrash(content, "b", at(0))
			send(q[1], q[0], at(time.Millisecond))
		}, time.Second, quarantiner.Quarantined},
		{"relayed by a third entry after the first is gone", func(q entries) {
			q[1].RecordCrash(content, "a", at(0))
			q[1].RecordCrash(content, "b", at(time.Second))
			send(q[1], q[2], at(2*time.Second))
			send(q[2], q[0], at(3*time.Second))
		}, time.Minute, quarantiner.Quarantined},
		{"answered in isolation, though a peer still reports it", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			send(q[0], q[1], at(time.Second))
			q[0].RecordSuccess(content, at(2*time.Second))
			send(q[1], q[0], at(3*time.Second))
		}, 4 * time.Second, quarantiner.Clear},
		{"cleared, then another endpoint is lost", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			q[0].RecordSuccess(content, at(time.Second))
			q[0].RecordCrash(content, "b", at(2*time.Second))
		}, 3 * time.Second, quarantiner.Quarantined},
		{"expired, though peers keep sending it to each other", func(q entries) {
			q[0].RecordCrash(content, "a", at(0))
			for i := range 1200 {
				now := at(time.Duration(i) * time.Second)
				send(q[0], q[1], now)
				send(q[1], q[0], now)
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

// A caller can send any amount of content that crashes endpoints; the number of marks must stay bounded.
func TestMarksAreBounded(t *testing.T) {
	q := quarantiner.New(quarantiner.Config{MaxMarks: 10})
	for i := range 100 {
		q.RecordCrash(quarantiner.Digest{byte(i)}, "a", start)
	}
	require.Len(t, q.Marks(start), 10)
	require.Equal(t, quarantiner.Clear, q.Verdict(quarantiner.Digest{1}, start))
	require.Equal(t, quarantiner.Suspect, q.Verdict(quarantiner.Digest{99}, start))
}
