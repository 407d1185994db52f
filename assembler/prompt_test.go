package assembler

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/platform/imitator"
)

const (
	// contactTime is the platform's ContactMs.
	contactTime = 3 * time.Second
	// knownCrashes is the number of crashes under a part after which the platform requires that it is quarantined, and
	// allowedRequests the number of requests with it that may reach endpoints later than contactTime after the last of these.
	knownCrashes    = 5
	allowedRequests = 3

	sharedPart   = "5a17ed"
	crashingPart = "bad0bad"
)

// partTrial sends requests with a part of the prompt that crashes endpoints, no two alike, and sound requests that share
// everything else with them.
type partTrial struct {
	f       *fleet
	service string
	kind    imitator.Kind
	path    string
	// entries are those that the requests are sent to, in turn.
	entries []int
	// replaced makes another process answer at the address of an endpoint as soon as it has crashed.
	replaced bool
	sent     int
	started  int
}

// startEndpoints starts endpoints of the service until n of them have not crashed.
func (p *partTrial) startEndpoints(n int) {
	for _, e := range p.f.site.Endpoints {
		if e.Crashed() && !p.replaced {
			p.f.site.Remove(e)
		}
	}
	for alive := p.alive(); alive < n; alive++ {
		p.started++
		e := p.f.site.Start(fmt.Sprintf("i-%s-new-%d", p.service, p.started), p.service, p.kind)
		e.CrashOnPart(crashingPart)
		if p.replaced {
			e.KeepAddress()
		}
	}
}

func (p *partTrial) alive() int {
	n := 0
	for i := range p.started {
		if !p.f.site.Endpoint(fmt.Sprintf("i-%s-new-%d", p.service, i+1)).Crashed() {
			n++
		}
	}
	return n
}

// begin replaces the service's endpoints with ones that crash under the part.
func (p *partTrial) begin() {
	p.startEndpoints(8)
	for i := range 2 {
		e := p.f.site.Endpoint(fmt.Sprintf("i-%s-%d", p.service, i))
		e.CrashOnPart(crashingPart)
	}
}

// reached returns the number of requests with the part that have reached endpoints.
func (p *partTrial) reached() int {
	n := 0
	for _, e := range p.f.site.Endpoints {
		for _, run := range e.Runs() {
			if run.HasPart(crashingPart) {
				n++
			}
		}
	}
	return n
}

func (p *partTrial) send(prompt string) imitator.Response {
	p.sent++
	request := p.f.newRequest(p.entries[p.sent%len(p.entries)], fmt.Sprintf("%sdocument-%d", p.path, p.sent), fmt.Sprintf("%s-%d", p.service, p.sent))
	request.Body = fmt.Sprintf("question %d", p.sent)
	request.Prompt = fmt.Sprintf("%s,own%d:20", prompt, p.sent)
	reply := p.f.call(request)
	runs := len(p.f.runs(request.ID))
	if reply.Status == http.StatusServiceUnavailable {
		require.Zero(p.f.t, runs, "a request that was refused as not run has not run")
	}
	if p.path == imitator.StreamPath {
		require.LessOrEqual(p.f.t, runs, 1, "a request that must not be repeated runs once")
	}
	return reply
}

// sendCrashing sends a request with the part, and starts a new endpoint for one that it crashes.
func (p *partTrial) sendCrashing() {
	reply := p.send(sharedPart + ":350," + crashingPart + ":100")
	require.NotEqual(p.f.t, http.StatusOK, reply.Status)
	p.startEndpoints(8)
}

// sendSound sends a request that shares everything but the part, and reports whether it was served at its first attempt.
func (p *partTrial) sendSound() bool {
	return p.send(sharedPart+":350").Status == http.StatusOK
}

// awaitServing waits until the entries know enough of the endpoints that were started.
func (p *partTrial) awaitServing() {
	require.Eventually(p.f.t, p.sendSound, waitTimeout, 10*time.Millisecond)
}

// Guards against prompts with one part in common that crash one endpoint after the other, though no two requests are alike.
func TestAPartThatCrashesEndpointsIsHeldBack(t *testing.T) {
	tests := []struct {
		testName string
		service  string
		kind     imitator.Kind
		path     string
		relayed  bool
		replaced bool
	}{
		{"stream", "model", imitator.Model, imitator.StreamPath, false, false},
		{"resumableStream", "model", imitator.Model, imitator.ResumePath, false, false},
		{"plain", "plain", imitator.Plain, imitator.PlainPath, false, false},
		{"relayed", "model", imitator.Model, imitator.StreamPath, true, false},
		{"replacedAtOnce", "model", imitator.Model, imitator.StreamPath, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.testName, func(t *testing.T) {
			t.Parallel()
			p := &partTrial{f: newFleet(t, 3), service: tt.service, kind: tt.kind, path: tt.path, replaced: tt.replaced, entries: []int{0, 1, 2}}
			if tt.relayed {
				partition := newPartition()
				p.f.startWith(startOptions{partition: partition})
				p.f.awaitReady()
				partition.set(silent)
				p.entries = []int{3}
			}
			p.begin()
			for i := 0; i < 12 && p.reached() < knownCrashes; i++ {
				p.awaitServing()
				p.sendCrashing()
			}
			p.awaitServing()
			if p.reached() >= knownCrashes {
				time.Sleep(contactTime)
			}
			before, refused := p.reached(), 0
			for range 10 {
				p.sendCrashing()
				if !p.sendSound() {
					refused++
				}
			}
			require.LessOrEqual(t, p.reached()-before, allowedRequests)
			require.Zero(t, refused, "sound requests that share all but the part are served")
		})
	}
}

// Guards against a piece that crashes the endpoints of a stage, as often as its caller sends the request again.
func TestContentThatCrashesStagesIsRefused(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 6 {
		f.site.Start(fmt.Sprintf("i-encode-new-%d", i), "encode", imitator.Stage)
	}
	for _, e := range f.site.Endpoints {
		e.CrashOnKey("poison")
	}
	crashes := func() int {
		n := 0
		for _, e := range f.site.Endpoints {
			n += e.Crashes()
		}
		return n
	}
	poison := f.newRequest(0, imitator.StagesPath+"document", "poison-1")
	poison.Pieces = "2,1"
	require.Equal(t, http.StatusServiceUnavailable, f.call(poison).Status)
	lost := crashes()
	require.LessOrEqual(t, lost, 3)
	time.Sleep(contactTime)
	for entry := range 2 {
		again := f.newRequest(entry, imitator.StagesPath+"document", fmt.Sprintf("poison-again-%d", entry))
		again.Pieces = poison.Pieces
		require.Equal(t, "60.00", f.call(again).RetryAfter)
	}
	sound := f.newRequest(1, imitator.StagesPath+"document-2", "sound")
	sound.Pieces = poison.Pieces
	require.Equal(t, http.StatusOK, f.call(sound).Status)
	require.Equal(t, lost, crashes())
}

// Guards against endpoints that a part of prompts crashes once more after all entries have ended, since nobody knows it then.
func TestAPartIsHeldBackAfterAllEntriesHaveEnded(t *testing.T) {
	p := &partTrial{f: newFleet(t, 3), service: "model", kind: imitator.Model, path: imitator.StreamPath, entries: []int{0, 1, 2}}
	p.begin()
	for i := 0; i < 12 && p.reached() < knownCrashes; i++ {
		p.awaitServing()
		p.sendCrashing()
	}
	require.Eventually(t, func() bool { return p.f.site.Store.End(imitator.PartsTopic) > 0 }, waitTimeout, 10*time.Millisecond)
	time.Sleep(contactTime)
	before := p.reached()
	for range 2 {
		p.f.stopAll()
		p.f.startAll()
		time.Sleep(contactTime)
		for range 5 {
			p.sendCrashing()
			p.awaitServing()
		}
	}
	require.LessOrEqual(t, p.reached()-before, allowedRequests)
}
