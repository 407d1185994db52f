package quarantiner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/quarantiner"
)

const (
	shared quarantiner.Part = iota + 1
	crashing
	other
)

func process(n int) quarantiner.Process { return quarantiner.Process(n + 100) }

// partEntries are entries that exchange what they know of parts.
type partEntries [3]*quarantiner.Parts

func newPartEntries() partEntries {
	var q partEntries
	for i := range q {
		q[i] = quarantiner.NewParts(quarantiner.PartsConfig{})
	}
	return q
}

func (q partEntries) send(from, to int, now time.Time) { q[to].Merge(q[from].Changes(now), now) }

func (q partEntries) crash(entry, n int, now time.Time, parts ...quarantiner.Part) {
	q[entry].RecordCrash(parts, process(n), now)
}

// crashes records n crashes at one entry, a second apart.
func (q partEntries) crashes(entry, n int, parts ...quarantiner.Part) {
	for i := range n {
		q.crash(entry, i, at(time.Duration(i)*time.Second), parts...)
	}
}

// failTrial takes a trial and lets it crash another process.
func (q partEntries) failTrial(t *testing.T, entry, n int, now time.Time, parts ...quarantiner.Part) {
	t.Helper()
	require.IsType(t, quarantiner.SendAsTrial{}, q[entry].Verdict(parts, now))
	require.True(t, q[entry].TakeTrial(parts, uint64(n), now))
	q.crash(entry, n, now.Add(100*time.Millisecond), parts...)
}

func TestPartVerdicts(t *testing.T) {
	tests := []struct {
		testName string
		steps    func(t *testing.T, q partEntries)
		parts    []quarantiner.Part
		now      time.Duration
		want     quarantiner.PartVerdict
	}{
		{"two crashes", func(_ *testing.T, q partEntries) {
			q.crashes(0, 2, crashing)
		}, []quarantiner.Part{crashing}, 3 * time.Second, quarantiner.SendFreely{}},
		{"three crashes", func(_ *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
		}, []quarantiner.Part{shared, crashing}, 3 * time.Second, quarantiner.SendAsTrial{Part: crashing}},
		{"three requests lost with one process", func(_ *testing.T, q partEntries) {
			for range 3 {
				q.crash(0, 1, at(0), crashing)
			}
		}, []quarantiner.Part{crashing}, time.Second, quarantiner.SendFreely{}},
		{"one crash at each of three entries", func(_ *testing.T, q partEntries) {
			for i := range 3 {
				q.crash(i, i, at(0), crashing)
			}
			q.send(2, 1, at(time.Second))
			q.send(1, 0, at(2*time.Second))
		}, []quarantiner.Part{crashing}, 3 * time.Second, quarantiner.SendAsTrial{Part: crashing}},
		{"one crash seen by three entries", func(_ *testing.T, q partEntries) {
			for i := range 3 {
				q.crash(i, 1, at(time.Duration(i)*time.Millisecond), crashing)
			}
			q.send(1, 0, at(time.Second))
			q.send(2, 0, at(time.Second))
		}, []quarantiner.Part{crashing}, 3 * time.Second, quarantiner.SendFreely{}},
		{"answered after two of three crashes", func(_ *testing.T, q partEntries) {
			q.crashes(0, 2, crashing)
			q[0].RecordAnswer([]quarantiner.Part{crashing}, at(1500*time.Millisecond))
			q.crash(0, 2, at(2*time.Second), crashing)
		}, []quarantiner.Part{crashing}, 3 * time.Second, quarantiner.SendFreely{}},
		{"answered before the crashes", func(_ *testing.T, q partEntries) {
			q[0].RecordAnswer([]quarantiner.Part{crashing}, at(-time.Second))
			q.crashes(0, 3, crashing)
		}, []quarantiner.Part{crashing}, 3 * time.Second, quarantiner.SendAsTrial{Part: crashing}},
		{"answered at an entry that did not see the crashes", func(_ *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
			q.send(0, 1, at(3*time.Second))
			q[1].RecordAnswer([]quarantiner.Part{crashing}, at(4*time.Second))
			q.send(1, 0, at(5*time.Second))
		}, []quarantiner.Part{crashing}, 6 * time.Second, quarantiner.SendFreely{}},
		{"answered, though a peer still reports the crashes", func(_ *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
			q.send(0, 1, at(3*time.Second))
			q[0].RecordAnswer([]quarantiner.Part{crashing}, at(4*time.Second))
			q[0].Merge(q[1].All(at(5*time.Second)), at(5*time.Second))
		}, []quarantiner.Part{crashing}, 6 * time.Second, quarantiner.SendFreely{}},
		{"a request without the part that comes with the crashing one", func(_ *testing.T, q partEntries) {
			q.crashes(0, 3, shared, crashing)
		}, []quarantiner.Part{shared}, 3 * time.Second, quarantiner.SendFreely{}},
		{"a part that crashes also where another crashing one is missing", func(_ *testing.T, q partEntries) {
			q.crashes(0, 3, shared, crashing)
			for i := range 3 {
				q.crash(0, 10+i, at(5*time.Second), crashing, other)
			}
		}, []quarantiner.Part{crashing, other}, 6 * time.Second, quarantiner.SendAsTrial{Part: other}},
		{"a trial under way", func(t *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
			require.True(t, q[0].TakeTrial([]quarantiner.Part{crashing}, 1, at(3*time.Second)))
		}, []quarantiner.Part{crashing}, 4 * time.Second, quarantiner.AwaitTrial{Until: at(6 * time.Second)}},
		{"a trial that failed", func(t *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
			q.failTrial(t, 0, 3, at(3*time.Second), crashing)
		}, []quarantiner.Part{crashing}, 4 * time.Second, quarantiner.Refuse{Part: crashing, Crashes: 4, RetryAfter: 19*time.Second + 100*time.Millisecond}},
		{"a trial without a result", func(t *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
			require.True(t, q[0].TakeTrial([]quarantiner.Part{crashing}, 1, at(3*time.Second)))
		}, []quarantiner.Part{crashing}, 7 * time.Second, quarantiner.SendAsTrial{Part: crashing}},
		{"a trial of which an entry learned that did not grant it", func(t *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
			q.failTrial(t, 0, 3, at(3*time.Second), crashing)
			q.send(0, 1, at(4*time.Second))
			q[0] = q[1]
		}, []quarantiner.Part{crashing}, 5 * time.Second, quarantiner.Refuse{Part: crashing, Crashes: 4, RetryAfter: 18*time.Second + 100*time.Millisecond}},
		{"no request for a long time", func(_ *testing.T, q partEntries) {
			q.crashes(0, 3, crashing)
			q[0].Expire(at(11 * time.Minute))
		}, []quarantiner.Part{crashing}, 11 * time.Minute, quarantiner.SendFreely{}},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			q := newPartEntries()
			tt.steps(t, q)
			require.Equal(t, tt.want, q[0].Verdict(tt.parts, at(tt.now)))
		})
	}
}

// Guards against a part that is tried again and again as long as requests with it come.
func TestTrialsOfAPartAreFew(t *testing.T) {
	q, now, trials := newPartEntries(), at(0), 0
	q.crashes(0, 3, crashing)
	for now.Before(at(2 * time.Hour)) {
		now = now.Add(time.Second)
		q[0].Expire(now)
		switch v := q[0].Verdict([]quarantiner.Part{crashing}, now).(type) {
		case quarantiner.SendAsTrial:
			trials++
			q.failTrial(t, 0, 10+trials, now, crashing)
		case quarantiner.Refuse:
			q[0].RecordRefusal(v.Part, now)
		default:
			require.Fail(t, "not quarantined", "%T after %v", v, now.Sub(at(0)))
		}
	}
	require.Equal(t, 3, trials)
}

// Guards against a part that is quarantined at one entry and forgotten at others, where no request with it has come for long.
func TestAHeldPartStaysKnownToAllEntries(t *testing.T) {
	q := newPartEntries()
	q.crashes(0, 3, crashing)
	for now := at(4 * time.Second); now.Before(at(time.Hour)); now = now.Add(time.Second) {
		q[0].RecordRefusal(crashing, now)
		q.send(0, 1, now)
		q.send(1, 2, now)
		for i := range q {
			q[i].Expire(now)
			require.NotEqual(t, quarantiner.SendFreely{}, q[i].Verdict([]quarantiner.Part{crashing}, now))
		}
	}
}

// Guards against entries that send each other all they know for ever, although they know the same.
func TestEntriesThatExchangedPartsAgree(t *testing.T) {
	q := newPartEntries()
	require.NotZero(t, q[0].Sum())
	for i := range 40 {
		q.crash(i%3, i, at(time.Duration(i)*time.Millisecond), crashing, shared, other)
	}
	q[1].RecordAnswer([]quarantiner.Part{shared}, at(time.Second))
	require.NotEqual(t, q[0].Sum(), q[1].Sum())
	for round := range 4 {
		now := at(time.Duration(round+2) * time.Second)
		for from := range q {
			for to := range q {
				q[to].Merge(q[from].All(now), now)
			}
		}
	}
	require.Equal(t, q[0].Sum(), q[1].Sum())
	require.Equal(t, q[1].Sum(), q[2].Sum())
	q[0].Expire(at(time.Hour))
	require.Equal(t, quarantiner.NewParts(quarantiner.PartsConfig{}).Sum(), q[0].Sum())
}

// Guards against memory that grows with parts that a caller invents, and against a quarantined part that these push out.
func TestPartsAreBounded(t *testing.T) {
	q := newPartEntries()
	q.crashes(0, 3, crashing)
	for i := range 1000 {
		q.crash(0, 1000+i, at(3*time.Second), quarantiner.Part(1000+i))
	}
	require.Len(t, q[0].All(at(3*time.Second)), 256)
	require.IsType(t, quarantiner.SendAsTrial{}, q[0].Verdict([]quarantiner.Part{crashing}, at(4*time.Second)))
	for i := range 1000 {
		q.crash(0, 2000+i, at(4*time.Second), crashing)
	}
	for _, m := range q[0].All(at(5 * time.Second)) {
		require.LessOrEqual(t, len(m.Observations), 16)
	}
}
