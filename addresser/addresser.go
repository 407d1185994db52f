// Package addresser decides which entries a client account should use.
//
// Each account has its own small subset of the entries (shuffle sharding), so that a node's state follows the
// accounts it serves and one account's flood reaches few entries. The subset comes from a rendezvous hash:
// every entry gives the same answer from the same members, and a member's leave moves only its own accounts.
package addresser

import (
	"time"

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

// AddressList is what a caller is told: addresses in the order of use, and for how long.
type AddressList struct {
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

// AddressesFor gives the account's addresses: primaries spread over availability zones, then spares, from zones
// without a primary first. Only live members are given; if there are none, those that may still be alive.
func (a *Addresser) AddressesFor(account string, members []detector.Member) AddressList {
	p := newPicker(account, usable(members))
	addresses := make([]Address, 0, a.cfg.SubsetSize+a.cfg.Spares)
	for len(addresses) < cap(addresses) {
		m := p.next()
		if m == nil {
			break
		}
		spare := len(addresses) >= a.cfg.SubsetSize
		addresses = append(addresses, Address{Address: m.CallerAddress, Zone: m.Zone, Spare: spare})
	}
	return AddressList{TTL: a.cfg.TTL, Addresses: addresses}
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
