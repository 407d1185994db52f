package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"

	"github.com/urfave/cli/v3"

	"geraniumline/experimenter"
	"geraniumline/switcher"
)

// tool implements the commands. Results are written to out, progress to progress.
type tool struct {
	out, progress io.Writer
}

// print writes formatted output to out.
func (t *tool) print(format string, args ...any) error {
	_, err := fmt.Fprintf(t.out, format, args...)
	return err
}

// reportProgress writes to progress. Write errors are ignored because no result depends on it.
func (t *tool) reportProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(t.progress, format, args...)
}

func (t *tool) list(_ context.Context, _ *cli.Command) error {
	for _, name := range experimenter.ScenarioNames() {
		s, err := experimenter.LoadScenario(name)
		if err != nil {
			return err
		}
		if err := t.print("%-22s %s\n", name, s.Purpose); err != nil {
			return err
		}
	}
	for _, m := range switcher.All() {
		if err := t.print("mechanism %s\n", m); err != nil {
			return err
		}
	}
	return nil
}

// loadScenario reads a scenario from a file or, if there is none, the shipped one, and applies the changes given with --set.
func loadScenario(name string, changes []string) (experimenter.Scenario, error) {
	src, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		src, err = experimenter.ScenarioSource(name)
	}
	if err != nil {
		return experimenter.Scenario{}, err
	}
	if src, err = experimenter.PatchScenario(src, changes); err != nil {
		return experimenter.Scenario{}, &UsageError{Message: "--set: " + err.Error()}
	}
	return experimenter.ParseScenario(src)
}

func seedCount(cmd *cli.Command) (int, error) {
	n := cmd.Int("seeds")
	if n < 1 || n > maxSeeds {
		return 0, &UsageError{Message: fmt.Sprintf("--seeds is from 1 to %d", maxSeeds)}
	}
	return n, nil
}

// runSeeds runs a scenario with n seeds and reports progress.
func (t *tool) runSeeds(s experimenter.Scenario, n int, disabled switcher.Disabled) []*experimenter.Result {
	var done atomic.Int64
	results := experimenter.RunSeeds(s, n, disabled, func() {
		t.reportProgress("\r%s %s %d of %d ", s.Name, strings.Join(disabled.Names(), ","), done.Add(1), n)
	})
	t.reportProgress("\n")
	return results
}

func (t *tool) run(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &UsageError{Message: "run takes one scenario"}
	}
	s, err := loadScenario(cmd.Args().First(), cmd.StringSlice("set"))
	if err != nil {
		return err
	}
	disabled, err := switcher.Disable(cmd.StringSlice("without")...)
	if err != nil {
		return err
	}
	n, err := seedCount(cmd)
	if err != nil {
		return err
	}
	report := &experimenter.Report{
		Scenario: s.Name, Purpose: s.Purpose, Disabled: disabled.Names(), Bound: experimenter.UpperBound(s), Results: t.runSeeds(s, n, disabled),
	}
	if dir := cmd.String("out"); dir != "" {
		if err := report.Save(dir); err != nil {
			return err
		}
	}
	return report.WriteText(t.out)
}

func (t *tool) compare(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return &UsageError{Message: "compare takes the data of two reports"}
	}
	a, err := experimenter.ReadReport(cmd.Args().Get(0))
	if err != nil {
		return err
	}
	b, err := experimenter.ReadReport(cmd.Args().Get(1))
	if err != nil {
		return err
	}
	c := experimenter.Compare(a.Results, b.Results)
	if c.N == 0 {
		return &UsageError{Message: "the reports have no seed in common"}
	}
	return t.print("seeds %d, mean %.4f and %.4f, difference %+.4f +- %.4f, won %d\n",
		c.N, c.MeanA, c.MeanB, c.Difference, c.Interval, c.Won)
}

func (t *tool) ablate(_ context.Context, cmd *cli.Command) error {
	n, err := seedCount(cmd)
	if err != nil {
		return err
	}
	var scenarios []experimenter.Scenario
	for _, name := range cmd.Args().Slice() {
		s, err := loadScenario(name, cmd.StringSlice("set"))
		if err != nil {
			return err
		}
		scenarios = append(scenarios, s)
	}
	if len(scenarios) == 0 {
		return &UsageError{Message: "ablate takes one scenario or more"}
	}
	baselines := make([][]*experimenter.Result, len(scenarios))
	header := "| without |"
	for i, s := range scenarios {
		baselines[i] = t.runSeeds(s, n, switcher.Disabled{})
		header += " " + s.Name + " |"
	}
	if err := t.print("%s\n|---|%s\n", header, strings.Repeat("---|", len(scenarios))); err != nil {
		return err
	}
	for _, m := range switcher.All() {
		if !experimenter.Modelled(m) {
			continue
		}
		if err := t.ablateOne(m, scenarios, baselines, n); err != nil {
			return err
		}
	}
	return nil
}

// ablateOne prints the row of one mechanism: for each scenario the difference from its baseline and the confidence interval.
func (t *tool) ablateOne(m switcher.Mechanism, scenarios []experimenter.Scenario, baselines [][]*experimenter.Result, n int) error {
	disabled, err := switcher.Disable(string(m))
	if err != nil {
		return err
	}
	row := "| " + string(m) + " |"
	for i, s := range scenarios {
		c := experimenter.Compare(baselines[i], t.runSeeds(s, n, disabled))
		row += fmt.Sprintf(" %+.4f +- %.4f |", c.Difference, c.Interval)
	}
	return t.print("%s\n", row)
}

func (t *tool) bound(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &UsageError{Message: "bound takes one scenario"}
	}
	s, err := loadScenario(cmd.Args().First(), cmd.StringSlice("set"))
	if err != nil {
		return err
	}
	return t.print("%s: the stages allow %.3f of the worth\n", s.Name, experimenter.UpperBound(s))
}
