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
		return newFileError(file, err)
	}
	log, err := newLog(settings.LogLevel, a.err)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }() // fails for pipes and terminals
	return a.cfg.RunEntry(ctx, settings, log)
}

// newLog returns a logger that writes JSON lines at the given level and above. It doesn't sample repeated lines, since
// the log contains only state changes and each one matters.
func newLog(level string, w io.Writer) (*zap.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.TimeKey = "time"
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig), zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zap.New(core), nil
}
