package collector

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against the response to one call that is taken for that to another.
func TestAHandleNamesOneResult(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := Piece{Request: "a", Segment: 1}, Piece{Request: "b", Segment: 1}
	result := func(handles ...string) []PieceResult {
		results := make([]PieceResult, len(handles))
		for i, h := range handles {
			results[i].Handle = h
		}
		return results
	}
	var l HandleLog
	require.True(t, l.Claim("e1", []Piece{a}, result("h1"), now))
	require.False(t, l.Claim("e1", []Piece{b}, result("h1"), now.Add(time.Second)), "another piece's handle")
	require.True(t, l.Claim("e2", []Piece{b}, result("h1"), now), "another endpoint's handle")
	require.True(t, l.Claim("e1", []Piece{a}, result("h1"), now.Add(time.Second)), "the piece's own handle again")
	require.False(t, l.Claim("e1", []Piece{a, b}, result("h2", "h2"), now), "one handle for two pieces")
	require.True(t, l.Claim("e1", []Piece{a, b}, []PieceResult{{Reason: Late}, {Reason: Late}}, now), "no handles")
	require.False(t, l.Claim("e1", []Piece{b}, result("h1"), now.Add(handleMemory+time.Second)), "remembered for a generation")
	for i := range 3 {
		require.True(t, l.Claim("e3", nil, nil, now.Add(time.Duration(i+2)*handleMemory)))
	}
	require.True(t, l.Claim("e1", []Piece{b}, result("h1"), now.Add(5*handleMemory)), "forgotten")
}
