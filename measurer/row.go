// Package measurer defines the format in which measurements of the policy are reported. Its test files measure
// limits, fair share, deadlines and surges: scripted arrivals with a seed, given service times and simulated time,
// compared with baselines.
package measurer

import (
	"fmt"
	"strings"
)

// Direction states on which side of a bound a figure must be.
type Direction uint8

const (
	// AtMost means that a figure must not exceed the bound.
	AtMost Direction = iota
	// AtLeast means that a figure must not be below the bound.
	AtLeast
)

func (d Direction) String() string {
	if d == AtMost {
		return "<="
	}
	return ">="
}

// Limit is the bound or the goal of a figure.
type Limit struct {
	Direction Direction
	Value     float64
}

// Holds reports whether the figure is within the limit.
func (l Limit) Holds(figure float64) bool {
	if l.Direction == AtMost {
		return figure <= l.Value
	}
	return figure >= l.Value
}

func (l Limit) String() string { return fmt.Sprintf("%s%.4g", l.Direction, l.Value) }

// Baseline is the figure of another policy with the same arrivals.
type Baseline struct {
	Name  string
	Value float64
}

// Row is one measurement and its baselines.
type Row struct {
	Case, Measure string
	// Ours is the figure of the policy under test.
	Ours      float64
	Baselines []Baseline
	// Bound is the regression bound, which tests assert.
	Bound Limit
	// Goal is the target, or nil. A missed goal is reported, not asserted.
	Goal *Limit
}

// RowPrefix begins each line that contains a Row.
const RowPrefix = "policy: "

func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%scase=%s measure=%s ours=%.4g", RowPrefix, r.Case, r.Measure, r.Ours)
	for _, baseline := range r.Baselines {
		fmt.Fprintf(&b, " baseline=%s:%.4g", baseline.Name, baseline.Value)
	}
	if len(r.Baselines) > 0 && r.Baselines[0].Value != 0 {
		fmt.Fprintf(&b, " ratio=%.3f", r.Ours/r.Baselines[0].Value)
	}
	fmt.Fprintf(&b, " bound=%s", r.Bound)
	if r.Goal != nil {
		fmt.Fprintf(&b, " goal=%s goalMet=%t", r.Goal, r.Goal.Holds(r.Ours))
	}
	return b.String()
}
