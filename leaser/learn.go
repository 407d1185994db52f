package leaser

import "slices"

// maxCandidates bounds the records kept for a pool whose holder is unknown.
const maxCandidates = 256

// inferHolder determines the holder from records whose predecessors were lost, and reports whether l is valid. The
// first record read can't be assumed valid: late bids of entries that had lost could keep the wrong lease alive in this
// reader's view alone, and it could finally hold a lease beside the true holder. A record is certainly valid if
//   - a later record names it as its base, since only entries that know the holder name one;
//   - it was appended at least MaxDuration after the pool's previous record, when any other lease had expired;
//   - it is this entry's own, sent when all lost leases had expired, and no other record came in between.
//
// From a valid record on, the holder is known.
func (p *pool) inferHolder(l leaseRecord, lostExpired bool) bool {
	p.candidates = append(p.candidates, l)
	last := len(p.candidates) - 1
	from := slices.IndexFunc(p.candidates, func(c leaseRecord) bool { return c.offset == l.record.Base })
	switch {
	case from >= 0:
	case last > 0 && l.logMillis-p.candidates[last-1].logMillis >= MaxDuration.Milliseconds():
		from = last
	case last == 0 && lostExpired:
		from = last
	default:
		if len(p.candidates) > maxCandidates {
			p.candidates = p.candidates[1:]
		}
		return false
	}
	p.holderKnown = true
	valid := false
	for _, c := range p.candidates[from:] {
		valid = p.grant(c)
	}
	p.candidates = nil
	return valid
}
