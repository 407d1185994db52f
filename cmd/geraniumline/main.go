// Command geraniumline runs an entry and carries the operator's commands.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"geraniumline/assembler"
	"geraniumline/loader"
)

func main() {
	app := &cli.Command{
		Name: "geraniumline",
		Commands: []*cli.Command{{
			Name:  "entry",
			Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true}},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				settings, err := loader.Load(cmd.String("settings"))
				if err != nil {
					return err
				}
				log, err := zap.NewProduction()
				if err != nil {
					return err
				}
				return assembler.Run(ctx, assembler.Config{Settings: settings, Log: log})
			},
		}},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
