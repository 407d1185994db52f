// Command capacity measures slopes, and writes docs/capacity.json and docs/CAPACITY.md from them.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"geraniumline/surveyor"
)

func main() {
	app := &cli.Command{
		Name:  "capacity",
		Usage: "measure what each kind of state costs and work out the size that the system is designed for",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "survey", Value: "docs/capacity.json", Usage: "file for the measured slopes"},
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "folder with geraniumline and standin"},
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "file for the page"},
			&cli.BoolFlag{Name: "page-only", Usage: "make the page from the survey as it is"},
		},
		Action: run,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	survey, err := surveyor.Load(cmd.String("survey"))
	if !cmd.Bool("page-only") {
		survey, err = measure(ctx, cmd)
	}
	if err != nil {
		return err
	}
	return os.WriteFile(cmd.String("page"), []byte(survey.Page()), pageMode)
}

// pageMode lets everybody read the page.
const pageMode = 0o644

func measure(ctx context.Context, cmd *cli.Command) (surveyor.Survey, error) {
	progress := func(s surveyor.Slope) { fmt.Println(s) }
	survey := surveyor.Run(progress)
	fleet, err := surveyor.RunFleet(ctx, cmd.String("bin"), progress)
	if err != nil {
		return survey, err
	}
	survey.Slopes = append(survey.Slopes, fleet...)
	return survey, survey.Save(cmd.String("survey"))
}
