// Package measurer holds the form in which measurements of the policy are reported, and in
// its test files the measurements of limits, fair share, deadlines and surges: scripted
// arrivals with a seed, given service times and simulated time, against baselines.
package measurer

import (
	"fmt"
	"strings"
)

// Direction tells on which side of a bound a figure must be.
type Direction uint8

// The directions.
const (
	AtMost Direction = iota
	AtLeast
)

func (d Direction) String() string {
	if d == AtMost {
		return "<="
	}
	return ">="
}

// Limit is a figure's bound or goal.
type Limit struct {
	Direction Direction
	Value     float64
}

// Holds tells whether the figure is on the right side.
func (l Limit) Holds(figure float64) bool {
	if l.Direction == AtMost {
		return figure <= l.Value
	}
	return figure >= l.Value
}

func (l Limit) String() string { return fmt.Sprintf("%s%.4g", l.Direction, l.Value) }

// Baseline is the figure of another way on the same arrivals.
type Baseline struct {
	Name  string
	Value float64
}

// Row is one measurement.
type Row struct {
	Case, Measure string
	Ours          float64
	Baselines     []Baseline
	// Bound is the regression bound, set from a measured run. Tests assert it.
	Bound Limit
	// Goal is what is wished for. A goal that is missed is reported, not asserted.
	Goal *Limit
}

// Prefix begins each line that holds a Row.
const Prefix = "policy: "

func (r Row) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%scase=%s measure=%s ours=%.4g", Prefix, r.Case, r.Measure, r.Ours)
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
