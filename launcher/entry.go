package launcher

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"geraniumline/loader"
)

func (a *app) entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry until its planned stop is done",
		Description: `Reads the settings, checks them whole, and serves callers, operators and peers.
SIGTERM and SIGINT begin a planned stop: no request in flight is cut, and a second signal does not hurry it.
The log goes to the standard error output, one JSON object a line.

Example:
  geraniumline entry --settings /etc/geraniumline/settings.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, see docs/Config.md", Required: true},
		},
		OnUsageError: usageError,
		Action:       action(a.runEntry),
	}
}

func (a *app) runEntry(ctx context.Context, cmd *cli.Command) error {
	file := cmd.String("settings")
	settings, err := loader.Load(file)
	if err != nil {
		return inFile(file, err)
	}
	log, err := newLog(settings.LogLevel, a.err)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // a pipe or a terminal can't be synced
	return a.cfg.RunEntry(ctx, settings, log)
}

// newLog writes JSON lines at the level and above. A repeated line is not thinned out: lines tell of
// changes of state only, and each matters.
func newLog(level string, w io.Writer) (*zap.Logger, error) {
	least, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey = "time"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), least)
	return zap.New(core), nil
}
