// Command faults checks the product's invariants on real processes under kills, freezes, outages and races.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"geraniumline/prover"
)

func main() {
	app := &cli.Command{
		Name:  "faults",
		Usage: "run the proofs on loopback and print their table",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder with geraniumline and standin"},
			&cli.StringFlag{Name: "only", Usage: "run the proof of this name alone"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			dir, err := os.MkdirTemp("", "geraniumline-faults-")
			if err != nil {
				return err
			}
			if err := prover.Run(ctx, prover.Config{Bin: cmd.String("bin"), Dir: dir, Out: os.Stdout, Only: cmd.String("only")}); err != nil {
				return fmt.Errorf("%w (logs are in %s)", err, dir)
			}
			return os.RemoveAll(dir)
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}
