package forwarder

const (
	// fullRoundPeers is the largest number of peers that are all sent to in each round.
	fullRoundPeers = 20
	// heartbeatsPerRound and reportsPerRound are how many peers receive a heartbeat and a load report in one round if
	// there are more. The state in a heartbeat reaches some 60 entries within two or three rounds, well inside
	// suspectAfter. Load reports are not passed on, so each peer must receive them from the entry itself, every
	// 0.6 seconds.
	heartbeatsPerRound = 10
	reportsPerRound    = 20
	// maxReportPeers is the largest number of peers to which each entry sends its load reports directly, in rotation.
	// Beyond it a report from each of them would arrive once in over a second, and would be mostly outdated.
	maxReportPeers = 128
)

// targets selects the detector's targets that receive a heartbeat in this round, and the peers that receive a load
// report. The lock must be held.
func (f *Forwarder) targets(detected, peers []string) (heartbeats, reports []string) {
	if !f.detector.UsesGossip() {
		return f.roundTargets(detected, heartbeatsPerRound), f.roundTargets(detected, reportsPerRound)
	}
	if len(peers) > maxReportPeers {
		return detected, detected
	}
	return detected, f.roundTargets(peers, reportsPerRound)
}

// roundTargets selects the targets of this round. If all were sent to in each round, the traffic of an entry would
// grow with the square of their number. Each heartbeat carries the newest state of all members, so that one sent to a
// part in each round still reports all of them. Entries select different parts in the same round: if all selected the
// same, a peer would hear nothing in the rounds between, and consider every entry dead.
func (f *Forwarder) roundTargets(targets []string, each int) []string {
	if len(targets) <= fullRoundPeers {
		return targets
	}
	parts := (len(targets) + each - 1) / each
	share := make([]string, 0, each)
	for i, address := range targets {
		if (i+f.round)%parts == 0 {
			share = append(share, address)
		}
	}
	return share
}
