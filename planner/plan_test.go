package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/cataloger"
	"geraniumline/collector"
)

var start = time.Unix(1000, 0)

// pools is a View of services that are all alike, with the loads that a test sets.
type pools map[string]Load

func (pools) Pool(service string) (cataloger.StagePool, bool) {
	return cataloger.StagePool{
		Slots: 1, Batch: 8, CallOverhead: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond,
		ResultSpaceBytes: 36_000_000, ResultTTL: 4 * time.Second,
	}, service != "unknown"
}

func (p pools) Load(service string) Load { return p[service] }

// withImages is a request with images, whose results are large and go to the model, beside a lookup whose results are
// ranked. A call for the images takes 182 ms, for the lookup 166 ms, for the ranking 246 ms.
func withImages(imageBytes int64) *Plan {
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

// makeAll delivers all pieces of a group, made in a zone, and gives what may be freed for it.
func makeAll(p *Plan, g collector.Group, zone string) []ReleasedResults {
	var freed []ReleasedResults
	for _, n := range g.Segments {
		freed = append(freed, p.AddResult(g.ID.Stage, collector.Deliver{
			ID: g.ID, Segment: n, Result: collector.PieceResult{Handle: handle(g.ID.Stage, n)}, Address: "maker", Zone: zone,
		})...)
	}
	return freed
}

func handle(stage, n int) string { return string(rune('a'+stage)) + string(rune('0'+n)) }

// A request's images could be made at once, while its other stages take longer, or wait in a full pool. Callers then see
// refusals although endpoints are idle: finished images fill all space until the other stages are done, and those of
// requests that are given up there were made for nothing.
func TestLargeResultsAreMadeWhenTheOtherStagesAreNearlyDone(t *testing.T) {
	const large, small = 3_000_000, 8_000
	for name, c := range map[string]struct {
		bytes int64
		// asked is how long ago the lookup was asked for; 0 not yet.
		asked time.Duration
		done  bool
		early bool
	}{
		"the others take 412 ms":                {bytes: large, early: true},
		"they take 312 ms more":                 {bytes: large, asked: 100 * time.Millisecond, early: true},
		"they take 262 ms more":                 {bytes: large, asked: 150 * time.Millisecond},
		"the lookup waits for much longer":      {bytes: large, asked: 2 * time.Second, early: true},
		"only the ranking is left":              {bytes: large, done: true},
		"small results take no space worth one": {bytes: small},
	} {
		t.Run(name, func(t *testing.T) {
			p := withImages(c.bytes)
			view := pools{}
			if c.asked > 0 || c.done {
				g := p.StartStage(1, view, start.Add(-c.asked))
				if c.done {
					makeAll(p, g, "z")
				}
			}
			require.Equal(t, c.early, p.tooEarly(0, view, start))
			require.False(t, p.tooEarly(1, view, start), "results that another stage takes are made at once")
			next, again := p.Next(view, start)
			require.Equal(t, c.early, again)
			require.Equal(t, !c.early, len(next) > 0 && next[0] == 0)
		})
	}
}

func TestAGroupIsDueAtTheUsualPaceAndLateAtTheFastest(t *testing.T) {
	p := withImages(8_000)
	view := pools{"rank": {Turnaround: 600 * time.Millisecond}}
	g := p.StartStage(1, view, start)
	due := start.Add(1400 * time.Millisecond)
	require.Equal(t, due.Add(-600*time.Millisecond), g.Due)
	require.Equal(t, due.Add(-246*time.Millisecond), g.LatestDue)
	require.Equal(t, start.Add(5900*time.Millisecond-246*time.Millisecond), g.Deadline)
	require.Equal(t, "key", g.Key)
	makeAll(p, g, "z")
	rank := p.StartStage(2, view, start)
	require.Equal(t, due, rank.Due)
	require.Equal(t, rank.Due, rank.LatestDue)
	require.Equal(t, []string{handle(1, 0)}, rank.Inputs)
	require.Equal(t, int64(700_000), rank.InputBytes)
	require.Equal(t, "z", rank.PreferredZone, "each of its pieces fetches the inputs")
	require.Equal(t, int64(6*700_000), rank.CrossZoneBytes)
}

// The lookup's pool is short of space. Its results are given back as soon as the ranking has fetched them. Then a piece of
// the ranking fails: the lookup is done again, and only that piece is asked for anew. Asked for as a whole, the five others
// would be made twice.
func TestFetchedInputsAreFreedAndMadeAgainForWhatFails(t *testing.T) {
	p := withImages(8_000)
	view := pools{"lookup": {ShortOfSpace: true}}
	makeAll(p, p.StartStage(1, view, start), "z")
	rank := p.StartStage(2, view, start)
	require.True(t, rank.NotifyInputsFetched)
	require.Empty(t, p.InputsFetched(2, pools{"rank": {Wait: time.Millisecond}}), "the ranking has a backlog")
	freed := p.InputsFetched(2, view)
	require.Equal(t, []ReleasedResults{{Service: "lookup", Stage: 1, Results: []collector.ResultRef{{Handle: handle(1, 0), Address: "maker"}}}}, freed)
	rank.Segments = rank.Segments[:5]
	require.Empty(t, makeAll(p, rank, "z"))
	ended, freed, again := p.RecomputeInputs(2)
	require.True(t, again)
	require.ElementsMatch(t, []int{1, 2}, ended)
	require.Empty(t, freed, "they were given back")
	next, _ := p.Next(view, start)
	require.Equal(t, []int{0, 1}, next)
	makeAll(p, p.StartStage(1, view, start), "z")
	once := p.StartStage(2, view, start)
	require.Equal(t, []int{5}, once.Segments)
	require.NotEmpty(t, makeAll(p, once, "z"))
	require.True(t, p.StageDone(2))
	require.Len(t, p.RequestInputs(), 8, "six of the ranking and two images to come")
}

// The results of the second of three stages have lapsed, and those of the first were given back when the second was done.
// Both are made again at once: asked with inputs that are gone, the second would fail, and a second remaking be needed.
func TestInputsOfInputsAreMadeAgainWithThem(t *testing.T) {
	p := New(Config{PieceCounts: []int{1, 2, 3}, Stages: []cataloger.Stage{
		{Service: "a", ResultBytes: 8}, {Service: "b", DependsOn: []int{0}, ResultBytes: 8}, {Service: "c", DependsOn: []int{1}, ResultBytes: 8},
	}})
	view := pools{}
	makeAll(p, p.StartStage(0, view, start), "z")
	require.NotEmpty(t, makeAll(p, p.StartStage(1, view, start), "z"))
	p.StartStage(2, view, start)
	_, _, again := p.RecomputeInputs(2)
	require.True(t, again)
	next, _ := p.Next(view, start)
	require.Equal(t, []int{0}, next)
	for range maxRemakes - 1 {
		_, _, again = p.RecomputeInputs(2)
		require.True(t, again)
	}
	_, _, again = p.RecomputeInputs(2)
	require.False(t, again, "not without end")
}

func TestOverloadIsToldByWhatWaits(t *testing.T) {
	p := withImages(8_000)
	for name, c := range map[string]struct {
		wait time.Duration
		over bool
	}{
		"nothing waits":    {},
		"there is time":    {wait: 5 * time.Second},
		"there is no time": {wait: 5600 * time.Millisecond, over: true},
	} {
		t.Run(name, func(t *testing.T) {
			service, over := p.Overloaded(pools{"rank": {Wait: c.wait}}, start)
			require.Equal(t, c.over, over)
			if over {
				require.Equal(t, "rank", service)
			}
		})
	}
}

// A surge turns callers away. Told to come back within the moment that what waits now takes, they meet it again and are
// turned away for good. So they are told to stay away for as long again as the surge has lasted, in bounds: who would come
// back after a third of its time gives up.
func TestCallersComeBackAfterASurge(t *testing.T) {
	for name, c := range map[string]struct {
		load     Load
		from, to time.Duration
	}{
		"nothing waits":        {to: 2 * shortReturn, from: shortReturn},
		"something waits":      {load: Load{Wait: time.Second}, from: time.Second + shortReturn, to: time.Second + 2*shortReturn},
		"too much comes":       {load: Load{Wait: time.Second, OverloadedFor: time.Second}, from: 2*time.Second + shortReturn, to: 2*time.Second + 2*shortReturn},
		"and has for a minute": {load: Load{OverloadedFor: time.Minute}, from: maxOver + shortReturn, to: maxOver + 2*shortReturn},
	} {
		require.Equal(t, c.from, RetryAfter(c.load, 0), name)
		require.Equal(t, c.to, RetryAfter(c.load, 1), name)
	}
}

func TestAllIsGivenBackOnce(t *testing.T) {
	p := withImages(8_000)
	view := pools{}
	makeAll(p, p.StartStage(0, view, start), "z")
	require.Len(t, p.FreeAll(), 1)
	require.Empty(t, p.FreeAll())
	require.Equal(t, map[string]int64{"z": 16_000, "": 48_000}, p.InputBytesByZone())
}
