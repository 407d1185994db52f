package assembler

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

// newFirstFleet starts three entries at the first start of the system, before model endpoints whose events are 50 ms apart.
func newFirstFleet(t *testing.T, site *imitator.Site) *fleet {
	for _, e := range site.Endpoints {
		e.EventInterval = 50 * time.Millisecond
	}
	f := newFleetAt(t, site, 0)
	for range 3 {
		f.startWith(startOptions{firstStart: true})
	}
	f.awaitReady()
	return f
}

// beginStreams has each entry begin streams that their callers resume at another one.
func (f *fleet) beginStreams(name string) []brokenStream {
	var broken []brokenStream
	for i := range 2 * len(f.nodes) {
		broken = append(broken, f.beginStream(i%len(f.nodes), (i+1)%len(f.nodes), fmt.Sprintf("%s-%d", name, i)))
	}
	return broken
}

// awaitCheckpoint waits until the history of versions has been written since a call.
func (f *fleet) awaitCheckpoint() {
	f.t.Helper()
	before := f.site.Store.End(imitator.VersionsTopic)
	require.Eventually(f.t, func() bool { return f.site.Store.End(imitator.VersionsTopic) > before }, waitTimeout, 10*time.Millisecond)
}

// startModel starts an endpoint with a version.
func startModel(site *imitator.Site, id, version string) {
	site.Versions[id] = version
	site.Start(id, "model", imitator.Model).EventInterval = 50 * time.Millisecond
}

func removeModels(site *imitator.Site, ids ...string) {
	for _, id := range ids {
		site.Remove(site.Endpoint(id))
	}
}

// Guards against streams that go on at another software version after all entries have ended and know nothing of them.
func TestStreamsAreNotJoinedAfterAllEntriesHaveEnded(t *testing.T) {
	for name, scenario := range map[string]struct {
		// before changes the endpoints once the streams have begun, during while no entry runs.
		before, during func(site *imitator.Site)
	}{
		"both versions serve": {},
		"old version has just left": {before: func(site *imitator.Site) {
			removeModels(site, "i-model-0", "i-model-1")
		}},
		"old version leaves meanwhile": {during: func(site *imitator.Site) {
			removeModels(site, "i-model-0", "i-model-1")
		}},
		"new version leaves meanwhile": {during: func(site *imitator.Site) {
			removeModels(site, "i-model-2", "i-model-3")
		}},
		"a third version replaces both meanwhile": {during: func(site *imitator.Site) {
			startModel(site, "i-model-4", "v3")
			removeModels(site, "i-model-0", "i-model-1", "i-model-2", "i-model-3")
		}},
		"old version leaves and its registrations are deleted": {during: func(site *imitator.Site) {
			removeModels(site, "i-model-0", "i-model-1")
			site.CompactEndpoints()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := imitator.NewSite()
			startModel(site, "i-model-2", secondVersion)
			startModel(site, "i-model-3", secondVersion)
			f := newFirstFleet(t, site)
			f.awaitCheckpoint()
			broken := f.beginStreams("stream")
			if scenario.before != nil {
				scenario.before(site)
			}
			for round := range 2 {
				f.stopAll()
				if scenario.during != nil && round == 0 {
					scenario.during(site)
				}
				f.startAll()
				f.requireNotJoined(broken, round)
				// The next round has newer checkpoints, and streams that have been resumed.
				f.awaitCheckpoint()
				f.requireNotJoined(broken, round+10)
			}
		})
	}
}

// requireNotJoined has callers resume streams, which name the attempt that began them, none, or one that resumed them, and
// checks that they go on at the version that began them or are refused.
func (f *fleet) requireNotJoined(broken []brokenStream, round int) {
	f.t.Helper()
	for _, stream := range broken {
		resumed := fmt.Sprintf("%s-%d-0", stream.next.ID, round)
		for i, header := range []http.Header{stream.next.Header, imitator.Resumption("", "2"), imitator.Resumption(resumed, "3")} {
			request := stream.next
			request.ID = fmt.Sprintf("%s-%d-%d", stream.next.ID, round, i)
			request.Header = header
			reply := f.call(request)
			if reply.Status != http.StatusServiceUnavailable {
				f.requireVersion(stream.version, request.ID)
				continue
			}
			require.NotEmpty(f.t, reply.RetryAfter)
			require.Empty(f.t, f.runs(request.ID))
		}
	}
}

// Guards against streams that nobody resumes for half a minute after all entries have ended, although their service has had
// one version.
func TestStreamsOfASingleVersionGoOnAfterAllEntriesHaveEnded(t *testing.T) {
	f := newFirstFleet(t, imitator.NewSite())
	f.awaitCheckpoint()
	broken := f.beginStreams("stream")
	for round := range 2 {
		f.stopAll()
		f.startAll()
		for _, stream := range broken {
			tries := 0
			require.Eventually(t, func() bool {
				tries++
				request := stream.next
				request.ID = fmt.Sprintf("%s-%d-%d", stream.next.ID, round, tries)
				return f.call(request).Status == http.StatusOK
			}, waitTimeout, 50*time.Millisecond)
		}
	}
}

// Guards against streams that nobody resumes after all entries have ended while several versions served: their origins were
// known to entries only.
func TestStreamsOfSeveralVersionsGoOnAfterAllEntriesHaveEnded(t *testing.T) {
	site := imitator.NewSite()
	startModel(site, "i-model-2", secondVersion)
	startModel(site, "i-model-3", secondVersion)
	f := newFirstFleet(t, site)
	broken := f.beginStreams("stream")
	require.Eventually(t, func() bool {
		written := 0
		for _, batch := range f.site.Store.Values(imitator.OriginsTopic) {
			written += strings.Count(batch, `"key":`)
		}
		return written == len(broken)
	}, waitTimeout, 10*time.Millisecond)
	for round := range 2 {
		f.stopAll()
		f.startAll()
		for _, stream := range broken {
			tries := 0
			require.Eventually(t, func() bool {
				tries++
				request := stream.next
				request.ID = fmt.Sprintf("%s-%d-%d", stream.next.ID, round, tries)
				if f.call(request).Status != http.StatusOK {
					return false
				}
				f.requireVersion(stream.version, request.ID)
				return true
			}, waitTimeout, 50*time.Millisecond)
		}
	}
}

// Guards against streams that are joined since the store has returned from a copy, in which a version that began some was
// never registered.
func TestStreamsAreNotJoinedByAnOlderCopyOfTheStore(t *testing.T) {
	site := imitator.NewSite()
	f := newFirstFleet(t, site)
	f.awaitCheckpoint()
	older := site.Store.Snapshot()
	startModel(site, "i-model-2", secondVersion)
	startModel(site, "i-model-3", secondVersion)
	var broken []brokenStream
	of := make(map[string]int)
	for i := 0; of[secondVersion] < 3; i++ {
		stream := f.beginStream(i%3, (i+1)%3, fmt.Sprintf("stream-%d", i))
		of[stream.version]++
		broken = append(broken, stream)
	}
	f.stopAll()
	removeModels(site, "i-model-2", "i-model-3")
	site.Store.Restore(older)
	site.RewriteAll()
	f.startAll()
	f.requireNotJoined(broken, 0)
	time.Sleep(contactTime)
	f.requireNotJoined(broken, 1)
}
