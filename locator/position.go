// Package locator defines positions of records in topics of the platform's store.
package locator

import (
	"cmp"
	"fmt"
)

// Position is an offset in one era of the store. The store may lose its newest records and assign their offsets
// again. Each time a new era begins, so offsets alone don't show which of two records is newer. The zero Position is
// the beginning of a topic in a store that reports no era.
type Position struct {
	era    int64
	offset int64
}

// None is less than all other positions. It is the position of a reader that has read nothing.
var None = Position{era: -1, offset: -1}

// At returns the position of an offset in an era.
func At(era, offset int64) Position { return Position{era: era, offset: offset} }

// Era returns how many times the store had been restored from an older copy.
func (p Position) Era() int64 { return p.era }

// Offset returns the offset within the era.
func (p Position) Offset() int64 { return p.offset }

// Compare orders positions: the result is below 0 if p is older than q, 0 if they are equal, and above 0 if p is
// newer.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.offset, q.offset))
}

// Before reports whether p is older than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// String formats the position as era/offset for logs.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.offset) }
