package biller

// The bounds of what is kept of other entries. VMs are replaced every day and each new one
// brings a new name, so without them a long-lived entry would fill up with the bills of
// entries that are gone.
const (
	// keptIncarnations is how many incarnations of an entry are kept apart.
	keptIncarnations = 4
	// keptSources is how many entries are kept apart.
	keptSources = 1024
	// keptMarks is how many entries are remembered at all.
	keptMarks = 65_536
)

// source is what is known of one entry's bills.
type source struct {
	incarnations map[uint64]totals
	// settledTo is the highest incarnation whose bills were added to the Biller's settled
	// total. A bill of that or an earlier one that comes late is dropped: it can't be told
	// apart from what was added, and would be counted twice.
	settledTo uint64
	settled   bool
	// merged is when the entry was last heard of, by a count of merges.
	merged uint64
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
	t.raise(bills)
}

// oldest is the lowest incarnation that is kept apart.
func (s *source) oldest() uint64 {
	oldest := ^uint64(0)
	for incarnation := range s.incarnations {
		oldest = min(oldest, incarnation)
	}
	return oldest
}

// settle adds the oldest incarnations to the settled total until only some are kept apart.
func (b *Biller) settle(s *source, keep int) {
	for len(s.incarnations) > keep {
		oldest := s.oldest()
		b.settled.add(s.incarnations[oldest])
		delete(s.incarnations, oldest)
		s.settledTo = oldest
		s.settled = true
	}
}

// bound settles the entries that were not heard of for longest.
func (b *Biller) bound() {
	if b.apart > keptSources {
		s, _ := b.stalest(func(s *source) bool { return len(s.incarnations) > 0 })
		b.settle(s, 0)
		b.apart--
	}
	if len(b.peers) > keptMarks {
		_, entry := b.stalest(func(s *source) bool { return len(s.incarnations) == 0 })
		delete(b.peers, entry)
	}
}

func (b *Biller) stalest(fits func(s *source) bool) (*source, string) {
	var found *source
	var name string
	for entry, s := range b.peers {
		if fits(s) && (found == nil || s.merged < found.merged) {
			found, name = s, entry
		}
	}
	return found, name
}
