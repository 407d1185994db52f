package main

import (
	"bufio"
	"io"
	"slices"
	"strings"

	"geraniumline/measurer"
)

// maxLineBytes is the maximum length of a line in the tests' output.
const maxLineBytes = 1 << 20

// report holds the rows and points that the simulations printed.
type report struct {
	rows   []measurer.Row
	points []measurer.Point
}

// read extracts the rows and points from the tests' output. The row of a failed test occurs twice, in its own line and in the
// failure message; only the first is used.
func read(r io.Reader) (report, error) {
	var results report
	seen := map[string]bool{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Text()
		if _, rest, ok := strings.Cut(line, measurer.PointPrefix); ok {
			point, err := measurer.ParsePoint(rest)
			if err != nil {
				return report{}, err
			}
			results.points = append(results.points, point)
			continue
		}
		_, rest, ok := strings.Cut(line, measurer.RowPrefix+"case=")
		if !ok {
			continue
		}
		row, err := measurer.ParseRow("case=" + rest)
		if err != nil {
			return report{}, err
		}
		if seen[row.Case+" "+row.Measure] {
			continue
		}
		seen[row.Case+" "+row.Measure] = true
		results.rows = append(results.rows, row)
	}
	// Simulations run concurrently and end in any order. Sorted rows make tables comparable.
	slices.SortStableFunc(results.rows, func(a, b measurer.Row) int { return strings.Compare(a.Case, b.Case) })
	return results, lines.Err()
}

// withinBounds returns the number of rows whose figure is within its bound.
func (r report) withinBounds() int {
	n := 0
	for _, row := range r.rows {
		if row.Bound.Holds(row.Ours) {
			n++
		}
	}
	return n
}
