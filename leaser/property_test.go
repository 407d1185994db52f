package leaser

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"geraniumline/recorder"
)

// reader is an entry that reads the stream independently of the others.
type reader struct {
	leaser *Leaser
	// next is the index of the next record to read.
	next int
}

// No two entries hold the lease at once, and a later holder's fencing token is above an earlier one's: whether appends
// arrive late, out of order or never, whenever each entry reads, however long it is paused, and even if retention drops
// records before an entry has read them.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{now: start, skew: -time.Hour}
		var readers []*reader
		var inFlight [][]byte
		names := []string{"a", "b", "c"}
		incarnation := uint64(0)
		startReader := func() {
			incarnation++
			x := &reader{leaser: New(Config{Entry: names[incarnation%3], Incarnation: incarnation, Stagger: time.Millisecond})}
			x.dropUnread(rapid.IntRange(0, len(m.records)).Draw(r, "lost"), m)
			readers = append(readers, x)
		}
		for range names {
			startReader()
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
					inFlight = append(inFlight, data)
				}
			},
			"append": func(r *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				at := rapid.IntRange(0, len(inFlight)-1).Draw(r, "which")
				if rapid.IntRange(0, 4).Draw(r, "fate") > 0 {
					m.appendRecord(inFlight[at])
				}
				inFlight = slices.Delete(inFlight, at, at+1)
			},
			"read": func(r *rapid.T) {
				x := rapid.SampledFrom(readers).Draw(r, "entry")
				x.apply(m.records[x.next:], m.now)
			},
			"drop": func(r *rapid.T) {
				x := rapid.SampledFrom(readers).Draw(r, "entry")
				x.dropUnread(rapid.IntRange(x.next, len(m.records)).Draw(r, "lost"), m)
			},
			"start": func(r *rapid.T) {
				if len(readers) < 8 {
					startReader()
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
						r.Fatalf("entries %d and %d both hold the lease", holder, i)
					}
					holder = i
					if i != lastHolder && lease.Granted <= lastGranted {
						r.Fatalf("holder %d has fencing token %d, not above %d", i, lease.Granted, lastGranted)
					}
					lastHolder, lastGranted = i, lease.Granted
				}
			},
		})
	})
}

// dropUnread has retention drop the records before index to, which the entry has not read.
func (x *reader) dropUnread(to int, m *model) {
	if to > x.next {
		x.leaser.ResetOnGap(m.records[to-1].Offset+1, m.now)
		x.next = to
	}
}

func (x *reader) apply(records []recorder.Record, now time.Time) {
	for _, record := range records {
		x.leaser.Apply(record, now)
	}
	x.next += len(records)
}
