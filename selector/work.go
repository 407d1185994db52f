package selector

// SetPeerWorkUnknown sets whether most peers do not report their work to this entry, because there are too many of them.
func (s *Selector) SetPeerWorkUnknown(unknown bool) { s.peerWorkUnknown = unknown }

// OwnWork returns the tokens of this entry's calls by endpoint ID, for sending to peers.
func (s *Selector) OwnWork() map[string]int {
	work := make(map[string]int, len(s.busy))
	for e := range s.busy {
		work[e.ID] = e.tokens
	}
	return work
}

// addWork changes this entry's own work at an endpoint. The busy endpoints are kept in a separate set because they are
// sent to peers several times a second and are few of the thousands that an entry may know.
func (s *Selector) addWork(e *endpoint, tokens int) {
	e.tokens += tokens
	if e.tokens > 0 {
		s.busy[e] = true
	} else {
		delete(s.busy, e)
	}
}

// SetPeerWork replaces the outstanding work of a peer, in tokens by endpoint ID. A peer that has ended has none.
func (s *Selector) SetPeerWork(peer string, work map[string]int) {
	for id, tokens := range s.peerWork[peer] {
		if e, known := s.byID[id]; known {
			e.peerTokens -= tokens
		}
	}
	delete(s.peerWork, peer)
	if len(work) == 0 {
		return
	}
	s.peerWork[peer] = work
	for id, tokens := range work {
		if e, known := s.byID[id]; known {
			e.peerTokens += tokens
		}
	}
}
