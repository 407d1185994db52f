// Command soak injects random faults into entries that run as separate processes, one seed after the other.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumline/soaker"
)

func main() {
	app := &cli.Command{
		Name:  "soak",
		Usage: "play random faults against entries on loopback and check the promises, seed by seed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder with geraniumline"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds to play, one after the other"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "until when faults begin"},
			&cli.DurationFlag{Name: "config-time", Value: 2 * time.Second, Usage: "time within which the last configuration must be in force"},
			&cli.DurationFlag{Name: "settle", Value: 6 * time.Second, Usage: "time after the last fault until all is in order"},
			&cli.BoolFlag{Name: "versions", Usage: "give half of the model endpoints a second version of their software"},
			&cli.IntFlag{Name: "processes", Value: 5, Usage: "how many entries"},
		},
		Action: soak,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// violationsError reports the number of seeds with which the entries broke a guarantee.
type violationsError struct{ seeds int }

func (e *violationsError) Error() string { return fmt.Sprintf("%d seeds broke a promise", e.seeds) }

func soak(ctx context.Context, cmd *cli.Command) error {
	failed := 0
	fmt.Println("seed  faults  requests  answered  broken")
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("seed") + uint64(i)
		dir, err := os.MkdirTemp("", fmt.Sprintf("geraniumline-soak-%d-", seed))
		if err != nil {
			return err
		}
		result, err := soaker.Run(ctx, soaker.Config{
			Seed: seed, Bin: cmd.String("bin"), Dir: dir, Entries: cmd.Int("processes"),
			Length: cmd.Duration("length"), ConfigTime: cmd.Duration("config-time"), SettleTime: cmd.Duration("settle"),
			Versions: cmd.Bool("versions"),
		})
		if err != nil {
			return fmt.Errorf("seed %d (logs are in %s): %w", seed, dir, err)
		}
		fmt.Printf("%4d  %6d  %8d  %8d  %6d\n", seed, result.Faults, result.Requests, result.Answered, len(result.Violations))
		if len(result.Violations) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
			continue
		}
		failed++
		for _, v := range result.Violations {
			fmt.Println("     ", v)
		}
		fmt.Println("      plan and logs:", dir)
	}
	if failed > 0 {
		return &violationsError{seeds: failed}
	}
	return nil
}
