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
	defaultSuspectFor    = time.Minute
	defaultQuarantineFor = 10 * time.Minute
	defaultMaxMarks      = 4096
)

const (
	// finalCrashes is the count from which content is not run any more.
	finalCrashes = 2
	// sameLoss is the time within which one endpoint is lost but once. It is longer than a peer's news
	// may be held up on its way; Lost keeps the content from the endpoint meanwhile.
	sameLoss = 10 * time.Second
	// maxLosses bounds the losses that one mark names.
	maxLosses = 16
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
	losses  []loss
	expires time.Time
	// cleared tells that the content ran here to its end, and no endpoint was lost.
	cleared bool
}

// loss is one endpoint's.
type loss struct {
	address string
	at      time.Time
}

// add notes a loss, and tells whether it is a new one.
func (m *mark) add(address string, at time.Time) bool {
	for _, l := range m.losses {
		if l.address == address && l.at.Sub(at).Abs() < sameLoss {
			return false
		}
	}
	if len(m.losses) == maxLosses {
		return false
	}
	m.losses = append(m.losses, loss{address: address, at: at})
	return true
}

// New makes a quarantiner without marks.
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

// Verdict tells how content may be run now.
func (q *Quarantiner) Verdict(digest Digest, now time.Time) Verdict {
	if len(q.marks) == 0 {
		return Clear
	}
	m, marked := q.marks[digest]
	if !marked || m.cleared || !now.Before(m.expires) {
		return Clear
	}
	if len(m.losses) >= finalCrashes {
		return Quarantined
	}
	return Suspect
}

// RecordCrash notes the loss of an endpoint while it ran the content, and gives the verdict from then on.
// Two calls with the same content that were lost with one endpoint count once.
func (q *Quarantiner) RecordCrash(digest Digest, address string, now time.Time) Verdict {
	m := q.mark(digest, now)
	if !now.Before(m.expires) {
		m.losses = m.losses[:0]
	}
	if m.add(address, now) {
		q.renew(m, now)
	}
	return q.Verdict(digest, now)
}

// CrashedEndpoints gives the endpoints that were lost with the content, which must not run it again.
func (q *Quarantiner) CrashedEndpoints(digest Digest) []string {
	m, marked := q.marks[digest]
	if !marked {
		return nil
	}
	addresses := make([]string, 0, len(m.losses))
	for _, l := range m.losses {
		addresses = append(addresses, l.address)
	}
	return addresses
}

func (q *Quarantiner) renew(m *mark, now time.Time) {
	m.cleared = false
	m.expires = now.Add(q.cfg.SuspectFor)
	if len(m.losses) >= finalCrashes {
		m.expires = now.Add(q.cfg.QuarantineFor)
	}
}

// RecordSuccess clears content that ran to its end without the loss of an endpoint.
func (q *Quarantiner) RecordSuccess(digest Digest, now time.Time) {
	m, marked := q.marks[digest]
	if marked && now.Before(m.expires) && len(m.losses) < finalCrashes {
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

// expire drops the marks that are too many, and those that have been dead for as long as they lived.
// Until then they are kept, so that the news of slower peers do not bring them back for ever.
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

// Marks is what this entry tells its peers: what it saw and what it heard, so that the knowledge
// outlives the entry that had it first.
func (q *Quarantiner) Marks(now time.Time) []carrier.CrashMark {
	var marks []carrier.CrashMark
	for _, digest := range slices.Backward(q.order) {
		m := q.marks[digest]
		if m.cleared || !now.Before(m.expires) {
			continue
		}
		told := carrier.CrashMark{Digest: digest[:]}
		for _, l := range m.losses {
			told.Losses = append(told.Losses, carrier.CrashLoss{Address: l.address, AgeMillis: now.Sub(l.at).Milliseconds()})
		}
		marks = append(marks, told)
		if len(marks) == maxTold {
			break
		}
	}
	return marks
}

// Merge takes a peer's marks and gives the digests whose verdict has become Quarantined by them.
// A loss that is as old as its mark would have lived is not brought back.
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
			if age >= 0 && age < q.cfg.QuarantineFor && m.add(l.Address, now.Add(-age)) {
				q.renew(m, now.Add(-age))
			}
		}
		if before != Quarantined && q.Verdict(digest, now) == Quarantined {
			quarantined = append(quarantined, digest)
		}
	}
	return quarantined
}
