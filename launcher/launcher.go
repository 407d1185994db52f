// Package launcher implements the command line: it parses commands, calls the APIs of entries and prints the
// results. It makes no decisions about requests.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"geraniumline/assembler"
	"geraniumline/loader"
)

// Config holds the dependencies of the command line.
type Config struct {
	Version string
	// RunEntry runs an entry until its planned stop is done.
	RunEntry func(ctx context.Context, settings loader.Settings, log *zap.Logger) error
	// RunForward runs an entry on the users' platform until its planned stop is done.
	RunForward func(ctx context.Context, cfg assembler.ForwardConfig) error

	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Terminal is set if Stdout is a terminal, so that output may be coloured.
	Terminal bool
	// Now returns the current time; it defaults to time.Now.
	Now func() time.Time
	// Wait waits for d between two calls to an entry, or returns ctx's error if that ends first; it defaults to a timer.
	Wait func(ctx context.Context, d time.Duration) error
}

// app is the state of one run of the command line.
type app struct {
	cfg Config
	out io.Writer
	err io.Writer
}

// Run runs one command and returns the exit code of the process. args starts with the program's name.
func Run(ctx context.Context, cfg Config, args []string) ExitCode {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Wait == nil {
		cfg.Wait = sleep
	}
	a := &app{cfg: cfg, out: cfg.Stdout, err: cfg.Stderr}
	err := a.rootCommand().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	var commandErr *commandError
	if !errors.As(err, &commandErr) {
		err = &UsageError{Message: err.Error()}
	}
	if text := err.Error(); text != "" {
		a.printStderr(text)
	}
	return exitCodeOf(err)
}

const description = `geraniumline serves multi-stage model pipelines. Every entry VM runs "geraniumline entry";
the other commands are for operators and callers.

Commands that ask an entry take its address, the user's name and the file with the user's credential from
flags or from the environment. A credential is never given as a flag: other users of the machine could
read it in the list of processes.

Exit codes:
  0  done
  1  failed, or two things differ that were compared, or a change lost to another
  2  wrong usage, or faults in a file
  3  notRun: nothing ran, and the attempt never will
  4  unknown: it may have run; ask again with the key or the operation id that was printed`

func (a *app) rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "geraniumline",
		Usage:                 "serve multi-stage model pipelines",
		Description:           description,
		Version:               a.cfg.Version,
		EnableShellCompletion: true,
		Writer:                a.out,
		ErrWriter:             a.err,
		Reader:                a.cfg.Stdin,
		// Run sets the exit code after it has printed the message.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         groupAction,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		Commands: []*cli.Command{
			a.entryCommand(),
			a.forwardCommand(),
			a.explainCommand(),
			a.outcomesCommand(),
			a.checkCommand(),
			a.configCommand(),
			a.contractCommand(),
			a.stopCommand(),
			a.statusCommand(),
			a.requestCommand(),
			a.traceCommand(),
			a.credentialCommand(),
			a.keyCommand(),
			a.docsCommand(),
		},
	}
}

// usageError prevents the library from printing the full help text for a mistyped flag.
func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return &UsageError{Message: err.Error(), Command: cmd.FullName()}
}

// groupAction is the action of a command that only has subcommands: it shows the help text, or returns a UsageError
// for an unknown subcommand.
func groupAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return &UsageError{Message: fmt.Sprintf("there is no command %q", cmd.Args().First()), Command: cmd.FullName()}
	}
	return cli.ShowSubcommandHelp(cmd)
}

// action wraps the errors of a command's action in commandError, to distinguish them from usage errors.
func action(run func(ctx context.Context, cmd *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if err := run(ctx, cmd); err != nil {
			return &commandError{err: err}
		}
		return nil
	}
}

// commandGroup returns a command that only has subcommands.
func commandGroup(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usage,
		Commands:     commands,
		OnUsageError: usageError,
		Action:       groupAction,
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
