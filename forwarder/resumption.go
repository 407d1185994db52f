package forwarder

import (
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/resumer"
	"geraniumline/selector"
)

// versionGoneRetryDelay is the retry delay for a stream whose version has no endpoint: endpoints that have crashed are back
// within seconds.
const versionGoneRetryDelay = time.Second

// Label values of the counter of streams that callers resume.
const (
	resumedRecorded      = "recorded"
	resumedSingleVersion = "singleVersion"
	refusedUnknown       = "unknown"
	refusedGone          = "gone"
)

// bindResumption binds a stream that its caller resumes to the software version that began it. It refuses the stream if that
// is not known or has no endpoint.
func (x *exchange) bindResumption() *FailureError {
	if x.req.LastEvent == "" {
		return nil
	}
	version, source := x.findVersion()
	if source == refusedUnknown {
		x.logResumption(source, "")
		return notRun("unknownVersion", shortRetryDelay())
	}
	x.streamVersion.Store(&version)
	x.f.mu.Lock()
	listed := x.f.selector.Lists(x.endpointQuery(selector.Query{}))
	x.f.mu.Unlock()
	if !listed {
		x.logResumption(refusedGone, version)
		return notRun("versionGone", versionGoneRetryDelay)
	}
	x.logResumption(source, version)
	return nil
}

func (x *exchange) logResumption(result, version string) {
	x.f.cfg.Meter.Counter(meter.StreamResumptions, result).Inc(1)
	x.f.logSampled("stream resumed by caller",
		zap.String("request", x.req.ID),
		zap.String("resumes", x.req.Resumes),
		zap.String("result", result),
		zap.String("version", version))
}

// findVersion returns the software version that began the stream that the caller resumes, and how it was found.
func (x *exchange) findVersion() (version, source string) {
	f, now, window := x.f, time.Now(), resumer.Window(x.route.Timeout)
	key := resumer.KeyOf(x.account, x.service.Name, x.req.Resumes)
	named := x.req.Resumes != ""
	f.mu.Lock()
	own := f.versionView(x.service.Name, window, now)
	origin, known := f.origins.kept.Find(key, now)
	f.mu.Unlock()
	if known && named {
		return recordedVersion(origin.Version, origin.Doubtful)
	}
	var peers []resumer.View
	if named || !own.FullWindow || !own.Fresh {
		for _, m := range f.askOrigin(x.ctx, key, x.service.Name, window) {
			if m.Known && named {
				return recordedVersion(m.Version, m.Doubtful)
			}
			peers = append(peers, resumer.View{
				Listed: m.Listed, Several: m.Several, Version: m.OnlyVersion, FullWindow: m.FullWindow, Fresh: m.Fresh,
			})
		}
	}
	switch decision := resumer.Decide(own, peers).(type) {
	case resumer.Resume:
		return decision.Version, resumedSingleVersion
	default:
		return "", refusedUnknown
	}
}

// recordedVersion is the result of findVersion for a stream whose origin is known.
func recordedVersion(version string, doubtful bool) (string, string) {
	if doubtful {
		return "", refusedUnknown
	}
	return version, resumedRecorded
}
