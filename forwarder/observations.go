package forwarder

import "time"

const (
	// observationWindow is how long an observation is reported to peers. Within it, each peer receives a load report, also
	// where reports go to a part of the peers in each round.
	observationWindow = time.Second
	// maxObservations bounds the observations of a kind in one report. An entry that makes more reports the newest ones.
	maxObservations = 128
)

// observations holds what this entry has recently observed for its next load reports, and which observations of its peers
// it has applied. Each observation is in several reports to the same peer and is applied there once.
type observations[T any] struct {
	sequence uint64
	recent   []recentObservation[T]
	applied  map[string]appliedObservations
}

type recentObservation[T any] struct {
	observation T
	at          time.Time
}

// appliedObservations is the number of a peer's last observation that was applied.
type appliedObservations struct {
	incarnation uint64
	sequence    uint64
}

// next returns the number of the next observation.
func (o *observations[T]) next() uint64 {
	o.sequence++
	return o.sequence
}

// add stores an observation of this entry.
func (o *observations[T]) add(observation T, now time.Time) {
	o.recent = append(o.recent, recentObservation[T]{observation: observation, at: now})
	if len(o.recent) > maxObservations {
		o.recent = o.recent[len(o.recent)-maxObservations:]
	}
}

// report returns the observations of the last moment.
func (o *observations[T]) report(now time.Time) []T {
	for len(o.recent) > 0 && now.Sub(o.recent[0].at) > observationWindow {
		o.recent = o.recent[1:]
	}
	list := make([]T, len(o.recent))
	for i, r := range o.recent {
		list[i] = r.observation
	}
	return list
}

// unapplied returns those of a peer's observations that have not been applied yet, and marks them as applied. A peer that
// has restarted numbers its observations from the start.
func (o *observations[T]) unapplied(peer string, incarnation uint64, list []T, sequenceOf func(*T) uint64) []T {
	applied := o.applied[peer]
	if applied.incarnation != incarnation {
		applied = appliedObservations{incarnation: incarnation}
	}
	var fresh []T
	last := applied.sequence
	for i := range list {
		if n := sequenceOf(&list[i]); n > applied.sequence {
			fresh = append(fresh, list[i])
			last = max(last, n)
		}
	}
	applied.sequence = last
	if o.applied == nil {
		o.applied = make(map[string]appliedObservations)
	}
	o.applied[peer] = applied
	return fresh
}

// forget drops the state of peers that are no longer known.
func (o *observations[T]) forget(known func(peer string) bool) {
	for peer := range o.applied {
		if !known(peer) {
			delete(o.applied, peer)
		}
	}
}
