// Package addresser decides which entries a client account should use.
//
// Each account has its own small subset of the entries (shuffle sharding), so that a node's state follows the
// accounts it serves and one account's flood reaches few entries. The subset comes from a rendezvous hash:
// every entry gives the same answer from the same members, and a member's leave moves only its own accounts.
package addresser

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"geraniumline/detector"
)

// Config holds the shape of an answer.
type Config struct {
	// SubsetSize is how many primaries an account has.
	SubsetSize int
	// Spares is how many addresses follow the primaries, to be used when no primary can be reached.
	Spares int
	// TTL is how long a caller may keep the answer.
	TTL time.Duration
}

// Address is one entry's address for callers.
type Address struct {
	Address string
	Zone    string
	Spare   bool
}

// Answer is what a caller is told: addresses in the order of use, and for how long.
type Answer struct {
	TTL       time.Duration
	Addresses []Address
}

// Addresser answers from the membership that it is given.
type Addresser struct {
	cfg Config
}

// New makes an Addresser.
func New(cfg Config) *Addresser {
	return &Addresser{cfg: cfg}
}

// Answer gives the account's addresses: primaries spread over availability zones, then spares, from zones
// without a primary first. Only live members are given; if there are none, those that may still be alive.
func (a *Addresser) Answer(account string, members []detector.Member) Answer {
	p := &picker{zones: make(map[string]*zoneUse), ranked: rank(account, usable(members))}
	primaries := p.pick(a.cfg.SubsetSize)
	spares := p.pick(a.cfg.Spares)
	addresses := make([]Address, 0, len(primaries)+len(spares))
	for _, m := range primaries {
		addresses = append(addresses, Address{Address: m.CallerAddress, Zone: m.Zone})
	}
	for _, m := range spares {
		addresses = append(addresses, Address{Address: m.CallerAddress, Zone: m.Zone, Spare: true})
	}
	return Answer{TTL: a.cfg.TTL, Addresses: addresses}
}

// usable gives the best members there are: live ones, else live ones on VMs that are leaving, else suspects.
// An answer with a doubtful address is worth more to a caller than none.
func usable(members []detector.Member) []*detector.Member {
	var live, leaving, suspect []*detector.Member
	for i := range members {
		m := &members[i]
		switch {
		case m.State == detector.Live && !m.Leaving:
			live = append(live, m)
		case m.State == detector.Live:
			leaving = append(leaving, m)
		case m.State == detector.Suspect:
			suspect = append(suspect, m)
		}
	}
	switch {
	case len(live) > 0:
		return live
	case len(leaving) > 0:
		return leaving
	default:
		return suspect
	}
}

type candidate struct {
	member *detector.Member
	score  uint64
	picked bool
}

// rank orders the members by their rendezvous score for the account, highest first.
func rank(account string, members []*detector.Member) []candidate {
	seed := xxhash.Sum64String(account)
	out := make([]candidate, len(members))
	for i, m := range members {
		out[i] = candidate{member: m, score: mix(seed ^ xxhash.Sum64String(m.Name))}
	}
	slices.SortFunc(out, func(x, y candidate) int {
		switch {
		case x.score > y.score:
			return -1
		case x.score < y.score:
			return 1
		default:
			return strings.Compare(x.member.Name, y.member.Name)
		}
	})
	return out
}

// mix is the finaliser of SplitMix64: every bit of the input changes half of the output's bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

type zoneUse struct {
	picked int
}

// picker takes candidates in ranked order, always from a zone that was used least so far.
type picker struct {
	ranked []candidate
	zones  map[string]*zoneUse
}

func (p *picker) pick(n int) []*detector.Member {
	out := make([]*detector.Member, 0, n)
	for len(out) < n {
		c := p.best()
		if c == nil {
			return out
		}
		c.picked = true
		p.use(c.member.Zone).picked++
		out = append(out, c.member)
	}
	return out
}

// best gives the highest ranked candidate that is left among those whose zones were used least.
func (p *picker) best() *candidate {
	var found *candidate
	for i := range p.ranked {
		c := &p.ranked[i]
		if c.picked {
			continue
		}
		if found == nil || p.use(c.member.Zone).picked < p.use(found.member.Zone).picked {
			found = c
		}
	}
	return found
}

func (p *picker) use(zone string) *zoneUse {
	u, ok := p.zones[zone]
	if !ok {
		u = &zoneUse{}
		p.zones[zone] = u
	}
	return u
}
