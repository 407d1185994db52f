package launcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumline/operatorserver"
)

// stopInterval is the time between two questions for a stop's progress; while nothing but the clock
// changes, a line is printed every showInterval.
const (
	stopInterval = 500 * time.Millisecond
	showInterval = 5 * time.Second
)

// StopLostError tells that an entry went away before its planned stop was done.
type StopLostError struct {
	Address  string
	InFlight int
	Err      error
}

func (e *StopLostError) Error() string {
	return fmt.Sprintf("%s no longer answers, with %d requests in flight when it last did: %v", e.Address, e.InFlight, e.Err)
}

// Unwrap returns the cause.
func (e *StopLostError) Unwrap() error { return e.Err }

func (a *app) stopCommand() *cli.Command {
	return &cli.Command{
		Name:  "stop",
		Usage: "begin the planned stop of the entry at the address, and show its progress until it is done",
		Description: `The entry is no longer handed out to callers, serves until every address answer that names it has lapsed and
nothing is in flight, hands over the outcomes that callers may still ask for, and exits 0. No request is cut.
Give exactly one address. Breaking this command off does not break off the stop; called again it shows the
progress on.

Example:
  geraniumline stop --address 10.0.0.3:8002 --user asha --credential-file asha.credential`,
		Flags: operatorFlags(
			jsonFlag(),
			&cli.BoolFlag{Name: "no-wait", Usage: "return once the stop has begun"},
		),
		OnUsageError: usageError,
		Action:       action(a.stop),
	}
}

func (a *app) stop(ctx context.Context, cmd *cli.Command) error {
	c, err := a.connect(cmd, "user")
	if err != nil {
		return err
	}
	if len(c.addresses) != 1 {
		return &UsageError{Message: "give exactly one address: that of the entry to stop", Command: cmd.FullName()}
	}
	// Beginning a stop that has begun changes nothing, so this may be asked twice.
	progress, err := ask(ctx, c, func(client *operatorserver.Client) (*operatorserver.StopProgress, error) {
		return client.StartStop(ctx)
	})
	if err != nil {
		return err
	}
	watch := stopWatch{app: a, json: cmd.Bool("json"), last: *progress}
	watch.show()
	if cmd.Bool("no-wait") {
		return nil
	}
	return watch.follow(ctx, c)
}

// stopWatch shows each change of a stop's progress.
type stopWatch struct {
	app  *app
	json bool
	last operatorserver.StopProgress
	// shown is when a line was last printed.
	shown time.Time
}

func (w *stopWatch) follow(ctx context.Context, c *connection) error {
	for w.last.Phase != operatorserver.StopProgressPhaseDone {
		if err := w.app.cfg.Wait(ctx, stopInterval); err != nil {
			return err
		}
		progress, err := ask(ctx, c, func(client *operatorserver.Client) (*operatorserver.StopProgress, error) {
			return client.GetStop(ctx)
		})
		if err != nil {
			return w.ended(ctx, c.addresses[0], err)
		}
		changed := progress.Phase != w.last.Phase || progress.InFlight != w.last.InFlight
		w.last = *progress
		if changed || w.app.cfg.Now().Sub(w.shown) >= showInterval {
			w.show()
		}
	}
	return nil
}

// ended judges an entry that no longer answers. It exits as soon as it has handed over, most often
// between two questions, so silence after that phase began with nothing in flight is the end awaited.
func (w *stopWatch) ended(ctx context.Context, address string, err error) error {
	var unreachable *UnreachableError
	if ctx.Err() != nil || !errors.As(err, &unreachable) {
		return err
	}
	idle := w.last.InFlight == 0 && w.last.MillisLeft <= int64(stopInterval/time.Millisecond)
	if !idle {
		return &StopLostError{Address: address, InFlight: w.last.InFlight, Err: unreachable.Err}
	}
	w.last = operatorserver.StopProgress{Phase: operatorserver.StopProgressPhaseDone}
	w.show()
	return nil
}

func (w *stopWatch) show() {
	w.shown = w.app.cfg.Now()
	if w.json {
		_ = w.app.printJSON(w.last)
		return
	}
	w.app.print("%s: %d in flight, %.1f s until the last address answer lapses\n",
		w.last.Phase, w.last.InFlight, float64(w.last.MillisLeft)/1000)
}
