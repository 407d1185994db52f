// Command experiment simulates load and faults on a model of a deployment, with the product's own decision code. It measures the
// worth of a policy and of each mechanism, and computes the maximum that the stages allow.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"geraniumline/experimenter"
	"geraniumline/loader"
	"geraniumline/switcher"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// defaultSeeds completes the small scenarios within some seconds.
	defaultSeeds = 20
	maxSeeds     = 10_000
)

func main() {
	if err := command(os.Stdout, os.Stderr).Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(exitCode(err))
	}
}

// UsageError reports invalid command-line input.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

func exitCode(err error) int {
	var (
		usage     *UsageError
		faults    *loader.FaultsError
		reference *experimenter.ReferenceError
		scenario  *experimenter.UnknownScenarioError
		mechanism *switcher.UnknownMechanismError
	)
	if errors.As(err, &usage) || errors.As(err, &faults) || errors.As(err, &reference) ||
		errors.As(err, &scenario) || errors.As(err, &mechanism) {
		return exitUsage
	}
	return exitFailed
}

func command(out, progress io.Writer) *cli.Command {
	t := &tool{out: out, progress: progress}
	seeds := &cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "`NUMBER` of seeds, from 1 on"}
	without := &cli.StringSliceFlag{Name: "without", Usage: "switch a `MECHANISM` off"}
	set := &cli.StringSliceFlag{Name: "set", Usage: "change a whole number of the scenario, as in `KEY=VALUE`; a key is a path such as /pools/0/endpoints"}
	cmd := &cli.Command{
		Name:           "experiment",
		Usage:          "play loads and faults on a model, in model time",
		Writer:         out,
		ErrWriter:      progress,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the shipped scenarios and the mechanisms", Action: t.list},
			{Name: "run", Usage: "play SCENARIO, a shipped one or a file", ArgsUsage: "SCENARIO", Action: t.run, Flags: []cli.Flag{
				seeds, without, set, &cli.StringFlag{Name: "out", Usage: "`DIR` for the report, its data and its picture"},
			}},
			{Name: "compare", Usage: "compare two reports' data, paired by seed", ArgsUsage: "A.json B.json", Action: t.compare},
			{Name: "ablate", Usage: "switch each mechanism off by itself", ArgsUsage: "SCENARIO...", Action: t.ablate, Flags: []cli.Flag{seeds, set}},
			{Name: "bound", Usage: "tell the most that the stages allow", ArgsUsage: "SCENARIO", Action: t.bound, Flags: []cli.Flag{set}},
		},
	}
	for _, c := range cmd.Commands {
		c.OnUsageError = usageError
	}
	return cmd
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &UsageError{Message: err.Error()}
}
