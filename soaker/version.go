package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"geraniumline/platform/imitator"
)

const (
	// secondVersion is the version of the software of half of the model endpoints of a fleet with two versions. Their events
	// end with versionMark.
	secondVersion = "v2"
	versionMark   = "."
	// meanVersionGap is the mean time between two faults that concern the versions of endpoints.
	meanVersionGap = 900 * time.Millisecond
	// maxResumptions is how often a caller resumes a broken stream.
	maxResumptions = 3
)

// VersionLeaves makes all endpoints of a version leave for the duration of the step.
type VersionLeaves struct{ Version string }

// ModelFails makes the next requests at all model endpoints of a version break off or be refused.
type ModelFails struct {
	Version  string
	How      imitator.Fault
	Requests int
}

func (VersionLeaves) fault() {}
func (ModelFails) fault()    {}

func (f VersionLeaves) String() string { return "endpoints of " + f.Version + " leave" }
func (f ModelFails) String() string {
	return fmt.Sprintf("endpoints of %s: %d requests %v", f.Version, f.Requests, faultNames[f.How])
}

// addVersion adds model endpoints of the second version to the site.
func addVersion(site *imitator.Site) {
	for _, id := range []string{"i-model-2", "i-model-3"} {
		site.Versions[id] = secondVersion
		site.Start(id, "model", imitator.Model).Padding = len(versionMark)
	}
}

// drawVersionFault draws a fault that concerns the versions of endpoints.
func drawVersionFault(rnd *rand.Rand, _ *PlanConfig) Fault {
	version := []string{imitator.FirstVersion, secondVersion}[rnd.IntN(2)]
	if rnd.IntN(3) == 0 {
		return VersionLeaves{Version: version}
	}
	how := []imitator.Fault{
		imitator.Truncated, imitator.UnframedTruncated, imitator.UnframedTruncated, imitator.UnframedEmpty, imitator.FullReset,
	}[rnd.IntN(5)]
	return ModelFails{Version: version, How: how, Requests: 1 + rnd.IntN(2*maxFailingRequests)}
}

// applyVersionFault injects a fault that concerns the versions of endpoints.
func (r *planRunner) applyVersionFault(ctx context.Context, step Step) {
	switch f := step.Fault.(type) {
	case VersionLeaves:
		r.setVersionState(f.Version, "draining")
		_ = sleep(ctx, step.Duration/2)
		r.mu.Lock()
		for _, i := range r.modelsOf(f.Version) {
			r.fleet.site.Remove(r.fleet.site.Endpoints[i])
		}
		r.mu.Unlock()
		_ = sleep(ctx, step.Duration/2)
		r.setVersionState(f.Version, "in_service")
	case ModelFails:
		for _, i := range r.modelsOf(f.Version) {
			r.fleet.site.Endpoints[i].InjectFault(f.How, f.Requests)
		}
	}
}

func (r *planRunner) setVersionState(version, state string) {
	for _, i := range r.modelsOf(version) {
		r.setState(i, state)
	}
}

// modelsOf returns the indexes of the model endpoints of a version.
func (r *planRunner) modelsOf(version string) []int {
	var list []int
	for i, e := range r.fleet.site.Endpoints {
		if serviceOf(e) == "model" && r.fleet.site.VersionOf(e.ID) == version {
			list = append(list, i)
		}
	}
	return list
}

// resume has the caller of a broken stream resume it at other entries, until it is complete.
func (t *traffic) resume(ask imitator.Request, first int, received string, phase Phase) {
	began := ask.ID
	attempts := []string{began}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 1; n <= maxResumptions; n++ {
		ask.ID = fmt.Sprintf("%s-up-%d", began, n)
		ask.Header = imitator.Resumption(began, strconv.Itoa(strings.Count(received, "id: ")))
		attempts = append(attempts, ask.ID)
		entry := (first + n) % len(t.fleet.entries)
		ask.Address = t.fleet.entries[entry].callerRelay.Address()
		a := Attempt{ID: ask.ID, Entry: entry, Incarnation: unknownIncarnation, Sent: time.Since(t.startedAt), Phase: phase}
		ctx, cancel := context.WithTimeout(context.Background(), 2*callerDeadline)
		reply, err := ask.CallWith(ctx, client)
		cancel()
		a.Ended = time.Since(t.startedAt)
		if err == nil && reply.Status == http.StatusOK {
			received += reply.Body
			a.Stamp = reply.Stamp
		}
		if err == nil && !reply.Truncated {
			a.Status = reply.Status
		}
		a.Received, a.ExpectedBody = received, expectedStream(received, attempts...)
		if a.Status == http.StatusOK {
			a.Body = received
		}
		t.add(a)
		if a.Status == http.StatusOK {
			return
		}
	}
}

// expectedStream returns the whole stream of which a caller has received the first events, by some of its attempts. All
// events are of the version of the first one.
func expectedStream(received string, attempts ...string) string {
	events := strings.SplitAfter(received, "\n\n")
	mark := ""
	if strings.HasSuffix(strings.TrimSpace(events[0]), versionMark) {
		mark = versionMark
	}
	var whole strings.Builder
	attempt := attempts[0]
	for n := 1; n <= imitator.EventCount; n++ {
		if n <= len(events) {
			_, sender, _ := strings.Cut(strings.TrimSpace(events[n-1]), " of ")
			if sender = strings.TrimSuffix(sender, versionMark); slices.Contains(attempts, sender) {
				attempt = sender
			}
		}
		fmt.Fprintf(&whole, "id: %d\ndata: event %d of %s%s\n\n", n, n, attempt, mark)
	}
	return whole.String()
}
