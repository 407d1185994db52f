package launcher

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumline/explainer"
	"geraniumline/loader"
)

const (
	defaultOutcomeInterval = 10 * time.Second
	defaultOutcomeRows     = 40
)

func (a *app) outcomesCommand() *cli.Command {
	return &cli.Command{
		Name:      "outcomes",
		Usage:     "count from logs which requests were late, refused or lost, by the decision that made them so",
		ArgsUsage: "[FILE...]",
		Description: `Reads the logs of all entries from the files, or from the standard input, and prints two tables: the requests
by outcome, and those that were not on time by the step that decided it. Entries may come in any order, the
lines of one entry must be in theirs. Lines on ordinary requests are left out of logs over their rate; the
share of answered requests that was seen is printed, and nothing is extrapolated.

Examples:
  geraniumline outcomes /var/log/geraniumline/*.log
  geraniumline outcomes --by endpoint --rows 10 /var/log/geraniumline/*.log
  cat *.log | geraniumline outcomes --by time --interval 5s
  geraniumline outcomes --json *.log | jq '.groups[] | {name, late, refused}'`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "by",
				Value: string(explainer.ByRoute),
				Usage: "group by `PROPERTY`: route, account, priority, zone (of the entry), endpoint (the last one) or time",
			},
			&cli.DurationFlag{Name: "interval", Value: defaultOutcomeInterval, Usage: "length of a group by time"},
			&cli.IntFlag{Name: "rows", Value: defaultOutcomeRows, Usage: "`NUMBER` of rows of each table, 0 for all"},
			jsonFlag(),
		},
		OnUsageError: usageError,
		Action:       action(a.outcomes),
	}
}

func (a *app) outcomes(_ context.Context, cmd *cli.Command) error {
	by := explainer.Grouping(cmd.String("by"))
	switch {
	case !slices.Contains(explainer.Groupings(), by):
		return &UsageError{Message: fmt.Sprintf("--by is one of %v", explainer.Groupings()), Command: cmd.FullName()}
	case cmd.Duration("interval") <= 0:
		return &UsageError{Message: "--interval must be positive", Command: cmd.FullName()}
	case cmd.Int("rows") < 0:
		return &UsageError{Message: "--rows must not be negative", Command: cmd.FullName()}
	}
	tally := explainer.NewTally(explainer.TallyConfig{By: by, Interval: cmd.Duration("interval")})
	if err := a.readLogs(tally, cmd.Args().Slice()); err != nil {
		return err
	}
	report, err := tally.Report()
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return a.printJSON(report)
	}
	return report.Write(a.out, cmd.Int("rows"))
}

// readLogs reads the files, or the standard input if there are none.
func (a *app) readLogs(tally *explainer.Tally, files []string) error {
	if len(files) == 0 {
		return tally.Read(a.cfg.Stdin)
	}
	for _, name := range files {
		if err := readLogFile(tally, name); err != nil {
			return &loader.UnreadableError{File: name, Err: err}
		}
	}
	return nil
}

func readLogFile(tally *explainer.Tally, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // nothing was written
	return tally.Read(file)
}
