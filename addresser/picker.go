package addresser

import (
	"github.com/cespare/xxhash/v2"

	"geraniumline/detector"
	"geraniumline/hasher"
)

// picker selects members for one account, one at a time.
type picker struct {
	candidates []candidate
	// picked counts the members picked from each zone.
	picked []int
}

// candidate is a member and whether it has been picked.
type candidate struct {
	member *detector.Member
	// zone is the index of the member's zone in picker.picked.
	zone   int
	score  uint64
	picked bool
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
			p.picked = append(p.picked, 0)
		}
		p.candidates[i] = candidate{member: m, zone: zone, score: hasher.Mix(seed ^ xxhash.Sum64String(m.Name))}
	}
	return p
}

// next picks the member with the highest score among those in the zones with the fewest picks. It returns nil if none is
// left. Removing a member that isn't picked changes no other pick, so a member that leaves moves only its own accounts.
func (p *picker) next() *detector.Member {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.picked && (best == nil || p.before(c, best)) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	best.picked = true
	p.picked[best.zone]++
	return best.member
}

// before reports whether x is picked before y. Equal scores are ordered by name, so that all entries agree.
func (p *picker) before(x, y *candidate) bool {
	switch {
	case p.picked[x.zone] != p.picked[y.zone]:
		return p.picked[x.zone] < p.picked[y.zone]
	case x.score != y.score:
		return x.score > y.score
	default:
		return x.member.Name < y.member.Name
	}
}
