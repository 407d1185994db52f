// Command demo demonstrates the complete request path on loopback, with each part in its own process.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"geraniumline/demonstrator"
)

func main() {
	app := &cli.Command{
		Name:  "demo",
		Usage: "run entries and stand-ins on loopback, send requests and count at the endpoints' ledgers",
		Flags: []cli.Flag{&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder with geraniumline and standin"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			dir, err := os.MkdirTemp("", "geraniumline-demo-")
			if err != nil {
				return err
			}
			if err := demonstrator.Run(ctx, demonstrator.Config{Bin: cmd.String("bin"), Dir: dir, Out: os.Stdout}); err != nil {
				return fmt.Errorf("%w (logs are in %s)", err, dir)
			}
			return os.RemoveAll(dir)
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
