package quarantiner

import (
	"time"

	"geraniumline/carrier"
)

const (
	// partSettleTime is how long an entry's parts must be unchanged before it sends all of them to a peer that knows others:
	// changes reach all peers within some rounds of heartbeats.
	partSettleTime = 600 * time.Millisecond
	// partRepairInterval is the least time between two such messages to one peer, and partRepeatInterval between two with the
	// same parts. maxPartRepairs is the number of them in one round of heartbeats.
	partRepairInterval = time.Second
	partRepeatInterval = 10 * time.Second
	maxPartRepairs     = 4
)

// PartPeers tracks which peers of an entry understand messages about parts, and which of them know something else.
type PartPeers struct {
	// tracks holds the peers heard directly whose release tracks parts, with the last message of all parts to each.
	tracks map[string]partRepair
	// earlier holds the peers heard directly whose release doesn't.
	earlier map[string]bool
	// repairs counts the peers that all parts were sent to in this round.
	repairs int
}

// partRepair is a message of all parts to a peer.
type partRepair struct {
	at  time.Time
	sum uint32
}

// due reports whether the next such message, of parts with the checksum, may be sent.
func (r partRepair) due(sum uint32, now time.Time) bool {
	interval := partRepairInterval
	if r.sum == sum {
		interval = partRepeatInterval
	}
	return now.Sub(r.at) >= interval
}

// NewPartPeers returns PartPeers that knows no peer.
func NewPartPeers() *PartPeers {
	return &PartPeers{tracks: make(map[string]partRepair), earlier: make(map[string]bool)}
}

// BeginRound begins a round of heartbeats.
func (p *PartPeers) BeginRound() { p.repairs = 0 }

// Tracks reports whether a peer was heard whose release tracks parts.
func (p *PartPeers) Tracks(peer string) bool {
	_, tracks := p.tracks[peer]
	return tracks
}

// HasEarlier reports whether a peer was heard whose release doesn't track parts.
func (p *PartPeers) HasEarlier() bool { return len(p.earlier) > 0 }

// Forget drops what is known of a peer.
func (p *PartPeers) Forget(peer string) {
	delete(p.tracks, peer)
	delete(p.earlier, peer)
}

// Receive compares the checksum in a peer's heartbeat with an entry's parts. It returns all parts if they are to be sent to
// the peer, which has just started or has missed a change.
func (p *PartPeers) Receive(peer string, sum uint32, parts *Parts, now time.Time) []carrier.CrashedPart {
	if sum == 0 {
		p.Forget(peer)
		p.earlier[peer] = true
		return nil
	}
	delete(p.earlier, peer)
	last := p.tracks[peer]
	p.tracks[peer] = last
	if parts.Empty() || now.Sub(parts.changedAt) < partSettleTime || p.repairs >= maxPartRepairs {
		return nil
	}
	own := parts.Sum()
	if sum == own || !last.due(own, now) {
		return nil
	}
	p.tracks[peer] = partRepair{at: now, sum: own}
	p.repairs++
	return parts.All(now)
}
