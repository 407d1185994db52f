package pathfinder

import (
	"maps"
	"math/rand/v2"
	"time"
)

// Relay is a peer that may relay calls.
type Relay struct {
	Address string
	Zone    string
}

// RecordRelayFailed records that a peer couldn't relay a call, because it is partitioned too, stopping or not reached.
func (f *Finder) RecordRelayFailed(peer Relay, now time.Time) {
	f.pausedUntil[peer.Address] = now.Add(relayPause)
	f.zonePausedUntil[peer.Zone] = now.Add(zonePause)
	delete(f.relayedAt, peer.Address)
}

// ChooseRelay returns the peer to ask next. zone is the availability zone of this entry, and retry is set if another peer
// has failed to relay the same call.
func (f *Finder) ChooseRelay(peers []Relay, zone string, retry bool, random *rand.Rand, now time.Time) (Relay, bool) {
	f.forgetRelays(now)
	var proven, near, far, doubtful []Relay
	for _, p := range peers {
		_, paused := f.pausedUntil[p.Address]
		_, zonePaused := f.zonePausedUntil[p.Zone]
		_, relayed := f.relayedAt[p.Address]
		switch {
		case paused:
		case relayed:
			proven = append(proven, p)
		case zonePaused:
			doubtful = append(doubtful, p)
		case p.Zone == zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	lists := [][]Relay{proven, near, far, doubtful}
	if !retry && len(proven) < fewRelays && random.IntN(2) == 0 {
		lists = [][]Relay{near, far, proven, doubtful}
	}
	for _, list := range lists {
		if len(list) > 0 {
			return list[random.IntN(len(list))], true
		}
	}
	return Relay{}, false
}

// forgetRelays discards what no longer says anything about peers.
func (f *Finder) forgetRelays(now time.Time) {
	ended := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(f.pausedUntil, ended)
	maps.DeleteFunc(f.zonePausedUntil, ended)
	maps.DeleteFunc(f.relayedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= relayMemory })
}
