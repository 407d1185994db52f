package biller

// Bounds on the state of other entries. VMs are replaced every day and each new one has a
// new name, so without bounds a long-lived entry would accumulate the bills of entries that
// are gone.
const (
	// maxIncarnations is the maximum number of incarnations of an entry that are stored separately.
	maxIncarnations = 4
	// maxUnsettled is the maximum number of entries with incarnations that are stored separately.
	maxUnsettled = 1024
	// maxSources is the maximum number of entries of which any state is stored.
	maxSources = 65_536
)

// source holds the bills received from one entry.
type source struct {
	incarnations map[uint64]totals
	// settledTo is the highest incarnation whose bills were added to Biller.settled. Late
	// bills of that incarnation or an earlier one are dropped: their part in the settled
	// total is unknown, so they would be counted twice.
	settledTo uint64
	settled   bool
	// lastMerge is the value of Biller.merges at the last merge of the entry's bills.
	lastMerge uint64
}

func (s *source) isSettled(incarnation uint64) bool {
	return s.settled && incarnation <= s.settledTo
}

func (s *source) merge(incarnation uint64, bills []Bill) {
	t, ok := s.incarnations[incarnation]
	if !ok {
		t = totals{}
		s.incarnations[incarnation] = t
	}
	t.raiseTo(bills)
}

// oldest returns the lowest incarnation that is stored separately.
func (s *source) oldest() uint64 {
	oldest := ^uint64(0)
	for incarnation := range s.incarnations {
		oldest = min(oldest, incarnation)
	}
	return oldest
}

// settle adds the oldest incarnations to the settled total until at most keep remain stored separately.
func (b *Biller) settle(s *source, keep int) {
	for len(s.incarnations) > keep {
		oldest := s.oldest()
		b.settled.add(s.incarnations[oldest])
		delete(s.incarnations, oldest)
		s.settledTo = oldest
		s.settled = true
	}
}

// enforceLimits settles or removes the entry with the oldest last merge if there are too many.
func (b *Biller) enforceLimits() {
	if b.unsettled > maxUnsettled {
		s, _ := b.stalest(func(s *source) bool { return len(s.incarnations) > 0 })
		b.settle(s, 0)
		b.unsettled--
	}
	if len(b.peers) > maxSources {
		_, entry := b.stalest(func(s *source) bool { return len(s.incarnations) == 0 })
		delete(b.peers, entry)
	}
}

// stalest returns the matching source with the oldest last merge, and its entry's name.
func (b *Biller) stalest(matches func(s *source) bool) (*source, string) {
	var found *source
	var name string
	for entry, s := range b.peers {
		if matches(s) && (found == nil || s.lastMerge < found.lastMerge) {
			found, name = s, entry
		}
	}
	return found, name
}
