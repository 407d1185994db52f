package launcher

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"geraniumline/operatorserver"
	"geraniumline/presenter"
)

func (a *app) traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show a request's hops",
		ArgsUsage: "ID",
		Description: `ID is a request's idempotency key or its trace id. An entry keeps only its own part of recent
traces; every address given is asked until one has it.

Example:
  geraniumline trace 0190a1b2-7c3d-7e4f-8a5b-6c7d8e9f0a1b`,
		Flags:        operatorFlags(jsonFlag()),
		OnUsageError: usageError,
		Action:       action(a.trace),
	}
}

func (a *app) trace(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &UsageError{Message: "give one id", Command: cmd.FullName()}
	}
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	trace, err := findTrace(ctx, c, cmd.Args().First())
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return a.printJSON(trace)
	}
	a.print("%s", presenter.TraceText(*trace))
	return nil
}

// findTrace requests the trace from every address until one has it: a refusal by one entry doesn't apply to the
// others.
func findTrace(ctx context.Context, c *connection, id string) (*operatorserver.Trace, error) {
	var failures []error
	for _, address := range c.addresses {
		single := *c
		single.addresses = []string{address}
		trace, err := callAny(ctx, &single, func(client *operatorserver.Client) (*operatorserver.Trace, error) {
			return client.GetTrace(ctx, operatorserver.GetTraceParams{TraceId: id})
		})
		if err == nil {
			return trace, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}
