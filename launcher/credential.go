package launcher

import (
	"context"

	"github.com/urfave/cli/v3"

	"geraniumline/caller"
	"geraniumline/documenter"
	"geraniumline/verifier"
)

func (a *app) credentialCommand() *cli.Command {
	return commandGroup("credential", "make credentials", &cli.Command{
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
	return commandGroup("key", "make keys", &cli.Command{
		Name:  "new",
		Usage: "make an idempotency key for a request, or the key that entries share",
		Description: `Prints a new idempotency key, a UUID of version 7. With --shared it prints a new random key of 32 bytes as hex,
for sharedKey in the settings; all entries of a system have the same one.

Examples:
  geraniumline key new
  geraniumline key new --shared > /etc/geraniumline/shared.key`,
		Flags:        []cli.Flag{&cli.BoolFlag{Name: "shared", Usage: "make the key that entries share"}},
		OnUsageError: usageError,
		Action:       action(a.newKey),
	})
}

func (a *app) newKey(_ context.Context, cmd *cli.Command) error {
	key, err := caller.NewKey()
	if err != nil {
		return err
	}
	if cmd.Bool("shared") {
		key = verifier.GenerateKey()
	}
	a.print("%s\n", key)
	return nil
}

// docsCommand prints the documentation pages that go generate creates from the code.
func (a *app) docsCommand() *cli.Command {
	docs := commandGroup("docs", "print the pages that are made from the code",
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
