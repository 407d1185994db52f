package quarantiner

import (
	"time"

	"geraniumline/carrier"
	"geraniumline/hasher"
)

// Changes returns the parts that have changed since the last call, to send to peers. Each peer that learns something from
// them passes it on in the same way.
func (q *Parts) Changes(now time.Time) []carrier.CrashedPart {
	var list []carrier.CrashedPart
	for part := range q.changed {
		list = append(list, q.message(part, now))
	}
	clear(q.changed)
	return list
}

// All returns all parts, to send to a peer that knows others.
func (q *Parts) All(now time.Time) []carrier.CrashedPart {
	list := make([]carrier.CrashedPart, 0, len(q.records))
	for part := range q.records {
		list = append(list, q.message(part, now))
	}
	return list
}

func (q *Parts) message(part Part, now time.Time) carrier.CrashedPart {
	r := q.records[part]
	r.shared, r.sentSeenAt = true, r.seenAt
	m := carrier.CrashedPart{Part: uint64(part), SeenAgeMillis: now.Sub(r.seenAt).Milliseconds()}
	for _, o := range r.observations {
		m.Observations = append(m.Observations, carrier.PartObservation{
			ID: o.id, AgeMillis: now.Sub(o.at).Milliseconds(), Trial: o.trial, Cleared: o.cleared,
		})
	}
	return m
}

// Merge merges a peer's parts.
func (q *Parts) Merge(list []carrier.CrashedPart, now time.Time) []PartChange {
	var changes []PartChange
	for i := range list {
		m := &list[i]
		seenAge := ageOf(m.SeenAgeMillis)
		if len(m.Observations) == 0 || seenAge < 0 || seenAge >= q.cfg.KeepFor {
			continue
		}
		part := Part(m.Part)
		r := q.record(part)
		r.shared = true
		before := r.crashes
		r.seenAt = laterOf(r.seenAt, now.Add(-seenAge))
		for _, o := range m.Observations {
			age := ageOf(o.AgeMillis)
			if age >= 0 && r.add(observation{id: o.ID, at: now.Add(-age), trial: o.Trial, cleared: o.Cleared}) {
				q.touch(part, now)
			}
		}
		if r.seenAt.Sub(r.sentSeenAt) >= q.cfg.KeepFor/10 {
			q.touch(part, now)
		}
		changes = q.appendChange(changes, part, before, r.crashes)
	}
	return changes
}

func ageOf(millis int64) time.Duration { return time.Duration(millis) * time.Millisecond }

// Sum returns a checksum of the parts and their observations, never 0. Entries with the same sum know the same.
func (q *Parts) Sum() uint32 {
	sum := uint64(0)
	for part, r := range q.records {
		for _, o := range r.observations {
			sum ^= observationHash(part, o)
		}
	}
	return max(uint32(sum>>32)^uint32(sum), 1)
}

func observationHash(part Part, o observation) uint64 {
	h := hasher.Mix(uint64(part) ^ hasher.Mix(o.id))
	if o.cleared {
		return hasher.Mix(h + 1)
	}
	return h
}
