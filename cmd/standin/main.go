// Command standin runs a stand-in for a platform service or for an endpoint, for demos and tests.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"geraniumline/faker"
)

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
	exitCrash  = 3
)

// usageError reports an invalid command line, as opposed to a failure while serving.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newProgram(stdout, stderr).Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(stderr, "standin: %v\n", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

func newProgram(stdout, stderr io.Writer) *cli.Command {
	program := &cli.Command{
		Name:           "standin",
		Usage:          "run one stand-in of the platform or of an endpoint on loopback",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			return &usageError{fmt.Errorf("unknown stand-in %q, want log, vms, engine, service or weights", cmd.Args().First())}
		},
		Commands: []*cli.Command{
			logCommand(),
			vmsCommand(),
			engineCommand(),
			serviceCommand(),
			weightsCommand(),
		},
	}
	for _, cmd := range program.Commands {
		cmd.OnUsageError = onUsageError
		cmd.Flags = append(cmd.Flags, &cli.StringFlag{
			Name:  "listen",
			Value: "127.0.0.1:0",
			Usage: "address; port 0 takes a free one",
		})
	}
	return program
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{err}
}

func checkArgs(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return &usageError{fmt.Errorf("unexpected argument %q", cmd.Args().First())}
	}
	return nil
}

func serve(ctx context.Context, cmd *cli.Command, cfg faker.ServeConfig) error {
	cfg.Listen = cmd.String("listen")
	cfg.Ready = cmd.Root().Writer
	if err := faker.Serve(ctx, cfg); err != nil {
		return oops.In("standin").With("listen", cfg.Listen).Wrap(err)
	}
	return nil
}

func crash() {
	os.Exit(exitCrash)
}
