package launcher

import (
	"context"
	"errors"
	"time"

	"github.com/go-faster/jx"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"geraniumline/caller"
	"geraniumline/loader"
	"geraniumline/operatorserver"
	"geraniumline/presenter"
)

// A verdict that is not known yet is asked for lookups times, lookupInterval apart: twice as long as a
// change may take to be in force everywhere.
const (
	lookups        = 80
	lookupInterval = 500 * time.Millisecond
)

// publishFiles publishes the objects of all files, and stops at the first that is not accepted.
func (a *app) publishFiles(ctx context.Context, cmd *cli.Command) error {
	objects, err := a.objectsOf(cmd)
	if err != nil {
		return err
	}
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	for _, o := range objects {
		change, err := changeOf(ctx, c, o)
		if err != nil {
			return err
		}
		if err := a.publish(ctx, cmd, c, change); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) objectsOf(cmd *cli.Command) ([]loader.Object, error) {
	if !cmd.Args().Present() {
		return nil, &UsageError{Message: "name the files", Command: cmd.FullName()}
	}
	var objects []loader.Object
	var failures []error
	for _, file := range cmd.Args().Slice() {
		more, err := a.loadObjects(file)
		objects = append(objects, more...)
		failures = append(failures, err)
	}
	return objects, errors.Join(failures...)
}

func changeOf(ctx context.Context, c *connection, o loader.Object) (*operatorserver.ConfigChange, error) {
	version := o.BaseVersion
	if !o.HasVersion {
		inForce, err := objectInForce(ctx, c, o.Kind, o.Name)
		if err != nil {
			return nil, err
		}
		version = inForce.Version
	}
	change := newChange(o.Kind, o.Name, version)
	change.Body = operatorserver.Body(jx.Raw(o.Body))
	return change, nil
}

func newChange(kind, name string, version int64) *operatorserver.ConfigChange {
	return &operatorserver.ConfigChange{
		OperationId: uuid.Must(uuid.NewV7()).String(),
		Kind:        operatorserver.ConfigChangeKind(kind),
		Name:        name,
		BaseVersion: version,
	}
}

// objectInForce returns an object of version 0 where there is none.
func objectInForce(ctx context.Context, c *connection, kind, name string) (operatorserver.ConfigObject, error) {
	view, err := viewOf(ctx, c, kind, name)
	if err != nil {
		return operatorserver.ConfigObject{}, err
	}
	if len(view.Objects) == 0 {
		return operatorserver.ConfigObject{Kind: kind, Name: name}, nil
	}
	return view.Objects[0], nil
}

// publish sends one change and waits for its verdict.
func (a *app) publish(ctx context.Context, cmd *cli.Command, c *connection, change *operatorserver.ConfigChange) error {
	verdict, err := send(ctx, c, change)
	if err == nil && verdict.Verdict != operatorserver.ConfigVerdictVerdictPending {
		return a.judge(cmd, verdict)
	}
	if err != nil && !errors.As(err, new(*maybeSentError)) {
		return err
	}
	verdict, err = a.lookUp(ctx, c, change.OperationId)
	if err != nil {
		return err
	}
	return a.judge(cmd, verdict)
}

// maybeSentError tells of a call that failed after some of it may have arrived.
type maybeSentError struct {
	err error
}

func (e *maybeSentError) Error() string { return e.err.Error() }

func (e *maybeSentError) Unwrap() error { return e.err }

// send goes on to the next address only while nothing was sent.
//
// A change that was sent and not answered may be in the log. Sent again, it would meet its own first
// copy as a conflict, and the operator would be told that a change was lost which is in force. So its
// verdict is looked up by the operation id instead.
func send(ctx context.Context, c *connection, change *operatorserver.ConfigChange) (*operatorserver.ConfigVerdict, error) {
	var last error
	for _, address := range c.addresses {
		client, err := c.operator(address)
		if err != nil {
			return nil, &UsageError{Message: err.Error()}
		}
		verdict, err := client.PublishConfig(ctx, change)
		if err == nil {
			return verdict, nil
		}
		if refused := refusalOf(address, err); refused != nil {
			return nil, refused
		}
		if !caller.NotSent(err) {
			return nil, &maybeSentError{err: err}
		}
		last = err
	}
	return nil, &UnreachableError{Addresses: c.addresses, Err: last}
}

// lookUp asks for the verdict until it is known.
func (a *app) lookUp(ctx context.Context, c *connection, operationID string) (*operatorserver.ConfigVerdict, error) {
	params := operatorserver.GetOperationParams{OperationId: operationID}
	for range lookups {
		verdict, err := ask(ctx, c, func(client *operatorserver.Client) (*operatorserver.ConfigVerdict, error) {
			return client.GetOperation(ctx, params)
		})
		if err == nil && verdict.Verdict != operatorserver.ConfigVerdictVerdictPending {
			return verdict, nil
		}
		if err := a.cfg.Wait(ctx, lookupInterval); err != nil {
			break
		}
	}
	return nil, &OutcomeError{Unknown: true, Key: operationID,
		Message: "the change may be accepted yet; ask with: geraniumline config operation"}
}

// judge prints a verdict. Only an accepted change exits 0.
func (a *app) judge(cmd *cli.Command, verdict *operatorserver.ConfigVerdict) error {
	if cmd.Bool("json") {
		if err := a.printJSON(verdict); err != nil {
			return err
		}
	} else {
		a.print("%s %s: %s, version %d in force", verdict.Kind, verdict.Name, verdict.Verdict, verdict.Version)
		if message := verdict.Message.Or(""); message != "" {
			a.printText(": " + message)
		}
		a.print("\n")
	}
	switch verdict.Verdict {
	case operatorserver.ConfigVerdictVerdictAccepted:
		return nil
	case operatorserver.ConfigVerdictVerdictInvalid:
		return &ReportedError{Code: ExitUsage}
	case operatorserver.ConfigVerdictVerdictPending:
		return &ReportedError{Code: ExitUnknown}
	}
	return &ReportedError{Code: ExitFailed}
}

func (a *app) operation(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return &UsageError{Message: "give one operation id", Command: cmd.FullName()}
	}
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	params := operatorserver.GetOperationParams{OperationId: cmd.Args().First()}
	verdict, err := ask(ctx, c, func(client *operatorserver.Client) (*operatorserver.ConfigVerdict, error) {
		return client.GetOperation(ctx, params)
	})
	if err != nil {
		return err
	}
	return a.judge(cmd, verdict)
}

func (a *app) remove(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return &UsageError{Message: "give a kind and a name", Command: cmd.FullName()}
	}
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	kind, name := cmd.Args().Get(0), cmd.Args().Get(1)
	inForce, err := objectInForce(ctx, c, kind, name)
	if err != nil {
		return err
	}
	if inForce.Version == 0 {
		return &ObjectNotFoundError{Kind: kind, Name: name}
	}
	change := newChange(kind, name, inForce.Version)
	change.Remove.SetTo(true)
	change.Body = operatorserver.Body("null")
	return a.publish(ctx, cmd, c, change)
}

func (a *app) diffFiles(ctx context.Context, cmd *cli.Command) error {
	objects, err := a.objectsOf(cmd)
	if err != nil {
		return err
	}
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	all := []difference{}
	for _, o := range objects {
		inForce, err := objectInForce(ctx, c, o.Kind, o.Name)
		if err != nil {
			return err
		}
		found, err := differences(o.Kind, o.Name, inForce.Body, o.Body)
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	return a.showDifferences(cmd, all)
}

func (a *app) showDifferences(cmd *cli.Command, all []difference) error {
	if cmd.Bool("json") {
		if err := a.printJSON(all); err != nil {
			return err
		}
	} else {
		for _, d := range all {
			a.print("%s", presenter.DifferenceLine(d.Kind, d.Name, d.Path, d.InForce, d.InFile, a.cfg.Terminal))
		}
	}
	if len(all) > 0 {
		return &ReportedError{Code: ExitFailed}
	}
	return nil
}
