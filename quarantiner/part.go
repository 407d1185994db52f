package quarantiner

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/hasher"
)

// Defaults of PartsConfig.
const (
	defaultPartCrashes = 3
	defaultKeepFor     = 10 * time.Minute
	defaultMaxParts    = 256
)

// defaultTrialDelays releases a sound part that was in crashes by chance within moments, and bounds the endpoints that are
// lost by one that isn't.
var defaultTrialDelays = []time.Duration{0, 20 * time.Second, 10 * time.Minute}

const (
	// maxObservations bounds the observations kept of a part.
	maxObservations = 16
	// clearedFor is how long a part without open crashes is kept, so that late reports of peers don't count against it again.
	clearedFor = 30 * time.Second
	// trialTime is how long a trial is waited for before the next one may be due.
	trialTime = 3 * time.Second
	// neverRetryDelay is the retry delay for a part without trials left.
	neverRetryDelay = time.Minute
)

// PartsConfig configures Parts. Zero fields use the defaults above.
type PartsConfig struct {
	// Crashes is the number of crashes from which on a part is quarantined.
	Crashes int
	// TrialDelays are the times after the last crash at which a request with a quarantined part is sent as a trial, one in the whole
	// fleet. After the last trial there is no other one.
	TrialDelays []time.Duration
	// KeepFor is how long a part is kept after its last crash, or after a request was last refused for it.
	KeepFor time.Duration
	// MaxParts bounds the parts. Those with the fewest crashes are dropped first.
	MaxParts int
}

// Part identifies a part of the prompts of one service.
type Part uint64

// PartOf returns the part with an ID of the prompts of a service.
func PartOf(service string, id uint64) Part {
	return Part(hasher.Mix(xxhash.Sum64String(service) ^ id))
}

// Process identifies the process of an endpoint. Addresses are used again by other processes.
type Process uint64

// ProcessOf returns the process of an endpoint that started at a time.
func ProcessOf(endpoint string, started time.Time) Process {
	millis := int64(0)
	if !started.IsZero() {
		millis = started.UnixMilli()
	}
	return Process(hasher.Mix(xxhash.Sum64String(endpoint) ^ hasher.Mix(uint64(millis))))
}

// String returns the name under which a crash of the process is counted against whole contents.
func (p Process) String() string { return strconv.FormatUint(uint64(p), 16) }

// Parts tracks parts of prompts that crash each endpoint which begins to answer a request with them, whatever else the
// request has. A crash counts against the parts of all requests that had no answer at the endpoint; an answer that begins later
// on a part, at any endpoint, clears it.
type Parts struct {
	cfg     PartsConfig
	records map[Part]*partRecord
	// changed holds the parts that have changed since Changes was last called.
	changed   map[Part]bool
	changedAt time.Time
}

type partRecord struct {
	observations []observation
	// crashes and trials are the numbers of those that no later answer has cleared.
	crashes, trials int
	// lastCrash is the time of the newest crash, seenAt also of the last request that was refused for the part, and
	// answeredAt the time of the newest answer on it.
	lastCrash, seenAt, answeredAt time.Time
	// sentSeenAt is seenAt as peers know it. shared is set once peers know the part.
	sentSeenAt time.Time
	shared     bool
}

// observation is a crash under a part, or a trial of it.
type observation struct {
	id      uint64
	at      time.Time
	trial   bool
	cleared bool
}

// PartChange reports that a part is quarantined from now on, or no longer.
type PartChange struct {
	Part        Part
	Quarantined bool
	Crashes     int
}

// NewParts returns Parts without any part.
func NewParts(cfg PartsConfig) *Parts {
	cfg.Crashes = cmp.Or(cfg.Crashes, defaultPartCrashes)
	if cfg.TrialDelays == nil {
		cfg.TrialDelays = defaultTrialDelays
	}
	cfg.KeepFor = cmp.Or(cfg.KeepFor, defaultKeepFor)
	cfg.MaxParts = cmp.Or(cfg.MaxParts, defaultMaxParts)
	return &Parts{cfg: cfg, records: make(map[Part]*partRecord), changed: make(map[Part]bool)}
}

// count updates the numbers of crashes and trials.
func (r *partRecord) count() {
	r.crashes, r.trials = 0, 0
	for i := range r.observations {
		switch o := &r.observations[i]; {
		case o.cleared:
		case o.trial:
			r.trials++
		default:
			r.crashes++
		}
	}
}

// find returns the observation with an ID, or nil.
func (r *partRecord) find(id uint64) *observation {
	for i := range r.observations {
		if r.observations[i].id == id {
			return &r.observations[i]
		}
	}
	return nil
}

// lastTrial returns the time of the newest trial since the last answer, or the zero time.
func (r *partRecord) lastTrial() time.Time {
	var last time.Time
	for i := range r.observations {
		if o := &r.observations[i]; o.trial && !o.cleared && o.at.After(last) {
			last = o.at
		}
	}
	return last
}

// add stores an observation and reports whether this changes the record. Of too many, all entries keep the same ones.
func (r *partRecord) add(o observation) bool {
	defer r.count()
	if !o.at.After(r.answeredAt) {
		o.cleared = true
	}
	if known := r.find(o.id); known != nil {
		changed := o.cleared && !known.cleared
		known.cleared = known.cleared || o.cleared
		return changed
	}
	if !o.trial && o.at.After(r.lastCrash) {
		r.lastCrash = o.at
	}
	r.observations = append(r.observations, o)
	if len(r.observations) <= maxObservations {
		return true
	}
	slices.SortFunc(r.observations, compareObservations)
	dropped := r.observations[maxObservations]
	r.observations = r.observations[:maxObservations]
	return dropped.id != o.id
}

// compareObservations orders those first that are kept longest.
func compareObservations(a, b observation) int {
	if a.cleared != b.cleared {
		if a.cleared {
			return 1
		}
		return -1
	}
	if a.trial != b.trial {
		if a.trial {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.id, b.id)
}

// RecordCrash records that a process crashed while a request with the parts had no answer there.
func (q *Parts) RecordCrash(parts []Part, process Process, at time.Time) []PartChange {
	var changes []PartChange
	for _, part := range parts {
		r := q.record(part)
		before := r.crashes
		r.seenAt = laterOf(r.seenAt, at)
		if r.add(observation{id: uint64(process), at: at}) {
			q.touch(part, at)
		}
		changes = q.appendChange(changes, part, before, r.crashes)
	}
	return changes
}

// RecordAnswer records that an answer began on the parts: a part that crashes endpoints would have crashed this one.
func (q *Parts) RecordAnswer(parts []Part, at time.Time) []PartChange {
	if q.Empty() {
		return nil
	}
	var changes []PartChange
	for _, part := range parts {
		r, known := q.records[part]
		if !known {
			continue
		}
		before, cleared := r.crashes, false
		r.answeredAt = laterOf(r.answeredAt, at)
		for i := range r.observations {
			if o := &r.observations[i]; !o.cleared && !o.at.After(at) {
				o.cleared, cleared = true, true
			}
		}
		if cleared {
			r.count()
			q.touch(part, at)
		}
		changes = q.appendChange(changes, part, before, r.crashes)
		if r.crashes == 0 && !r.shared {
			q.remove(part)
		}
	}
	return changes
}

func (q *Parts) appendChange(changes []PartChange, part Part, before, after int) []PartChange {
	if held := after >= q.cfg.Crashes; held != (before >= q.cfg.Crashes) {
		changes = append(changes, PartChange{Part: part, Quarantined: held, Crashes: after})
	}
	return changes
}

func (q *Parts) record(part Part) *partRecord {
	r, known := q.records[part]
	if known {
		return r
	}
	if len(q.records) >= q.cfg.MaxParts {
		q.dropLeast()
	}
	r = &partRecord{}
	q.records[part] = r
	return r
}

// dropLeast drops the part with the fewest crashes, the oldest of these.
func (q *Parts) dropLeast() {
	var least Part
	var leastRecord *partRecord
	for part, r := range q.records {
		if leastRecord == nil || r.crashes < leastRecord.crashes || r.crashes == leastRecord.crashes && r.seenAt.Before(leastRecord.seenAt) {
			least, leastRecord = part, r
		}
	}
	q.remove(least)
}

func (q *Parts) remove(part Part) {
	delete(q.records, part)
	delete(q.changed, part)
}

func (q *Parts) touch(part Part, at time.Time) {
	q.changed[part] = true
	q.changedAt = laterOf(q.changedAt, at)
}

// Empty reports whether no part has lately been in a crash.
func (q *Parts) Empty() bool { return len(q.records) == 0 }

// Expire drops parts that were not seen for long.
func (q *Parts) Expire(now time.Time) {
	for part, r := range q.records {
		last := r.seenAt.Add(q.cfg.KeepFor)
		if r.crashes == 0 {
			last = r.seenAt.Add(clearedFor)
		}
		if now.After(last) {
			q.remove(part)
		}
	}
}

// Counts returns the number of parts that are quarantined, and of those with fewer crashes.
func (q *Parts) Counts() (held, suspected int) {
	for _, r := range q.records {
		switch n := r.crashes; {
		case n >= q.cfg.Crashes:
			held++
		case n > 0:
			suspected++
		}
	}
	return held, suspected
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
