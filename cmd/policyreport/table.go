package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"geraniumline/measurer"
)

// printTable prints the rows as a table, each with its baselines, bound and goal.
func printTable(w io.Writer, rows []measurer.Row) error {
	lines := []string{"case\tmeasure\tours\tbaselines\tratio\tbound\twithin\tgoal\tmet\n"}
	for _, row := range rows {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%.4g\t%s\t%s\t%s\t%s\t%s\n",
			row.Case, row.Measure, row.Ours, baselines(row), ratio(row), row.Bound, yesOrNo(row.Bound.Holds(row.Ours)), goal(row)))
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, strings.Join(lines, "")); err != nil {
		return err
	}
	return table.Flush()
}

func baselines(row measurer.Row) string {
	if len(row.Baselines) == 0 {
		return "-"
	}
	var parts []string
	for _, b := range row.Baselines {
		parts = append(parts, fmt.Sprintf("%s %.4g", b.Name, b.Value))
	}
	return strings.Join(parts, ", ")
}

func ratio(row measurer.Row) string {
	if len(row.Baselines) == 0 || row.Baselines[0].Value == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", row.Ours/row.Baselines[0].Value)
}

func goal(row measurer.Row) string {
	if row.Goal == nil {
		return "-\t-"
	}
	if row.Goal.Holds(row.Ours) {
		return row.Goal.String() + "\tyes"
	}
	return row.Goal.String() + "\tMISSED"
}

func yesOrNo(ok bool) string {
	if ok {
		return "yes"
	}
	return "NO"
}
