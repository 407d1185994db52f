package forwarder

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"geraniumline/meter"
	"geraniumline/quarantiner"
	"geraniumline/selector"
)

const (
	// maxTrialWait bounds how long a request waits for the trial of one of its parts, whose answer may show that it is sound.
	maxTrialWait = 300 * time.Millisecond
	// trialPollInterval is how often it checks.
	trialPollInterval = 10 * time.Millisecond
	// maxCrashCheckWait bounds how long a request that broke off waits to learn whether its endpoint crashed before it is sent
	// to another one.
	maxCrashCheckWait = 50 * time.Millisecond
	// maxSharedParts bounds the parts of a prompt that are tracked, and asked for in a call for a trial.
	maxSharedParts = 256
)

// sharedParts returns the parts of the prompt that other requests may have too: all but the last.
func (x *exchange) sharedParts() []quarantiner.Part {
	if len(x.req.Parts) < 2 {
		return nil
	}
	shared := x.req.Parts[:min(len(x.req.Parts)-1, maxSharedParts)]
	parts := make([]quarantiner.Part, len(shared))
	for i, part := range shared {
		parts[i] = quarantiner.PartOf(x.service.Name, part.ID)
	}
	return parts
}

// checkParts refuses a request before its stages run if a part of its prompt crashes endpoints.
func (x *exchange) checkParts() *FailureError {
	x.parts = x.sharedParts()
	if len(x.parts) == 0 {
		return nil
	}
	if refuse, refused := x.partVerdict(time.Now()).(quarantiner.Refuse); refused {
		return x.refuseForPart(refuse)
	}
	return nil
}

func (x *exchange) partVerdict(now time.Time) quarantiner.PartVerdict {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	return x.f.parts.Verdict(x.parts, now)
}

// partsAreFree reports whether the request may be sent to one more endpoint while another one has it, as far as the parts of its
// prompt are concerned.
func (x *exchange) partsAreFree(now time.Time) bool {
	if len(x.parts) == 0 {
		return true
	}
	_, free := x.partVerdict(now).(quarantiner.SendFreely)
	return free
}

// refuseForPart returns the failure for a request with a part that crashes endpoints.
func (x *exchange) refuseForPart(refuse quarantiner.Refuse) *FailureError {
	x.f.mu.Lock()
	x.f.parts.RecordRefusal(refuse.Part, time.Now())
	x.f.mu.Unlock()
	x.f.logSampled("request refused for a part of its prompt",
		zap.String("request", x.req.ID),
		zap.String("part", formatPart(refuse.Part)),
		zap.Int("crashes", refuse.Crashes))
	return x.giveUpFor(refuse.RetryAfter)
}

func (x *exchange) giveUpFor(retryAfter time.Duration) *FailureError {
	if x.runs > 0 {
		return mayHaveRun("crashingPart")
	}
	return notRun("crashingPart", retryAfter)
}

// allowParts returns nil once the request may be sent to an endpoint as far as the parts of its prompt are concerned. A trial
// of a part is sent alone, while other requests with it wait for a moment.
func (x *exchange) allowParts() *FailureError {
	if len(x.parts) == 0 {
		return nil
	}
	x.awaitCrashCheck()
	if x.trial {
		// It has crashed its endpoint, or was refused there: the trial is over.
		x.trial = false
		return x.giveUpFor(shortRetryDelay())
	}
	var askedAt time.Time
	for limit := time.Now().Add(maxTrialWait); ; {
		now := time.Now()
		switch verdict := x.partVerdict(now).(type) {
		case quarantiner.SendFreely:
			return nil
		case quarantiner.Refuse:
			return x.refuseForPart(verdict)
		case quarantiner.SendAsTrial:
			if now.Sub(askedAt) < heartbeatInterval {
				break
			}
			askedAt = now
			if x.takeTrial(verdict.Part, now) {
				x.trial = true
				return nil
			}
		case quarantiner.AwaitTrial:
		}
		if now.After(limit) || x.ctx.Err() != nil {
			return x.giveUpFor(shortRetryDelay())
		}
		time.Sleep(trialPollInterval)
	}
}

// awaitCrashCheck waits for the check whether the endpoint of the request's last attempt crashed.
func (x *exchange) awaitCrashCheck() {
	if x.crashChecked == nil {
		return
	}
	timer := time.NewTimer(maxCrashCheckWait)
	defer timer.Stop()
	select {
	case <-x.crashChecked:
	case <-timer.C:
	case <-x.ctx.Done():
	}
	x.crashChecked = nil
}

// promptQuery returns the query for an endpoint of a request with a prompt. A trial goes to the endpoint with the least
// work, wherever the prompt is cached: if it crashes, the fewest requests are lost.
func (x *exchange) promptQuery(zoneBytes map[string]int64) selector.Query {
	query := selector.Query{Parts: x.req.Parts, ZoneBytes: zoneBytes}
	if x.trial {
		query.Parts = nil
	}
	return query
}

// recordPartsAnswered records that an endpoint began to answer the request.
func (x *exchange) recordPartsAnswered(now time.Time) {
	if len(x.parts) == 0 {
		return
	}
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.logPartChanges(x.f.parts.RecordAnswer(x.parts, now))
}

// logPartChanges logs which parts are quarantined from now on, and which no longer. The lock must be held.
func (f *Forwarder) logPartChanges(changes []quarantiner.PartChange) {
	for _, c := range changes {
		message := "part of prompts released"
		if c.Quarantined {
			message = "part of prompts quarantined"
		}
		f.log.Warn(message, zap.String("part", formatPart(c.Part)), zap.Int("crashes", c.Crashes))
	}
}

func formatPart(part quarantiner.Part) string { return strconv.FormatUint(uint64(part), 16) }

// formatParts formats parts of prompts for log lines.
func formatParts(parts []quarantiner.Part) []string {
	list := make([]string, len(parts))
	for i, part := range parts {
		list[i] = formatPart(part)
	}
	return list
}

// updatePartGauges sets the gauges of parts of prompts that crash endpoints. The lock must be held.
func (f *Forwarder) updatePartGauges() {
	held, suspected := f.parts.Counts()
	f.cfg.Meter.Gauge(meter.PartsQuarantined).Update(int64(held))
	f.cfg.Meter.Gauge(meter.PartsSuspected).Update(int64(suspected))
}
