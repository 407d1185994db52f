// Package addresser selects the entries that a client account should use.
//
// Each account is assigned a small subset of the entries (shuffle sharding), so that an entry keeps state only for the
// accounts it serves and a flood from one account affects few entries. The subset is chosen by rendezvous hashing: every
// entry computes the same addresses from the same members, and a member that leaves moves only its own accounts.
package addresser

import (
	"time"

	"geraniumline/detector"
)

// Config holds the size and lifetime of an AddressList.
type Config struct {
	// SubsetSize is the number of primary entries of an account.
	SubsetSize int
	// Spares is the number of addresses after the primaries, for use when no primary can be reached.
	Spares int
	// TTL is how long a caller may cache the addresses.
	TTL time.Duration
}

// Address is the address of an entry for callers.
type Address struct {
	Address string
	Zone    string
	Spare   bool
}

// AddressList holds addresses in the order in which a caller should try them, and how long it may cache them.
type AddressList struct {
	TTL       time.Duration
	Addresses []Address
}

// Addresser selects addresses from a list of members.
type Addresser struct {
	cfg Config
}

// New returns an Addresser.
func New(cfg Config) *Addresser {
	return &Addresser{cfg: cfg}
}

// AddressesFor returns the account's addresses: primaries spread over availability zones, then spares, first from zones
// without a primary. It uses live members only; if there are none, it uses those that may still be alive.
func (a *Addresser) AddressesFor(account string, members []detector.Member) AddressList {
	p := newPicker(account, bestAvailable(members))
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

// bestAvailable returns the live members; if there are none, live members on VMs that are leaving; if there are none
// either, suspected members. An address that may not work is more useful to a caller than none.
func bestAvailable(members []detector.Member) []*detector.Member {
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
