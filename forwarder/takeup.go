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

// Label values of the counter of streams that callers take up.
const (
	takeUpRecorded = "recorded"
	takeUpSingle   = "singleVersion"
	takeUpUnknown  = "unknown"
	takeUpGone     = "gone"
)

// takeUp determines the software version at which a stream goes on that its caller takes up again. It refuses a stream
// whose version is not known or has no endpoint.
func (x *exchange) takeUp() *FailureError {
	if x.req.LastEvent == "" {
		return nil
	}
	version, source := x.findVersion()
	if source == takeUpUnknown {
		x.recordTakeUp(source, "")
		return notRun("unknownVersion", shortRetryDelay())
	}
	x.streamVersion.Store(&version)
	x.f.mu.Lock()
	listed := x.f.selector.Lists(x.endpointQuery(selector.Query{}))
	x.f.mu.Unlock()
	if !listed {
		x.recordTakeUp(takeUpGone, version)
		return notRun("versionGone", versionGoneRetryDelay)
	}
	x.recordTakeUp(source, version)
	return nil
}

func (x *exchange) recordTakeUp(result, version string) {
	x.f.cfg.Meter.Counter(meter.StreamTakeUps, result).Inc(1)
	x.f.logSampled("stream taken up",
		zap.String("request", x.req.ID),
		zap.String("resumes", x.req.Resumes),
		zap.String("result", result),
		zap.String("version", version))
}

// findVersion returns the software version that began the stream that the caller takes up, and how it was found.
func (x *exchange) findVersion() (version, source string) {
	f, now, window := x.f, time.Now(), resumer.Window(x.route.Timeout)
	key := resumer.KeyOf(x.account, x.service.Name, x.req.Resumes)
	named := x.req.Resumes != ""
	f.mu.Lock()
	own := f.versionSight(x.service.Name, window, now)
	origin, known := f.origins.kept.Find(key, now)
	f.mu.Unlock()
	if known && named {
		return recordedVersion(origin.Version, origin.Doubtful)
	}
	var peers []resumer.Sight
	if named || !own.Whole || !own.Fresh {
		for _, m := range f.askOrigin(x.ctx, key, x.service.Name, window) {
			if m.Known && named {
				return recordedVersion(m.Version, m.Doubtful)
			}
			peers = append(peers, resumer.Sight{
				Listed: m.Listed, Several: m.Several, Version: m.OnlyVersion, Whole: m.Whole, Fresh: m.Fresh,
			})
		}
	}
	switch verdict := resumer.Judge(own, peers).(type) {
	case resumer.GoOn:
		return verdict.Version, takeUpSingle
	default:
		return "", takeUpUnknown
	}
}

// recordedVersion is the result of findVersion for a stream whose origin is known.
func recordedVersion(version string, doubtful bool) (string, string) {
	if doubtful {
		return "", takeUpUnknown
	}
	return version, takeUpRecorded
}
