// Command policyreport reads the output of the policy's simulations, prints their rows as a
// table and draws the picture of attainment and cost against load.
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

func run(picture string) error {
	found, err := read(os.Stdin)
	if err != nil {
		return oops.Wrapf(err, "reading the output")
	}
	if err := printTable(os.Stdout, found.rows); err != nil {
		return oops.Wrapf(err, "printing the table")
	}
	if picture != "" && len(found.points) > 0 {
		if err := writePicture(picture, found.points); err != nil {
			return oops.Wrapf(err, "drawing the picture")
		}
	}
	within := found.within()
	fmt.Printf("policy: cases=%d withinBounds=%d\n", len(found.rows), within)
	if within < len(found.rows) {
		return &OutOfBoundsError{Rows: len(found.rows), Within: within}
	}
	return nil
}

// OutOfBoundsError tells that figures are on the wrong side of their regression bounds.
type OutOfBoundsError struct {
	Rows, Within int
}

func (e *OutOfBoundsError) Error() string {
	return fmt.Sprintf("%d of %d figures are out of their bounds", e.Rows-e.Within, e.Rows)
}
