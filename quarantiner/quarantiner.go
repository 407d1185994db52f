// Package quarantiner counts the endpoints that were lost while running a request's content, or prompts with a part, and
// decides whether and how these may still be run. It is pure: callers pass in the current time.
//
// Content is identified by the digest of its pipeline and input, without key or account: the same content returns
// under other keys and from other callers, and crashes endpoints just the same.
package quarantiner

import (
	"slices"
	"strconv"
	"time"

	"geraniumline/carrier"
)

// Defaults of Config.
const (
	defaultSuspectFor    = time.Minute
	defaultQuarantineFor = 10 * time.Minute
	defaultMaxMarks      = 4096
)

const (
	// quarantineCrashes is the number of crashes after which content is no longer run.
	quarantineCrashes = 2
	// sameLossWindow is the time within which repeated losses of one endpoint count once. It is longer than a peer's
	// report may be delayed; until it has passed, CrashedEndpoints keeps the content away from that endpoint.
	sameLossWindow = 10 * time.Second
	// maxLosses bounds the losses kept in one mark.
	maxLosses = 16
	// maxSentMarks bounds the marks sent in one heartbeat.
	maxSentMarks = 64
)

// Config configures a Quarantiner. Zero fields use the defaults above.
type Config struct {
	// SuspectFor is how long content with one crash is run in isolation. QuarantineFor is how long content with two
	// crashes is refused.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// MaxMarks bounds the number of marked contents; the oldest are dropped first.
	MaxMarks int
}

// Digest identifies content.
type Digest = [32]byte

// Verdict is how content may be run.
type Verdict uint8

// The verdicts.
const (
	// Clear content runs without restriction.
	Clear Verdict = iota
	// Suspect content runs in isolation: success clears it, and a crash affects no other request.
	Suspect
	// Quarantined content is no longer run.
	Quarantined
)

// Quarantiner holds the crash marks.
type Quarantiner struct {
	cfg   Config
	marks map[Digest]*mark
	// order holds the marked digests, oldest first.
	order []Digest
}

type mark struct {
	losses  []loss
	expires time.Time
	// cleared is set once the content has run to completion here without the loss of an endpoint.
	cleared bool
}

// loss is the loss of one endpoint.
type loss struct {
	endpoint string
	at       time.Time
}

// add records a loss and reports whether it is new.
func (m *mark) add(endpoint string, at time.Time) bool {
	for _, l := range m.losses {
		if l.endpoint == endpoint && l.at.Sub(at).Abs() < sameLossWindow {
			return false
		}
	}
	if len(m.losses) == maxLosses {
		return false
	}
	m.losses = append(m.losses, loss{endpoint: endpoint, at: at})
	return true
}

// New returns a Quarantiner without marks.
func New(cfg Config) *Quarantiner {
	if cfg.SuspectFor == 0 {
		cfg.SuspectFor = defaultSuspectFor
	}
	if cfg.QuarantineFor == 0 {
		cfg.QuarantineFor = defaultQuarantineFor
	}
	if cfg.MaxMarks == 0 {
		cfg.MaxMarks = defaultMaxMarks
	}
	return &Quarantiner{cfg: cfg, marks: map[Digest]*mark{}}
}

// Verdict returns how content may be run now.
func (q *Quarantiner) Verdict(digest Digest, now time.Time) Verdict {
	if len(q.marks) == 0 {
		return Clear
	}
	m, marked := q.marks[digest]
	if !marked || m.cleared || !now.Before(m.expires) {
		return Clear
	}
	if len(m.losses) >= quarantineCrashes {
		return Quarantined
	}
	return Suspect
}

// RecordCrash records the loss of an endpoint that was running the content and returns the resulting verdict. Two
// calls with the same content that were lost with one endpoint count once. The endpoint is named by its process, or by its
// address where processes are not known.
func (q *Quarantiner) RecordCrash(digest Digest, endpoint string, now time.Time) Verdict {
	m := q.mark(digest, now)
	if !now.Before(m.expires) {
		m.losses = m.losses[:0]
	}
	if m.add(endpoint, now) {
		q.refresh(m, now)
	}
	return q.Verdict(digest, now)
}

// Quarantine quarantines content that was proved to crash endpoints. The evidence names the proof; one that peers report
// counts once.
func (q *Quarantiner) Quarantine(digest Digest, evidence string, now time.Time) {
	for i := range quarantineCrashes {
		q.RecordCrash(digest, evidence+"/"+strconv.Itoa(i), now)
	}
}

// CrashedEndpoints returns the endpoints that were lost with the content, as they were named. They must not run it again.
func (q *Quarantiner) CrashedEndpoints(digest Digest) []string {
	m, marked := q.marks[digest]
	if !marked {
		return nil
	}
	endpoints := make([]string, 0, len(m.losses))
	for _, l := range m.losses {
		endpoints = append(endpoints, l.endpoint)
	}
	return endpoints
}

func (q *Quarantiner) refresh(m *mark, lostAt time.Time) {
	m.cleared = false
	m.expires = lostAt.Add(q.cfg.SuspectFor)
	if len(m.losses) >= quarantineCrashes {
		m.expires = lostAt.Add(q.cfg.QuarantineFor)
	}
}

// RecordSuccess clears content that ran to completion without the loss of an endpoint.
func (q *Quarantiner) RecordSuccess(digest Digest, now time.Time) {
	m, marked := q.marks[digest]
	if marked && now.Before(m.expires) && len(m.losses) < quarantineCrashes {
		m.cleared = true
	}
}

func (q *Quarantiner) mark(digest Digest, now time.Time) *mark {
	m, marked := q.marks[digest]
	if marked {
		return m
	}
	q.expire(now)
	m = &mark{expires: now}
	q.marks[digest] = m
	q.order = append(q.order, digest)
	return m
}

// expire drops marks above MaxMarks and marks that expired at least QuarantineFor ago. Until then expired marks are
// kept, so that late reports from peers don't renew them indefinitely.
func (q *Quarantiner) expire(now time.Time) {
	for len(q.order) > 0 {
		m := q.marks[q.order[0]]
		if len(q.order) < q.cfg.MaxMarks && now.Before(m.expires.Add(q.cfg.QuarantineFor)) {
			return
		}
		delete(q.marks, q.order[0])
		q.order = q.order[1:]
	}
}

// Marks returns the marks to send to peers: both own and received ones, so that they survive the loss of the entry
// that recorded them first.
func (q *Quarantiner) Marks(now time.Time) []carrier.CrashMark {
	var marks []carrier.CrashMark
	for _, digest := range slices.Backward(q.order) {
		m := q.marks[digest]
		if m.cleared || !now.Before(m.expires) {
			continue
		}
		sent := carrier.CrashMark{Digest: digest[:]}
		for _, l := range m.losses {
			sent.Losses = append(sent.Losses, carrier.CrashLoss{Endpoint: l.endpoint, AgeMillis: now.Sub(l.at).Milliseconds()})
		}
		marks = append(marks, sent)
		if len(marks) == maxSentMarks {
			break
		}
	}
	return marks
}

// Merge merges a peer's marks and returns the digests that became Quarantined as a result. A loss that is as old as
// the lifetime of its mark is ignored.
func (q *Quarantiner) Merge(marks []carrier.CrashMark, now time.Time) []Digest {
	var quarantined []Digest
	for i := range marks {
		if len(marks[i].Digest) != len(Digest{}) || len(marks[i].Losses) == 0 {
			continue
		}
		digest := Digest(marks[i].Digest)
		before := q.Verdict(digest, now)
		m := q.mark(digest, now)
		for _, l := range marks[i].Losses {
			age := time.Duration(l.AgeMillis) * time.Millisecond
			if age >= 0 && age < q.cfg.QuarantineFor && m.add(l.Endpoint, now.Add(-age)) {
				q.refresh(m, now.Add(-age))
			}
		}
		if before != Quarantined && q.Verdict(digest, now) == Quarantined {
			quarantined = append(quarantined, digest)
		}
	}
	return quarantined
}
