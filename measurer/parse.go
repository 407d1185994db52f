package measurer

import (
	"fmt"
	"strconv"
	"strings"
)

// FieldError reports a field of a measurement line that can't be parsed.
type FieldError struct {
	Field string
}

func (e *FieldError) Error() string { return fmt.Sprintf("unreadable field %q", e.Field) }

// ParseRow parses what Row.String wrote after RowPrefix. It ignores unknown fields, such as the ratio, which
// follows from the other fields. A known field with an invalid value is returned as a *FieldError.
func ParseRow(line string) (Row, error) {
	var row Row
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		if err := row.set(name, value); err != nil {
			return Row{}, &FieldError{Field: field}
		}
	}
	return row, nil
}

func (r *Row) set(name, value string) (err error) {
	switch name {
	case "case":
		r.Case = value
	case "measure":
		r.Measure = value
	case "ours":
		r.Ours, err = strconv.ParseFloat(value, 64)
	case "baseline":
		policy, figure, _ := strings.Cut(value, ":")
		baseline := Baseline{Name: policy}
		baseline.Value, err = strconv.ParseFloat(figure, 64)
		r.Baselines = append(r.Baselines, baseline)
	case "bound":
		r.Bound, err = parseLimit(value)
	case "goal":
		var goal Limit
		goal, err = parseLimit(value)
		r.Goal = &goal
	}
	return err
}

func parseLimit(text string) (Limit, error) {
	limit := Limit{Direction: AtMost}
	figure, found := strings.CutPrefix(text, AtMost.String())
	if !found {
		limit.Direction = AtLeast
		figure, found = strings.CutPrefix(text, AtLeast.String())
	}
	if !found {
		return Limit{}, &FieldError{Field: text}
	}
	value, err := strconv.ParseFloat(figure, 64)
	limit.Value = value
	return limit, err
}

// ParsePoint parses what Point.String wrote after PointPrefix and ignores unknown fields. A known field with an
// invalid value is returned as a *FieldError.
func ParsePoint(line string) (Point, error) {
	var p Point
	figures := map[string]*float64{
		"load": &p.Load, "attainment": &p.Attainment, "cost": &p.Cost, "goodput": &p.Goodput,
	}
	for _, field := range strings.Fields(line) {
		name, value, _ := strings.Cut(field, "=")
		if name == "way" {
			p.Policy = value
			continue
		}
		figure, known := figures[name]
		if !known {
			continue
		}
		var err error
		if *figure, err = strconv.ParseFloat(value, 64); err != nil {
			return Point{}, &FieldError{Field: field}
		}
	}
	return p, nil
}
