package launcher

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"geraniumline/platform"
	"geraniumline/spooler"
)

func (a *app) forwardCommand() *cli.Command {
	return &cli.Command{
		Name:  "forward",
		Usage: "run an entry on the users' platform until its planned stop is done",
		Description: `Reads the settings that the platform gives to the process, and forwards callers' requests to endpoints.
SIGTERM begins a planned stop: no request in flight is cut.
The log goes to the standard output, one JSON object a line.

Example:
  geraniumline forward --settings local.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "settings",
				Usage:   "settings `FILE` of the platform",
				Value:   os.Getenv(platform.SettingsVariable),
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.StringFlag{Name: "log-level", Usage: "least `LEVEL` of log lines: debug, info, warn, error", Value: "info"},
		},
		OnUsageError: usageError,
		Action:       action(a.runForward),
	}
}

func (a *app) runForward(ctx context.Context, cmd *cli.Command) error {
	settings, err := platform.LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	lines := spooler.New(a.out, 0)
	defer lines.Close()
	log, err := newLog(cmd.String("log-level"), lines)
	if err != nil {
		return err
	}
	return a.cfg.RunForward(ctx, settings, log)
}
