package collector

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// handleMemory is how long a HandleLog remembers handles at least, unless it is full. A response that comes again does so
	// while its connection is kept.
	handleMemory = 15 * time.Second
	// maxHandles bounds each of the two generations that a HandleLog holds.
	maxHandles = 1 << 16
)

// HandleLog remembers which piece each handle was given out for. A handle names one result, so a response that gives a handle of
// another piece is that of another call.
type HandleLog struct {
	// recent and older map hashes of handles to hashes of pieces.
	recent, older map[uint64]uint64
	since         time.Time
}

// Claim records the handles of an endpoint's response to a call for pieces. It returns false, and records nothing, if one of them
// was given out for another piece.
func (l *HandleLog) Claim(address string, pieces []Piece, results []PieceResult, now time.Time) bool {
	n := min(len(pieces), len(results))
	claimed := make(map[uint64]uint64, n)
	for i, r := range results[:n] {
		if r.Handle == "" {
			continue
		}
		handle, piece := xxhash.Sum64String(address+"\x00"+r.Handle), hashPiece(&pieces[i])
		for _, known := range []map[uint64]uint64{claimed, l.recent, l.older} {
			if other, found := known[handle]; found && other != piece {
				return false
			}
		}
		claimed[handle] = piece
	}
	if l.recent == nil || len(l.recent)+len(claimed) > maxHandles || now.Sub(l.since) >= handleMemory {
		l.recent, l.older, l.since = make(map[uint64]uint64, n), l.recent, now
	}
	for handle, piece := range claimed {
		l.recent[handle] = piece
	}
	return true
}

func hashPiece(p *Piece) uint64 {
	return xxhash.Sum64String(p.Request + "\x00" + strconv.Itoa(p.Stage) + "\x00" + strconv.Itoa(p.Segment))
}
