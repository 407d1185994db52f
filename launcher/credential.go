package launcher

import (
	"context"

	"github.com/urfave/cli/v3"

	"geraniumline/documenter"
	"geraniumline/verifier"
)

func (a *app) credentialCommand() *cli.Command {
	return group("credential", "make credentials", &cli.Command{
		Name:  "new",
		Usage: "make a credential, and the hash that settings and contracts hold",
		Description: `Prints a new random credential, for its owner only, and its SHA-256 as hex, for "credentialSha256" in an
entry's settings or in a contract. The credential can't be got back from the hash.

Example:
  geraniumline credential new --json`,
		Flags:        []cli.Flag{jsonFlag()},
		OnUsageError: usageError,
		Action:       action(a.newCredential),
	})
}

func (a *app) newCredential(_ context.Context, cmd *cli.Command) error {
	credential := verifier.GenerateCredential()
	hash := verifier.HashCredential(credential)
	if cmd.Bool("json") {
		return a.printJSON(struct {
			Credential       string `json:"credential"`
			CredentialSHA256 string `json:"credentialSha256"`
		}{credential, hash})
	}
	a.print("credential        %s\ncredentialSha256  %s\n", credential, hash)
	return nil
}

func (a *app) keyCommand() *cli.Command {
	return group("key", "make the key that entries share", &cli.Command{
		Name:  "new",
		Usage: "make a key for sharedKey in the settings of all entries",
		Description: `Prints a new random key of 32 bytes as hex. All entries of a system have the same one.

Example:
  geraniumline key new > /etc/geraniumline/shared.key`,
		OnUsageError: usageError,
		Action: action(func(context.Context, *cli.Command) error {
			a.print("%s\n", verifier.GenerateKey())
			return nil
		}),
	})
}

// docsCommand prints the pages that are made from the code, for go generate.
func (a *app) docsCommand() *cli.Command {
	docs := group("docs", "print the pages that are made from the code",
		a.pageCommand("settings", "docs/Config.md", documenter.Settings),
		a.pageCommand("metrics", "docs/METRICS.md", documenter.Metrics),
	)
	docs.Hidden = true
	return docs
}

func (a *app) pageCommand(name, file string, page func() (string, error)) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        "print " + file,
		OnUsageError: usageError,
		Action: action(func(context.Context, *cli.Command) error {
			text, err := page()
			if err != nil {
				return err
			}
			a.print("%s", text)
			return nil
		}),
	}
}
