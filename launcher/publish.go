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

// A verdict that is still pending is requested up to maxLookups times, at intervals of lookupInterval: twice as long as
// a change may take to be in force everywhere.
const (
	maxLookups     = 80
	lookupInterval = 500 * time.Millisecond
)

// publishFiles publishes the objects of all files, and stops at the first one that is not accepted.
func (a *app) publishFiles(ctx context.Context, cmd *cli.Command) error {
	objects, err := a.loadFiles(cmd)
	if err != nil {
		return err
	}
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	for _, o := range objects {
		change, err := newObjectChange(ctx, c, o)
		if err != nil {
			return err
		}
		if err := a.publish(ctx, cmd, c, change); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) loadFiles(cmd *cli.Command) ([]loader.Object, error) {
	if !cmd.Args().Present() {
		return nil, &UsageError{Message: "name the files", Command: cmd.FullName()}
	}
	var objects []loader.Object
	var failures []error
	for _, file := range cmd.Args().Slice() {
		loaded, err := a.loadObjects(file)
		objects = append(objects, loaded...)
		failures = append(failures, err)
	}
	return objects, errors.Join(failures...)
}

func newObjectChange(ctx context.Context, c *connection, o loader.Object) (*operatorserver.ConfigChange, error) {
	version := o.BaseVersion
	if !o.HasBaseVersion {
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

// objectInForce returns the object in force, or an object of version 0 if there is none.
func objectInForce(ctx context.Context, c *connection, kind, name string) (operatorserver.ConfigObject, error) {
	view, err := fetchConfigFrom(ctx, c, kind, name)
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
	verdict, err := sendChange(ctx, c, change)
	if err == nil && verdict.Verdict != operatorserver.ConfigVerdictVerdictPending {
		return a.reportVerdict(cmd, verdict)
	}
	if err != nil && !errors.As(err, new(*maybeSentError)) {
		return err
	}
	verdict, err = a.pollVerdict(ctx, c, change.OperationId)
	if err != nil {
		return err
	}
	return a.reportVerdict(cmd, verdict)
}

// maybeSentError reports a call that failed after part of it may have reached the entry.
type maybeSentError struct {
	err error
}

func (e *maybeSentError) Error() string { return e.err.Error() }

func (e *maybeSentError) Unwrap() error { return e.err }

// sendChange tries the next address only while nothing has been sent.
//
// A change that was sent but got no response may be in the log. If it were sent again, it would conflict with its own
// first copy, and the operator would see a conflict for a change that is in force. So its verdict is looked up by the
// operation id instead.
func sendChange(ctx context.Context, c *connection, change *operatorserver.ConfigChange) (*operatorserver.ConfigVerdict, error) {
	var lastErr error
	for _, address := range c.addresses {
		client, err := c.operatorClient(address)
		if err != nil {
			return nil, &UsageError{Message: err.Error()}
		}
		verdict, err := client.PublishConfig(ctx, change)
		if err == nil {
			return verdict, nil
		}
		if refused := refusalError(address, err); refused != nil {
			return nil, refused
		}
		if !caller.NotSent(err) {
			return nil, &maybeSentError{err: err}
		}
		lastErr = err
	}
	return nil, &UnreachableError{Addresses: c.addresses, Err: lastErr}
}

// pollVerdict requests the verdict until it is known. After maxLookups attempts it returns an OutcomeError.
func (a *app) pollVerdict(ctx context.Context, c *connection, operationID string) (*operatorserver.ConfigVerdict, error) {
	params := operatorserver.GetOperationParams{OperationId: operationID}
	for range maxLookups {
		verdict, err := callAny(ctx, c, func(client *operatorserver.Client) (*operatorserver.ConfigVerdict, error) {
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

// reportVerdict prints a verdict and returns the error that sets the exit code. Only an accepted change exits with 0.
func (a *app) reportVerdict(cmd *cli.Command, verdict *operatorserver.ConfigVerdict) error {
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
	verdict, err := callAny(ctx, c, func(client *operatorserver.Client) (*operatorserver.ConfigVerdict, error) {
		return client.GetOperation(ctx, params)
	})
	if err != nil {
		return err
	}
	return a.reportVerdict(cmd, verdict)
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
	objects, err := a.loadFiles(cmd)
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
	return a.printDifferences(cmd, all)
}

func (a *app) printDifferences(cmd *cli.Command, all []difference) error {
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
