package launcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumline/operatorserver"
)

// stopPollInterval is the time between two requests for a stop's progress. While only the remaining time changes, a
// line is printed every progressInterval.
const (
	stopPollInterval = 500 * time.Millisecond
	progressInterval = 5 * time.Second
)

// StopLostError reports that an entry stopped responding before its planned stop was done.
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
	// Starting a stop is idempotent, so the call may be repeated.
	progress, err := callAny(ctx, c, func(client *operatorserver.Client) (*operatorserver.StopProgress, error) {
		return client.StartStop(ctx)
	})
	if err != nil {
		return err
	}
	monitor := stopMonitor{app: a, json: cmd.Bool("json"), last: *progress}
	monitor.printProgress()
	if cmd.Bool("no-wait") {
		return nil
	}
	return monitor.follow(ctx, c)
}

// stopMonitor prints the progress of a stop.
type stopMonitor struct {
	app  *app
	json bool
	last operatorserver.StopProgress
	// printedAt is when a line was last printed.
	printedAt time.Time
}

func (m *stopMonitor) follow(ctx context.Context, c *connection) error {
	for m.last.Phase != operatorserver.StopProgressPhaseDone {
		if err := m.app.cfg.Wait(ctx, stopPollInterval); err != nil {
			return err
		}
		progress, err := callAny(ctx, c, func(client *operatorserver.Client) (*operatorserver.StopProgress, error) {
			return client.GetStop(ctx)
		})
		if err != nil {
			return m.handleUnreachable(ctx, c.addresses[0], err)
		}
		changed := progress.Phase != m.last.Phase || progress.InFlight != m.last.InFlight
		m.last = *progress
		if changed || m.app.cfg.Now().Sub(m.printedAt) >= progressInterval {
			m.printProgress()
		}
	}
	return nil
}

// handleUnreachable decides whether an entry that no longer responds has finished its stop. An entry exits as soon as
// it has handed over, usually between two progress requests. So it counts as done if nothing was in flight and the last
// address answer had expired, or would have within stopPollInterval, when it last responded.
func (m *stopMonitor) handleUnreachable(ctx context.Context, address string, err error) error {
	var unreachable *UnreachableError
	if ctx.Err() != nil || !errors.As(err, &unreachable) {
		return err
	}
	idle := m.last.InFlight == 0 && m.last.MillisLeft <= int64(stopPollInterval/time.Millisecond)
	if !idle {
		return &StopLostError{Address: address, InFlight: m.last.InFlight, Err: unreachable.Err}
	}
	m.last = operatorserver.StopProgress{Phase: operatorserver.StopProgressPhaseDone}
	m.printProgress()
	return nil
}

func (m *stopMonitor) printProgress() {
	m.printedAt = m.app.cfg.Now()
	if m.json {
		_ = m.app.printJSON(m.last)
		return
	}
	m.app.print("%s: %d in flight, %.1f s until the last address answer lapses\n",
		m.last.Phase, m.last.InFlight, float64(m.last.MillisLeft)/1000)
}
