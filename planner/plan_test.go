package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/collector"
)

var start = time.Unix(1000, 0)

// uniformView is a View in which all services have the same settings and the loads set by the test.
type uniformView map[string]Load

func (uniformView) Pool(service string) (cataloger.StagePool, bool) {
	return cataloger.StagePool{
		Slots: 1, Batch: 8, CallOverhead: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond,
		ResultSpaceBytes: 36_000_000, ResultTTL: 4 * time.Second,
	}, service != "unknown"
}

func (p uniformView) Load(service string, _ int) Load { return p[service] }

// planWithImages returns the plan of a request with images, whose results are large and go to the model, and a lookup whose
// results are ranked. A call for the images takes 182 ms, for the lookup 166 ms, for the ranking 246 ms.
func planWithImages(imageBytes int64) *Plan {
	return New(Config{
		Origin: "entry", Request: "r", Key: "key", PieceCounts: []int{2, 1, 6},
		Due: start.Add(1500 * time.Millisecond), FirstEventDeadline: start.Add(6 * time.Second), ModelTime: 100 * time.Millisecond,
		Stages: []cataloger.Stage{
			{Service: "images", ResultBytes: imageBytes},
			{Service: "lookup", ResultBytes: 700_000},
			{Service: "rank", DependsOn: []int{1}, ResultBytes: 8_000},
		},
	})
}

// addResults adds results of all pieces of a group, produced in the given zone, and returns the results to free.
func addResults(p *Plan, g collector.Group, zone string) []ReleasedResults {
	var freed []ReleasedResults
	for _, n := range g.Segments {
		freed = append(freed, p.AddResult(g.ID.Stage, collector.Deliver{
			ID: g.ID, Segment: n, Result: collector.PieceResult{Handle: handle(g.ID.Stage, n)}, Address: "maker", Zone: zone,
		})...)
	}
	return freed
}

func handle(stage, n int) string { return string(rune('a'+stage)) + string(rune('0'+n)) }

// A request's images could be processed at once while its other stages take longer or wait in an overloaded pool. Callers
// would then be refused although endpoints are idle: finished images would fill all space until the other stages are done,
// and those of requests that fail there would be wasted.
func TestLargeResultsAreMadeWhenTheOtherStagesAreNearlyDone(t *testing.T) {
	const large, small = 3_000_000, 8_000
	for name, c := range map[string]struct {
		bytes int64
		// requested is how long ago the lookup was requested; 0 if it was not.
		requested time.Duration
		done      bool
		early     bool
	}{
		"the others take 412 ms":           {bytes: large, early: true},
		"they take 312 ms more":            {bytes: large, requested: 100 * time.Millisecond, early: true},
		"they take 262 ms more":            {bytes: large, requested: 150 * time.Millisecond},
		"the lookup waits for much longer": {bytes: large, requested: 2 * time.Second, early: true},
		"only the ranking is left":         {bytes: large, done: true},
		"small results need no delay":      {bytes: small},
	} {
		t.Run(name, func(t *testing.T) {
			p := planWithImages(c.bytes)
			view := uniformView{}
			if c.requested > 0 || c.done {
				g := p.StartStage(1, view, start.Add(-c.requested))
				if c.done {
					addResults(p, g, "z")
				}
			}
			require.Equal(t, c.early, p.tooEarly(0, view, start))
			require.False(t, p.tooEarly(1, view, start), "results that another stage uses are produced at once")
			next, again := p.Next(view, start)
			require.Equal(t, c.early, again)
			require.Equal(t, !c.early, len(next) > 0 && next[0] == 0)
		})
	}
}

func TestDueTimesOfAGroup(t *testing.T) {
	p := planWithImages(8_000)
	view := uniformView{"rank": {Turnaround: 600 * time.Millisecond}}
	g := p.StartStage(1, view, start)
	due := start.Add(1400 * time.Millisecond)
	require.Equal(t, due.Add(-600*time.Millisecond), g.Due)
	require.Equal(t, due.Add(-246*time.Millisecond), g.LatestDue)
	require.Equal(t, start.Add(5900*time.Millisecond-246*time.Millisecond), g.Deadline)
	require.Equal(t, "key", g.Key)
	addResults(p, g, "z")
	rank := p.StartStage(2, view, start)
	require.Equal(t, due, rank.Due)
	require.Equal(t, rank.Due, rank.LatestDue)
	require.Equal(t, []string{handle(1, 0)}, rank.Inputs)
	require.Equal(t, int64(700_000), rank.InputBytes)
	require.Equal(t, "z", rank.PreferredZone, "each of its pieces fetches all inputs")
	require.Equal(t, int64(6*700_000), rank.CrossZoneBytes)
}

// The lookup's pool is short of space, so its results are freed as soon as the ranking has fetched them. Then a piece of the
// ranking fails. The lookup is recomputed, and only the failed piece is requested again; the five others must not be computed
// twice.
func TestFreedInputsAreRecomputedForFailedPieces(t *testing.T) {
	p := planWithImages(8_000)
	view := uniformView{"lookup": {ShortOfSpace: true}}
	addResults(p, p.StartStage(1, view, start), "z")
	rank := p.StartStage(2, view, start)
	require.True(t, rank.NotifyInputsFetched)
	require.Empty(t, p.InputsFetched(2, uniformView{"rank": {Wait: time.Millisecond}}), "the ranking has a backlog")
	freed := p.InputsFetched(2, view)
	require.Equal(t, []ReleasedResults{{Service: "lookup", Stage: 1, Results: []collector.ResultRef{{Handle: handle(1, 0), Address: "maker"}}}}, freed)
	rank.Segments = rank.Segments[:5]
	require.Empty(t, addResults(p, rank, "z"))
	ended, freed, allowed := p.RecomputeInputs(2)
	require.True(t, allowed)
	require.ElementsMatch(t, []int{1, 2}, ended)
	require.Empty(t, freed, "they were already freed")
	next, _ := p.Next(view, start)
	require.Equal(t, []int{0, 1}, next)
	addResults(p, p.StartStage(1, view, start), "z")
	retry := p.StartStage(2, view, start)
	require.Equal(t, []int{5}, retry.Segments)
	require.NotEmpty(t, addResults(p, retry, "z"))
	require.True(t, p.StageDone(2))
	require.Len(t, p.RequestInputs(), 8, "six of the ranking and two pending images")
}

// The results of the second of three stages have expired, and those of the first were freed when the second was done. Both must
// be recomputed at once: if the second were requested without its inputs, it would fail and have to be recomputed a second time.
func TestInputsAreRecomputedRecursively(t *testing.T) {
	p := New(Config{PieceCounts: []int{1, 2, 3}, Stages: []cataloger.Stage{
		{Service: "a", ResultBytes: 8}, {Service: "b", DependsOn: []int{0}, ResultBytes: 8}, {Service: "c", DependsOn: []int{1}, ResultBytes: 8},
	}})
	view := uniformView{}
	addResults(p, p.StartStage(0, view, start), "z")
	require.NotEmpty(t, addResults(p, p.StartStage(1, view, start), "z"))
	p.StartStage(2, view, start)
	_, _, allowed := p.RecomputeInputs(2)
	require.True(t, allowed)
	next, _ := p.Next(view, start)
	require.Equal(t, []int{0}, next)
	for range maxRecomputes - 1 {
		_, _, allowed = p.RecomputeInputs(2)
		require.True(t, allowed)
	}
	_, _, allowed = p.RecomputeInputs(2)
	require.False(t, allowed, "the number of attempts is limited")
}

func TestOverloadedComparesWaitsWithTheDeadline(t *testing.T) {
	p := planWithImages(8_000)
	for name, c := range map[string]struct {
		wait       time.Duration
		overloaded bool
	}{
		"no pieces wait":   {},
		"there is time":    {wait: 5 * time.Second},
		"there is no time": {wait: 5600 * time.Millisecond, overloaded: true},
	} {
		t.Run(name, func(t *testing.T) {
			service, overloaded := p.Overloaded(uniformView{"rank": {Wait: c.wait}}, start)
			require.Equal(t, c.overloaded, overloaded)
			if overloaded {
				require.Equal(t, "rank", service)
			}
		})
	}
}

// Callers are refused in a surge. If they retried after only the current queue is processed, the surge would still last and
// refuse them for good. Their delay therefore includes the time that the surge has lasted, within a limit: a caller that would
// have to wait longer than a third of its time gives up.
func TestCallersComeBackAfterASurge(t *testing.T) {
	for name, c := range map[string]struct {
		load     Load
		from, to time.Duration
	}{
		"no pieces wait":        {to: 2 * minRetryDelay, from: minRetryDelay},
		"pieces wait":           {load: Load{Wait: time.Second}, from: time.Second + minRetryDelay, to: time.Second + 2*minRetryDelay},
		"overload":              {load: Load{Wait: time.Second, OverloadedFor: time.Second}, from: 2*time.Second + minRetryDelay, to: 2*time.Second + 2*minRetryDelay},
		"overload for a minute": {load: Load{OverloadedFor: time.Minute}, from: maxOverloadDelay + minRetryDelay, to: maxOverloadDelay + 2*minRetryDelay},
	} {
		require.Equal(t, c.from, RetryAfter(c.load, 0), name)
		require.Equal(t, c.to, RetryAfter(c.load, 1), name)
	}
}

func TestResultsAreReleasedOnce(t *testing.T) {
	p := planWithImages(8_000)
	view := uniformView{}
	addResults(p, p.StartStage(0, view, start), "z")
	require.Len(t, p.FreeAll(), 1)
	require.Empty(t, p.FreeAll())
	require.Equal(t, map[string]int64{"z": 16_000, "": 48_000}, p.InputBytesByZone())
}
