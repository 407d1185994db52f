package forwarder

const (
	// toldWhole is up to how many peers all are told in each round.
	toldWhole = 20
	// heartbeatsEachRound and reportsEachRound are how many peers hear of others' lives and of this entry's work in one
	// round where there are more. A heartbeat's news reach some 60 entries within two or three rounds, well inside
	// suspectAfter; work is not passed on, so that each must hear it from the entry itself, every 0.6 s.
	heartbeatsEachRound = 10
	reportsEachRound    = 20
	// maxReportPeers is up to how many peers each tells all others in turn of its work. Beyond it a report comes from each of them
	// once in over a second, and says little that is still true.
	maxReportPeers = 128
)

// targets gives those of the detector's targets that get a heartbeat in this round, and the peers that get this entry's
// work. The lock is held.
func (f *Forwarder) targets(detected, peers []string) (heartbeats, reports []string) {
	if !f.detector.UsesGossip() {
		return f.shareOf(detected, heartbeatsEachRound), f.shareOf(detected, reportsEachRound)
	}
	if len(peers) > maxReportPeers {
		return detected, detected
	}
	return detected, f.shareOf(peers, reportsEachRound)
}

// shareOf gives the part of the peers that are told in this round. Told all in each round, what an entry sends grows
// with the square of their number. Each heartbeat carries the newest state of all
// members, so that one of a part each round still tells of everybody. Entries tell different parts in the same round:
// told by all at once, a peer would hear nothing for the rounds between, and take everybody for dead.
func (f *Forwarder) shareOf(targets []string, each int) []string {
	if len(targets) <= toldWhole {
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
