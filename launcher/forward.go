package launcher

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"geraniumline/assembler"
	"geraniumline/budgeter"
	"geraniumline/platform"
	"geraniumline/spooler"
	"geraniumline/switcher"
)

// maxPort is the highest TCP port.
const maxPort = 65535

// minClientShare and maxClientShare bound the shares of a process's memory and sockets that clients may hold. The rest serves
// their requests.
const (
	minClientShare = 0.05
	maxClientShare = 0.5
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
			&cli.IntFlag{Name: "log-lines", Usage: "most log `LINES` that wait to be written; more are dropped and counted", Value: spooler.DefaultLines},
			&cli.StringSliceFlag{Name: "without", Usage: "switch a `MECHANISM` of policy off, to measure what it is worth"},
			&cli.FloatFlag{Name: "client-memory-share", Usage: "`SHARE` of the process's memory for callers' connections, requests and unread responses", Value: budgeter.DefaultMemoryShare},
			&cli.FloatFlag{Name: "client-socket-share", Usage: "`SHARE` of the process's sockets for callers' connections", Value: budgeter.DefaultSocketShare},
			&cli.IntFlag{Name: "metrics-port", Usage: "`PORT` on the VM's address that serves /metrics; 0 serves none"},
		},
		OnUsageError: usageError,
		Action:       action(a.runForward),
	}
}

func (a *app) runForward(ctx context.Context, cmd *cli.Command) error {
	cfg := assembler.ForwardConfig{
		MetricsPort:       cmd.Int("metrics-port"),
		ClientMemoryShare: cmd.Float("client-memory-share"),
		ClientSocketShare: cmd.Float("client-socket-share"),
	}
	for _, name := range []string{"client-memory-share", "client-socket-share"} {
		if share := cmd.Float(name); !(share >= minClientShare && share <= maxClientShare) {
			return &UsageError{Message: fmt.Sprintf("--%s is from %g to %g", name, minClientShare, maxClientShare)}
		}
	}
	if cfg.MetricsPort < 0 || cfg.MetricsPort > maxPort {
		return &UsageError{Message: fmt.Sprintf("--metrics-port is from 0 to %d", maxPort)}
	}
	if cmd.Int("log-lines") < 1 {
		return &UsageError{Message: "--log-lines is at least 1"}
	}
	var err error
	if cfg.Disabled, err = switcher.Disable(cmd.StringSlice("without")...); err != nil {
		return &UsageError{Message: "--without: " + err.Error()}
	}
	if cfg.Settings, err = platform.LoadSettings(cmd.String("settings")); err != nil {
		return err
	}
	spool := spooler.New(a.out, cmd.Int("log-lines"))
	defer spool.Close()
	if cfg.Log, err = newLog(cmd.String("log-level"), spool); err != nil {
		return &UsageError{Message: err.Error()}
	}
	return a.cfg.RunForward(ctx, cfg)
}
