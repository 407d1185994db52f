package leaser

import "slices"

// maxKept bounds the records kept of a pool whose holder is not known.
const maxKept = 256

// learn looks for proof of who holds the lease in records whose predecessors are lost. A reader that took the first
// record it sees for valid could be wrong, and stay so: late bids of entries that had lost could keep the wrong lease
// alive in its view alone, and it would at last hold one itself beside the true holder. A record is surely valid if
//   - a later one names it as its base, since only entries that know the holder name one;
//   - it was appended a longest lease after the pool's record before it, when any other had lapsed;
//   - it is this entry's own, sent when all lost leases had lapsed, and none came between.
//
// From a valid record on, the fold has all there is.
func (p *pool) learn(l lease, after bool) bool {
	p.kept = append(p.kept, l)
	last := len(p.kept) - 1
	from := slices.IndexFunc(p.kept, func(k lease) bool { return k.offset == l.record.Base })
	switch {
	case from >= 0:
	case last > 0 && l.millis-p.kept[last-1].millis >= MaxDuration.Milliseconds():
		from = last
	case last == 0 && after:
		from = last
	default:
		if len(p.kept) > maxKept {
			p.kept = p.kept[1:]
		}
		return false
	}
	p.known = true
	valid := false
	for _, k := range p.kept[from:] {
		valid = p.decide(k)
	}
	p.kept = nil
	return valid
}
