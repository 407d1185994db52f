package quarantiner

import (
	"slices"
	"time"
)

// PartVerdict is how a request may be sent, by the parts of its prompt.
type PartVerdict interface{ partVerdict() }

// The verdicts on the parts of a prompt.
type (
	// SendFreely is the verdict if no part is quarantined.
	SendFreely struct{}
	// SendAsTrial is the verdict if a trial is due of a part that is quarantined. The trial has to be granted first.
	SendAsTrial struct{ Part Part }
	// AwaitTrial is the verdict while a trial is under way.
	AwaitTrial struct{ Until time.Time }
	// Refuse is the verdict on a part that is quarantined.
	Refuse struct {
		Part       Part
		Crashes    int
		RetryAfter time.Duration
	}
)

func (SendFreely) partVerdict()  {}
func (SendAsTrial) partVerdict() {}
func (AwaitTrial) partVerdict()  {}
func (Refuse) partVerdict()      {}

// Verdict returns how a request with the parts may be sent now.
func (q *Parts) Verdict(parts []Part, now time.Time) PartVerdict {
	if q.Empty() {
		return SendFreely{}
	}
	held := q.quarantinedParts(parts)
	if len(held) == 0 {
		return SendFreely{}
	}
	due := now
	for _, part := range held {
		r := q.records[part]
		trial := r.lastTrial()
		if until := trial.Add(trialTime); !trial.IsZero() && now.Before(until) && !r.lastCrash.After(trial) {
			return AwaitTrial{Until: until}
		}
		due = laterOf(due, q.nextTrial(r))
	}
	last := held[len(held)-1]
	if !due.After(now) {
		return SendAsTrial{Part: last}
	}
	return Refuse{Part: last, Crashes: q.records[last].crashes, RetryAfter: min(due.Sub(now), neverRetryDelay)}
}

// nextTrial returns when the next trial of a part is due. One that ended without a crash or an answer is repeated soon.
func (q *Parts) nextTrial(r *partRecord) time.Time {
	switch trial := r.lastTrial(); {
	case r.trials >= len(q.cfg.TrialDelays):
		return r.seenAt.Add(q.cfg.KeepFor)
	case trial.After(r.lastCrash):
		return trial.Add(trialTime)
	default:
		return r.lastCrash.Add(q.cfg.TrialDelays[r.trials])
	}
}

// TakeTrial grants a trial of the parts if one is due. The ID must be unique.
func (q *Parts) TakeTrial(parts []Part, id uint64, now time.Time) bool {
	if _, due := q.Verdict(parts, now).(SendAsTrial); !due {
		return false
	}
	for _, part := range q.quarantinedParts(parts) {
		q.records[part].add(observation{id: id, at: now, trial: true})
		q.touch(part, now)
	}
	return true
}

// RecordRefusal records that a request was refused for the part, which is therefore kept.
func (q *Parts) RecordRefusal(part Part, now time.Time) {
	r, known := q.records[part]
	if !known {
		return
	}
	r.seenAt = laterOf(r.seenAt, now)
	if r.seenAt.Sub(r.sentSeenAt) >= q.cfg.KeepFor/10 {
		q.touch(part, now)
	}
}

// quarantinedParts returns those of a request's parts that are quarantined, in order. Parts that come together are in the
// same crashes; a request that has only some of them is sent, so that it clears these if they are sound.
func (q *Parts) quarantinedParts(parts []Part) []Part {
	var held []Part
	for i, part := range parts {
		r, known := q.records[part]
		if !known || r.crashes < q.cfg.Crashes || slices.Contains(parts[:i], part) {
			continue
		}
		if q.unexplained(r, parts) >= q.cfg.Crashes {
			held = append(held, part)
		}
	}
	return held
}

// unexplained returns the number of a part's crashes for which no part outside the request is quarantined.
func (q *Parts) unexplained(r *partRecord, parts []Part) int {
	n := 0
	for i := range r.observations {
		if o := &r.observations[i]; !o.trial && !o.cleared && !q.explained(o.id, parts) {
			n++
		}
	}
	return n
}

// explained reports whether a part that the request doesn't have is quarantined for a crash.
func (q *Parts) explained(crash uint64, parts []Part) bool {
	for part, r := range q.records {
		if r.crashes < q.cfg.Crashes || slices.Contains(parts, part) {
			continue
		}
		if o := r.find(crash); o != nil && !o.cleared {
			return true
		}
	}
	return false
}
