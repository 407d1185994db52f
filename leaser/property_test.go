package leaser

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumline/recorder"
)

// reader is an entry that reads the stream at its own pace.
type reader struct {
	leaser *Leaser
	read   int
}

// Whatever appends do (land late, out of turn or never), whenever each entry reads, however long any is paused, and
// though retention drops records before an entry has read them: no two hold the lease at once, and a later holder's
// number is above an earlier one's.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{now: start, skew: -time.Hour}
		var readers []*reader
		var flying [][]byte
		names := []string{"a", "b", "c"}
		incarnation := uint64(0)
		begin := func() {
			incarnation++
			x := &reader{leaser: New(Config{Entry: names[incarnation%3], Incarnation: incarnation, Stagger: time.Millisecond})}
			x.lose(rapid.IntRange(0, len(m.records)).Draw(r, "lost"), m)
			readers = append(readers, x)
		}
		for range names {
			begin()
		}
		lastGranted := int64(0)
		lastHolder := -1
		r.Repeat(map[string]func(*rapid.T){
			"time": func(r *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(r, "ms")) * time.Millisecond)
			},
			"bid": func(r *rapid.T) {
				x := rapid.SampledFrom(readers).Draw(r, "entry")
				if data, _, due := x.leaser.AcquireOrRenew(testPool, 0, m.now); due {
					flying = append(flying, data)
				}
			},
			"land": func(r *rapid.T) {
				if len(flying) == 0 {
					return
				}
				at := rapid.IntRange(0, len(flying)-1).Draw(r, "which")
				if rapid.IntRange(0, 4).Draw(r, "fate") > 0 {
					m.land(flying[at])
				}
				flying = slices.Delete(flying, at, at+1)
			},
			"read": func(r *rapid.T) {
				x := rapid.SampledFrom(readers).Draw(r, "entry")
				x.take(m.records[x.read:], m.now)
			},
			"lose": func(r *rapid.T) {
				x := rapid.SampledFrom(readers).Draw(r, "entry")
				x.lose(rapid.IntRange(x.read, len(m.records)).Draw(r, "lost"), m)
			},
			"start": func(r *rapid.T) {
				if len(readers) < 8 {
					begin()
				}
			},
			"": func(r *rapid.T) {
				holder := -1
				for i, x := range readers {
					lease, held := x.leaser.Held(testPool, m.now)
					if !held {
						continue
					}
					if holder >= 0 {
						r.Fatalf("%d and %d hold the lease", holder, i)
					}
					holder = i
					if i != lastHolder && lease.Granted <= lastGranted {
						r.Fatalf("holder %d has number %d after %d", i, lease.Granted, lastGranted)
					}
					lastHolder, lastGranted = i, lease.Granted
				}
			},
		})
	})
}

// lose has retention drop the records up to one before the entry has read them.
func (x *reader) lose(to int, m *model) {
	if to > x.read {
		x.leaser.ResetOnGap(m.records[to-1].Offset+1, m.now)
		x.read = to
	}
}

func (x *reader) take(records []recorder.Record, now time.Time) {
	for _, record := range records {
		x.leaser.Apply(record, now)
	}
	x.read += len(records)
}
