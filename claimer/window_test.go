package claimer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The model's load and log: seven entries, 2,000 claims per second with Poisson arrivals, each with an outcome
// 300 ms later. An append takes 4 to 12 ms and is read back 1 ms after its reply.
const (
	windowEntries = 7
	windowRate    = 2000
	windowSeconds = 30
	runMillis     = 300
	readBack      = time.Millisecond
)

type windowEvent struct {
	at    time.Duration
	entry int
	// do runs before the batcher is polled.
	do func(now time.Time)
}

type windowQueue []windowEvent

func (q windowQueue) Len() int           { return len(q) }
func (q windowQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q windowQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *windowQueue) Push(x any)        { *q = append(*q, x.(windowEvent)) }
func (q *windowQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// windowRun is a discrete-event simulation without a wall clock, so that each run has the same results.
type windowRun struct {
	rng      *rand.Rand
	queue    windowQueue
	batchers []*Batcher
	// nextPoll holds the time of each entry's next poll, so that no time is queued twice.
	nextPoll [windowEntries]time.Time
	now      time.Duration
	appends  int
	bytes    int
	nextID   uint64
	added    map[uint64]time.Duration
	latency  *hdrhistogram.Histogram
}

func newWindowRun(window time.Duration) *windowRun {
	r := &windowRun{
		rng:     rand.New(rand.NewPCG(1, 2)),
		added:   make(map[uint64]time.Duration),
		latency: hdrhistogram.New(1, 10_000_000, 3),
	}
	for i := range windowEntries {
		r.batchers = append(r.batchers, NewBatcher(BatcherConfig{Entry: fmt.Sprint("entry", i), Window: window}))
	}
	return r
}

func (r *windowRun) after(d time.Duration, entry int, do func(time.Time)) {
	heap.Push(&r.queue, windowEvent{at: r.now + d, entry: entry, do: do})
}

func (r *windowRun) arrive(entry int) {
	r.nextID++
	id := r.nextID
	r.added[id] = r.now
	r.batchers[entry].Add(Claim{Key: requestKey, ClaimID: id})
	r.after(runMillis*time.Millisecond, entry, func(time.Time) {
		r.batchers[entry].Add(Outcome{Key: requestKey, ClaimID: id, State: StateAnswered, Answer: "a summary of the case"})
	})
	gap := time.Duration(r.rng.ExpFloat64() * float64(time.Second) / windowRate)
	next := r.rng.IntN(windowEntries)
	r.after(gap, next, func(time.Time) { r.arrive(next) })
}

// poll appends the batch that is due at an entry, and schedules the next poll.
func (r *windowRun) poll(entry int, now time.Time) {
	b := r.batchers[entry]
	if batch, ok := b.Due(now); ok {
		r.appends++
		data, _ := Encode(batch)
		r.bytes += len(data)
		r.after(4*time.Millisecond+time.Duration(r.rng.IntN(8000))*time.Microsecond, entry, func(now time.Time) {
			b.Appended(batch.BatchID, AppendDone{}, now)
			for _, record := range batch.Records {
				if c, ok := record.(Claim); ok {
					_ = r.latency.RecordValue((r.now - r.added[c.ClaimID] + readBack).Microseconds())
					delete(r.added, c.ClaimID)
				}
			}
		})
	}
	if next, ok := b.Next(now); ok && next.After(now) && next != r.nextPoll[entry] {
		r.nextPoll[entry] = next
		r.after(next.Sub(now), entry, func(time.Time) {})
	}
}

func (r *windowRun) run() {
	r.after(0, 0, func(time.Time) { r.arrive(0) })
	for r.now < windowSeconds*time.Second {
		e := heap.Pop(&r.queue).(windowEvent)
		r.now = e.at
		now := testTime.Add(e.at)
		e.do(now)
		r.poll(e.entry, now)
	}
}

func (r *windowRun) appendsPerSecond() float64 { return float64(r.appends) / windowSeconds }

func (r *windowRun) millis(quantile float64) float64 {
	return float64(r.latency.ValueAtQuantile(quantile)) / 1000
}

// The log accepts several hundred appends per second in total. At the default window, claims and outcomes of
// 2,000 requests per second over seven entries must stay below 200 appends per second.
func TestAppendRateStaysBelowLogLimit(t *testing.T) {
	r := newWindowRun(defaultWindow)
	r.run()
	t.Logf("appends/s %.1f, claim latency ms p50 %.1f p99 %.1f", r.appendsPerSecond(), r.millis(50), r.millis(99))
	require.Less(t, r.appendsPerSecond(), 200.0)
	require.Less(t, r.millis(99), 60.0)
}

func BenchmarkWindow(b *testing.B) {
	for _, window := range []int{10, 20, 40, 80} {
		b.Run(fmt.Sprintf("%dms", window), func(b *testing.B) {
			for b.Loop() {
				r := newWindowRun(time.Duration(window) * time.Millisecond)
				r.run()
				b.ReportMetric(r.appendsPerSecond(), "appends/s")
				b.ReportMetric(r.millis(50), "p50-ms")
				b.ReportMetric(r.millis(99), "p99-ms")
				b.ReportMetric(float64(r.bytes)/windowSeconds/1024, "KiB/s")
			}
		})
	}
}
