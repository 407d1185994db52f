package main

import (
	"bufio"
	"io"
	"slices"
	"strings"

	"geraniumline/measurer"
)

// longestLine bounds a line of the tests' output.
const longestLine = 1 << 20

// report is what the simulations reported.
type report struct {
	rows   []measurer.Row
	points []measurer.Point
}

// read takes the rows and points out of the tests' output. A row of a failed test is there
// twice, in its line and in the failure; the first is taken.
func read(r io.Reader) (report, error) {
	var found report
	seen := map[string]bool{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line := lines.Text()
		if _, rest, ok := strings.Cut(line, measurer.PointPrefix); ok {
			point, err := measurer.ParsePoint(rest)
			if err != nil {
				return report{}, err
			}
			found.points = append(found.points, point)
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
		found.rows = append(found.rows, row)
	}
	// Trials run at once and end in any order; a table in a fixed order can be compared.
	slices.SortStableFunc(found.rows, func(a, b measurer.Row) int { return strings.Compare(a.Case, b.Case) })
	return found, lines.Err()
}

// within counts the rows whose figure is within its bound.
func (r report) within() int {
	n := 0
	for _, row := range r.rows {
		if row.Bound.Holds(row.Ours) {
			n++
		}
	}
	return n
}
