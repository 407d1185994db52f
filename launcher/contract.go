package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/jx"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"geraniumline/loader"
	"geraniumline/operatorserver"
	"geraniumline/publisher"
)

const contractKind = "contract"

func (a *app) contractCommand() *cli.Command {
	return commandGroup("contract", "set and read contracts, one for each client account",
		&cli.Command{
			Name:      "set",
			Usage:     "publish a contract from a file, or change fields of the one in force",
			ArgsUsage: "NAME FILE | NAME FIELD=VALUE...",
			Description: `FILE holds the contract's body as JSON with comments. A VALUE is JSON; what is not is taken as text.
The change is based on the version in force now: if another operator changes the contract meanwhile, this
change loses and exits 1.

Examples:
  geraniumline contract set kilima kilima.json
  geraniumline contract set kilima ratePerSecond=40 urgency=urgent`,
			Flags:        operatorFlags(jsonFlag()),
			OnUsageError: usageError,
			Action:       action(a.setContract),
		},
		&cli.Command{
			Name:      "get",
			Usage:     "print a contract in the form that config publish takes",
			ArgsUsage: "NAME",
			Description: `Example:
  geraniumline contract get kilima`,
			Flags:        operatorFlags(),
			OnUsageError: usageError,
			Action:       action(a.getContract),
		},
		&cli.Command{
			Name:  "list",
			Usage: "list the contracts in force",
			Description: `Example:
  geraniumline contract list --json`,
			Flags:        operatorFlags(jsonFlag()),
			OnUsageError: usageError,
			Action:       action(a.listContracts),
		},
	)
}

func (a *app) getContract(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &UsageError{Message: "give one name", Command: cmd.FullName()}
	}
	name := cmd.Args().First()
	view, err := a.fetchConfig(ctx, cmd, contractKind, name)
	if err != nil {
		return err
	}
	if len(view.Objects) == 0 {
		return &ObjectNotFoundError{Kind: contractKind, Name: name}
	}
	return a.printJSON(newObjectFile(view.Objects[0]))
}

func (a *app) listContracts(ctx context.Context, cmd *cli.Command) error {
	view, err := a.fetchConfig(ctx, cmd, contractKind, "")
	if err != nil {
		return err
	}
	return a.printView(cmd, view)
}

func (a *app) setContract(ctx context.Context, cmd *cli.Command) error {
	name, values := cmd.Args().First(), cmd.Args().Tail()
	if len(values) == 0 {
		return &UsageError{Message: "give a name, and a file or fields", Command: cmd.FullName()}
	}
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	inForce, err := objectInForce(ctx, c, contractKind, name)
	if err != nil {
		return err
	}
	body, err := a.contractBody(inForce, values)
	if err != nil {
		return err
	}
	if err := checkContract(name, body); err != nil {
		return err
	}
	change := newChange(contractKind, name, inForce.Version)
	change.Body = operatorserver.Body(jx.Raw(body))
	return a.publish(ctx, cmd, c, change)
}

// contractBody reads the body from a file, or returns the body in force with the given fields changed.
func (a *app) contractBody(inForce operatorserver.ConfigObject, values []string) ([]byte, error) {
	if len(values) == 1 && !strings.Contains(values[0], "=") {
		text, err := a.readInput(values[0])
		if err != nil {
			return nil, &loader.UnreadableError{File: values[0], Err: err}
		}
		body, err := hujson.Standardize(text)
		if err != nil {
			return nil, &UsageError{Message: values[0] + ": no JSON with comments"}
		}
		return body, nil
	}
	return setFields(inForce, values)
}

func setFields(inForce operatorserver.ConfigObject, values []string) ([]byte, error) {
	if inForce.Version == 0 {
		return nil, &ObjectNotFoundError{Kind: inForce.Kind, Name: inForce.Name}
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(inForce.Body, &fields); err != nil {
		return nil, fmt.Errorf("the contract in force: %w", err)
	}
	for _, assignment := range values {
		field, value, ok := strings.Cut(assignment, "=")
		if !ok || field == "" {
			return nil, &UsageError{Message: fmt.Sprintf("want FIELD=VALUE, got %q", assignment)}
		}
		fields[field] = jsonValue(value)
	}
	return json.Marshal(fields)
}

// jsonValue returns value if it is valid JSON, and otherwise value as a JSON string.
func jsonValue(value string) json.RawMessage {
	if json.Valid([]byte(value)) {
		return json.RawMessage(value)
	}
	text, _ := json.Marshal(value) // marshalling a string never fails
	return text
}

func checkContract(name string, body []byte) error {
	var faults []loader.Fault
	for _, f := range publisher.Check(contractKind, name, body) {
		faults = append(faults, loader.Fault{Path: f.Path, Message: f.Message})
	}
	if len(faults) > 0 {
		return &loader.FaultsError{Faults: faults}
	}
	return nil
}
