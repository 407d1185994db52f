package launcher

import (
	"context"

	"github.com/urfave/cli/v3"

	"geraniumline/explainer"
)

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from logs what happened to a request, and why it failed",
		ArgsUsage: "ID",
		Description: `Reads the log lines of all entries from the standard input, in any order, and prints those that concern the
request in the order of their times, then the cause of its failure and what to look at.

Example:
  cat /var/log/geraniumline/*.log | geraniumline explain 9c41d07be2a35f68`,
		OnUsageError: usageError,
		Action:       action(a.explain),
	}
}

func (a *app) explain(_ context.Context, cmd *cli.Command) error {
	id := cmd.Args().First()
	if id == "" || cmd.Args().Len() > 1 {
		return &UsageError{Message: "explain takes the id of one request"}
	}
	report, err := explainer.Read(a.cfg.Stdin, id)
	if err != nil {
		return err
	}
	return report.Write(a.out)
}
