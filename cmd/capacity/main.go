// Command capacity generates docs/CAPACITY.md from the output of deployment sweeps.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"geraniumline/platform/surveyor"
)

func main() {
	app := &cli.Command{
		Name:      "capacity",
		Usage:     "make the page of capacity from the output of sweeps, one file each",
		ArgsUsage: "SWEEP...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "file for the page"},
		},
		Action: run,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// noSweepsError reports that no sweep file was given.
type noSweepsError struct{}

func (noSweepsError) Error() string { return "name the files that hold the output of sweeps" }

// pageMode makes the page readable by all users.
const pageMode = 0o644

func run(_ context.Context, cmd *cli.Command) error {
	var sweeps []surveyor.Sweep
	for _, file := range cmd.Args().Slice() {
		s, err := readSweep(file)
		if err != nil {
			return err
		}
		sweeps = append(sweeps, s)
	}
	if len(sweeps) == 0 {
		return noSweepsError{}
	}
	page, err := surveyor.Page(sweeps)
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.String("page"), []byte(page), pageMode)
}

func readSweep(file string) (surveyor.Sweep, error) {
	f, err := os.Open(file)
	if err != nil {
		return surveyor.Sweep{}, err
	}
	s, err := surveyor.Parse(strings.TrimSuffix(filepath.Base(file), ".txt"), f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return s, err
}
