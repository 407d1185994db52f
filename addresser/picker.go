package addresser

import (
	"github.com/cespare/xxhash/v2"

	"geraniumline/detector"
	"geraniumline/hasher"
)

// picker takes members for one account, one after another.
type picker struct {
	candidates []candidate
	// taken counts the members taken from each zone.
	taken []int
}

// candidate is a member that can still be taken.
type candidate struct {
	member *detector.Member
	// zone is the index of the member's zone in taken.
	zone  int
	score uint64
	taken bool
}

func newPicker(account string, members []*detector.Member) *picker {
	seed := xxhash.Sum64String(account)
	zones := make(map[string]int)
	p := &picker{candidates: make([]candidate, len(members))}
	for i, m := range members {
		zone, ok := zones[m.Zone]
		if !ok {
			zone = len(zones)
			zones[m.Zone] = zone
			p.taken = append(p.taken, 0)
		}
		p.candidates[i] = candidate{member: m, zone: zone, score: hasher.Mix(seed ^ xxhash.Sum64String(m.Name))}
	}
	return p
}

// next takes the member with the highest score among those whose zones were taken from least; nil if none is left.
// Taking away a member that isn't picked changes no other pick, so a leave moves only the leaver's accounts.
func (p *picker) next() *detector.Member {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.taken && (best == nil || p.before(c, best)) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	best.taken = true
	p.taken[best.zone]++
	return best.member
}

// before tells whether x is picked rather than y. Names settle equal scores, so that all entries agree.
func (p *picker) before(x, y *candidate) bool {
	switch {
	case p.taken[x.zone] != p.taken[y.zone]:
		return p.taken[x.zone] < p.taken[y.zone]
	case x.score != y.score:
		return x.score > y.score
	default:
		return x.member.Name < y.member.Name
	}
}
