package launcher

import (
	"context"

	"github.com/urfave/cli/v3"

	"geraniumline/operatorserver"
	"geraniumline/presenter"
)

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the system as an entry sees it",
		Description: `Shows entries by availability zone with the configuration offset in force, client accounts with share,
limit, attainment and cost by stage, and endpoints with their state. The same is served as a page at the
operator address.

Examples:
  geraniumline status --address 10.0.0.1:8002 --user asha --credential-file asha.credential
  geraniumline status --json | jq '.entries[] | {name, configOffset}'`,
		Flags:        operatorFlags(jsonFlag()),
		OnUsageError: usageError,
		Action:       action(a.status),
	}
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	status, err := callAny(ctx, c, func(client *operatorserver.Client) (*operatorserver.Status, error) {
		return client.GetStatus(ctx)
	})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return a.printJSON(status)
	}
	a.print("%s", presenter.StatusText(*status, a.cfg.Terminal))
	return nil
}
