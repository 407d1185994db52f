// Package quarantiner counts the endpoints that were lost while they ran a request's content, and
// tells which content may still be run, and how. It is pure: the present time is given to it.
//
// Content is known by the digest of its pipeline and input, without key or account: the same content
// comes again under other keys and from other callers, and crashes endpoints just the same.
package quarantiner

import (
	"slices"
	"time"

	"geraniumline/carrier"
)

// Defaults of Config.
const (
	DefaultSuspectFor    = time.Minute
	DefaultQuarantineFor = 10 * time.Minute
	DefaultMaxMarks      = 4096
)

const (
	// finalCrashes is the count from which content is not run any more.
	finalCrashes = 2
	// sameLoss is the time within which one endpoint is lost but once.
	sameLoss = 2 * time.Second
	// maxTold bounds the marks of one heartbeat.
	maxTold = 64
)

// Config sets a Quarantiner up. Zero fields take the defaults above.
type Config struct {
	// SuspectFor is how long content with one crash runs alone, QuarantineFor how long content with
	// two is refused.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// MaxMarks bounds the contents that are remembered; the oldest go first.
	MaxMarks int
}

// Digest names content.
type Digest = [32]byte

// Verdict tells how content may be run.
type Verdict uint8

// The verdicts.
const (
	// Clear content runs like any other.
	Clear Verdict = iota
	// Suspect content runs alone: if it is innocent that clears it, and if not, nothing is lost beside.
	Suspect
	// Quarantined content is not run any more.
	Quarantined
)

// Quarantiner holds the marks.
type Quarantiner struct {
	cfg   Config
	marks map[Digest]*mark
	// order is the marked digests, the oldest first.
	order []Digest
}

type mark struct {
	crashes int
	expires time.Time
	// cleared tells that the content ran here to its end, and no endpoint was lost.
	cleared bool
	// last is the endpoint that was lost last, at lastAt.
	last   string
	lastAt time.Time
}

// New makes a quarantiner without marks.
func New(cfg Config) *Quarantiner {
	if cfg.SuspectFor == 0 {
		cfg.SuspectFor = DefaultSuspectFor
	}
	if cfg.QuarantineFor == 0 {
		cfg.QuarantineFor = DefaultQuarantineFor
	}
	if cfg.MaxMarks == 0 {
		cfg.MaxMarks = DefaultMaxMarks
	}
	return &Quarantiner{cfg: cfg, marks: map[Digest]*mark{}}
}

// Verdict tells how content may be run now.
func (q *Quarantiner) Verdict(digest Digest, now time.Time) Verdict {
	if len(q.marks) == 0 {
		return Clear
	}
	m, marked := q.marks[digest]
	if !marked || m.cleared || !now.Before(m.expires) {
		return Clear
	}
	if m.crashes >= finalCrashes {
		return Quarantined
	}
	return Suspect
}

// Crashed counts the loss of an endpoint while it ran the content, and gives the verdict from then on.
// Two calls with the same content that were lost with one endpoint count once.
func (q *Quarantiner) Crashed(digest Digest, address string, now time.Time) Verdict {
	m := q.mark(digest, now)
	if m.last == address && now.Sub(m.lastAt) < sameLoss {
		return q.Verdict(digest, now)
	}
	if !now.Before(m.expires) {
		m.crashes = 0
	}
	m.last = address
	m.lastAt = now
	m.cleared = false
	m.crashes++
	m.expires = now.Add(q.lifetime(m.crashes))
	return q.Verdict(digest, now)
}

// Answered clears content that ran to its end without the loss of an endpoint.
func (q *Quarantiner) Answered(digest Digest, now time.Time) {
	m, marked := q.marks[digest]
	if marked && now.Before(m.expires) && m.crashes < finalCrashes {
		m.cleared = true
	}
}

func (q *Quarantiner) lifetime(crashes int) time.Duration {
	if crashes >= finalCrashes {
		return q.cfg.QuarantineFor
	}
	return q.cfg.SuspectFor
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

// expire drops the marks that are too many, and those that have been dead for as long as they lived.
// Until then they are kept, so that the words of slower peers do not bring them back for ever.
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

// Marks is what this entry tells its peers: what it counted and what it heard, so that the count
// outlives the entry that made it.
func (q *Quarantiner) Marks(now time.Time) []carrier.CrashMark {
	var marks []carrier.CrashMark
	for _, digest := range slices.Backward(q.order) {
		m := q.marks[digest]
		if m.cleared || !now.Before(m.expires) {
			continue
		}
		marks = append(marks, carrier.CrashMark{Digest: digest[:], Crashes: int32(m.crashes)})
		if len(marks) == maxTold {
			break
		}
	}
	return marks
}

// Heard takes a peer's marks and gives the digests whose verdict has become Quarantined by them. The
// greater count holds. Counts are not added up, since peers tell on what they heard.
func (q *Quarantiner) Heard(marks []carrier.CrashMark, now time.Time) []Digest {
	var quarantined []Digest
	for i := range marks {
		if len(marks[i].Digest) != len(Digest{}) || marks[i].Crashes <= 0 {
			continue
		}
		digest := Digest(marks[i].Digest)
		m := q.mark(digest, now)
		crashes := min(int(marks[i].Crashes), finalCrashes)
		if crashes <= m.crashes {
			continue
		}
		m.crashes = crashes
		m.cleared = false
		m.expires = now.Add(q.lifetime(crashes))
		if crashes == finalCrashes {
			quarantined = append(quarantined, digest)
		}
	}
	return quarantined
}
