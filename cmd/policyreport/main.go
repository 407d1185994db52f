// Command policyreport reads the output of the policy simulations, prints their rows as a table and plots attainment and cost
// against load.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "policyreport",
		Usage: "read the output of 'go test -run Policy -v' and report its figures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "picture", Usage: "file for the picture; empty draws none"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error { return run(cmd.String("picture")) },
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(plotFile string) error {
	results, err := read(os.Stdin)
	if err != nil {
		return oops.Wrapf(err, "reading the output")
	}
	if err := printTable(os.Stdout, results.rows); err != nil {
		return oops.Wrapf(err, "printing the table")
	}
	if plotFile != "" && len(results.points) > 0 {
		if err := writePlots(plotFile, results.points); err != nil {
			return oops.Wrapf(err, "drawing the picture")
		}
	}
	within := results.withinBounds()
	fmt.Printf("policy: cases=%d withinBounds=%d\n", len(results.rows), within)
	if within < len(results.rows) {
		return &OutOfBoundsError{Rows: len(results.rows), Within: within}
	}
	return nil
}

// OutOfBoundsError reports that figures violate their regression bounds. Rows is the number of all figures, Within the number of
// those within their bounds.
type OutOfBoundsError struct {
	Rows, Within int
}

func (e *OutOfBoundsError) Error() string {
	return fmt.Sprintf("%d of %d figures are out of their bounds", e.Rows-e.Within, e.Rows)
}
