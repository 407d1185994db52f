package launcher

import (
	"context"

	"github.com/urfave/cli/v3"

	"geraniumline/operatorserver"
	"geraniumline/presenter"
)

func (a *app) configCommand() *cli.Command {
	return commandGroup("config", "publish and read configuration",
		&cli.Command{
			Name:      "publish",
			Usage:     "publish the objects of files",
			ArgsUsage: "FILE...",
			Description: `All files are checked before anything is sent; faults exit 2. Each object is then published in the order given,
based on its "baseVersion", which "config get" prints. Without one it is based on the version in force now.
A change that lost to another operator's exits 1 and names the version in force. A lost reply is looked up
by the operation id; where that can't be done either, it exits 4 and prints the id for "config operation".

Examples:
  geraniumline config publish pools.json pipelines.json
  geraniumline config get contract kilima | sed 's/"weight": 2/"weight": 3/' | geraniumline config publish -`,
			Flags:        operatorFlags(jsonFlag()),
			OnUsageError: usageError,
			Action:       action(a.publishFiles),
		},
		&cli.Command{
			Name:      "get",
			Usage:     "print an object in the form that publish takes, or list what is in force",
			ArgsUsage: "[KIND [NAME]]",
			Description: `Examples:
  geraniumline config get
  geraniumline config get contract kilima > kilima.json`,
			Flags:        operatorFlags(jsonFlag()),
			OnUsageError: usageError,
			Action:       action(a.getConfig),
		},
		&cli.Command{
			Name:      "diff",
			Usage:     "compare the objects of files with those in force",
			ArgsUsage: "FILE...",
			Description: `Prints each field that differs, with the value in force and the value in the file. Exits 0 where nothing differs
and 1 where something does.

Example:
  geraniumline config diff contracts/*.json`,
			Flags:        operatorFlags(jsonFlag()),
			OnUsageError: usageError,
			Action:       action(a.diffFiles),
		},
		&cli.Command{
			Name:  "history",
			Usage: "list recent changes and their verdicts, newest first",
			Description: `Example:
  geraniumline config history --limit 20`,
			Flags:        operatorFlags(jsonFlag(), &cli.IntFlag{Name: "limit", Usage: "most changes to list, up to 1000", Value: 50}),
			OnUsageError: usageError,
			Action:       action(a.history),
		},
		&cli.Command{
			Name:      "remove",
			Usage:     "remove an object",
			ArgsUsage: "KIND NAME",
			Description: `Example:
  geraniumline config remove contract kilima`,
			Flags:        operatorFlags(jsonFlag()),
			OnUsageError: usageError,
			Action:       action(a.remove),
		},
		&cli.Command{
			Name:      "operation",
			Usage:     "show the outcome of a change whose reply was lost",
			ArgsUsage: "OPERATION-ID",
			Description: `Example:
  geraniumline config operation 0190a1b2-7c3d-7e4f-8a5b-6c7d8e9f0a1b`,
			Flags:        operatorFlags(jsonFlag()),
			OnUsageError: usageError,
			Action:       action(a.operation),
		},
	)
}

func (a *app) getConfig(ctx context.Context, cmd *cli.Command) error {
	kind, name := cmd.Args().Get(0), cmd.Args().Get(1)
	view, err := a.fetchConfig(ctx, cmd, kind, name)
	if err != nil {
		return err
	}
	if name == "" {
		return a.printView(cmd, view)
	}
	if len(view.Objects) == 0 {
		return &ObjectNotFoundError{Kind: kind, Name: name}
	}
	return a.printJSON(newObjectFile(view.Objects[0]))
}

func (a *app) printView(cmd *cli.Command, view *operatorserver.ConfigView) error {
	if cmd.Bool("json") {
		return a.printJSON(view)
	}
	a.print("offset %d\n%s", view.Offset, presenter.ObjectsText(*view, a.cfg.Terminal))
	return nil
}

// fetchConfig connects and requests the objects in force; an empty kind or name matches all.
func (a *app) fetchConfig(ctx context.Context, cmd *cli.Command, kind, name string) (*operatorserver.ConfigView, error) {
	c, err := a.connect(cmd, "user")
	if err != nil {
		return nil, err
	}
	return fetchConfigFrom(ctx, c, kind, name)
}

func fetchConfigFrom(ctx context.Context, c *connection, kind, name string) (*operatorserver.ConfigView, error) {
	var params operatorserver.GetConfigParams
	if kind != "" {
		params.Kind.SetTo(kind)
	}
	if name != "" {
		params.Name.SetTo(name)
	}
	return callAny(ctx, c, func(client *operatorserver.Client) (*operatorserver.ConfigView, error) {
		return client.GetConfig(ctx, params)
	})
}

func (a *app) history(ctx context.Context, cmd *cli.Command) error {
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	params := operatorserver.GetHistoryParams{Limit: operatorserver.NewOptInt(cmd.Int("limit"))}
	history, err := callAny(ctx, c, func(client *operatorserver.Client) (*operatorserver.ConfigHistory, error) {
		return client.GetHistory(ctx, params)
	})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return a.printJSON(history)
	}
	a.print("%s", presenter.HistoryText(*history, a.cfg.Terminal))
	return nil
}
