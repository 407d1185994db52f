// Package locator tells where in a topic of the platform's store a record stands.
package locator

import (
	"cmp"
	"fmt"
)

// Position is an offset in one era of the store. The store may lose its newest records and give their offsets out again; each
// time a new era begins, so that offsets alone say nothing about which of two records is newer. The zero Position is the
// beginning of a topic in a store that tells no era.
type Position struct {
	era    int64
	offset int64
}

// None is before all positions: that of a reader which has read nothing.
var None = Position{era: -1, offset: -1}

// At gives the position of an offset in an era.
func At(era, offset int64) Position { return Position{era: era, offset: offset} }

// Era tells how often the store had returned from an older copy.
func (p Position) Era() int64 { return p.era }

// Offset is the offset within the era.
func (p Position) Offset() int64 { return p.offset }

// Compare orders positions: below 0 where p is older than q, 0 where they are equal, above 0 where p is newer.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.offset, q.offset))
}

// Before tells whether p is older than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Later gives the later of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// String gives the era and the offset, for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.offset) }
