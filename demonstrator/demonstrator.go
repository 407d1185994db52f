package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumline/caller"
	"geraniumline/operatorserver"
	"geraniumline/starter"
)

const (
	entryCount   = 7
	zoneCount    = 3
	readyTimeout = 20 * time.Second
	deadline     = 5 * time.Second
	// concurrency is the maximum number of concurrent requests of one account.
	concurrency = 6
)

// Config holds the directory of the programs (Bin), the directory for settings and logs (Dir), and the writer that the
// report is printed to (Out).
type Config struct {
	Bin, Dir string
	Out      io.Writer
}

// FailedError reports that the ledgers show lost, doubled or crossed requests.
type FailedError struct{ Report Report }

func (e *FailedError) Error() string {
	return fmt.Sprintf("lost=%d doubled=%d crossed=%d", e.Report.Lost, e.Report.Doubled, e.Report.Crossed)
}

// Run runs the demo and prints its report. It returns a FailedError if requests were lost, doubled or crossed.
func Run(ctx context.Context, cfg Config) (err error) {
	printLine(cfg.Out, "starting %d entries in %d availability zones, and the stand-ins", entryCount, zoneCount)
	fleet, err := starter.Start(ctx, starter.Config{Bin: cfg.Bin, Dir: cfg.Dir, Entries: entryCount, Zones: zoneCount, Pools: Pools()})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fleet.Stop()) }()
	if err := fleet.AwaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	accounts := Accounts()
	printLine(cfg.Out, "publishing %d objects and %d contracts", len(Objects()), len(accounts))
	if err := Publish(ctx, fleet, accounts); err != nil {
		return err
	}
	printLine(cfg.Out, "sending requests")
	results := sendAll(ctx, fleet, accounts)
	executions, err := fleet.Executions(ctx)
	if err != nil {
		return err
	}
	report := newReport(accounts, results, executions)
	report.print(cfg.Out)
	if report.Lost+report.Doubled+report.Crossed > 0 {
		return &FailedError{Report: report}
	}
	return nil
}

func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, "demo: "+format+"\n", args...)
}

// RefusedChangeError reports that a configuration change was not accepted.
type RefusedChangeError struct {
	Kind, Name string
	Verdict    operatorserver.ConfigVerdict
}

func (e *RefusedChangeError) Error() string {
	return fmt.Sprintf("%s %s: %s %s", e.Kind, e.Name, e.Verdict.Verdict, e.Verdict.Message.Value)
}

// Publish publishes the demo's configuration at the first entry and waits until it is in force at all entries. It returns
// a RefusedChangeError if a change is not accepted.
func Publish(ctx context.Context, fleet *starter.Fleet, accounts []Account) error {
	objects := Objects()
	for _, account := range accounts {
		objects = append(objects, account.Contract())
	}
	client, err := fleet.Operator(fleet.Entries()[0])
	if err != nil {
		return err
	}
	version := int64(0)
	for i, object := range objects {
		kind, name, body, err := encodeObject(object)
		if err != nil {
			return err
		}
		verdict, err := client.PublishConfig(ctx, &operatorserver.ConfigChange{
			OperationId: fmt.Sprintf("demo-%d", i),
			Kind:        operatorserver.ConfigChangeKind(kind),
			Name:        name,
			Body:        body,
		})
		if err != nil {
			return err
		}
		if verdict.Verdict != operatorserver.ConfigVerdictVerdictAccepted {
			return &RefusedChangeError{Kind: kind, Name: name, Verdict: *verdict}
		}
		version = max(version, verdict.Version)
	}
	return awaitVersion(ctx, fleet, version)
}

// awaitVersion waits until the version is in force at every entry.
func awaitVersion(ctx context.Context, fleet *starter.Fleet, version int64) error {
	for _, entry := range fleet.Entries() {
		client, err := fleet.Operator(entry)
		if err != nil {
			return err
		}
		for {
			status, err := client.GetStatus(ctx)
			if err != nil {
				return err
			}
			if status.ConfigOffset >= version {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// result is the outcome of one request.
type result struct {
	account  string
	pipeline string
	key      string
	input    string
	answer   caller.Answer
	err      error
	duration time.Duration
}

// sendAll sends the requests of all accounts, at most concurrency per account at a time.
func sendAll(ctx context.Context, fleet *starter.Fleet, accounts []Account) []result {
	var addresses []string
	for _, entry := range fleet.Entries() {
		addresses = append(addresses, entry.CallerAddress)
	}
	var mu sync.Mutex
	var results []result
	var group errgroup.Group
	for _, account := range accounts {
		client := caller.New(caller.Config{Account: account.Name, Credential: account.Credential, Entries: addresses})
		group.Go(func() error {
			var requests errgroup.Group
			requests.SetLimit(concurrency)
			for i := range account.Requests {
				requests.Go(func() error {
					r := sendOne(ctx, client, account, i)
					mu.Lock()
					defer mu.Unlock()
					results = append(results, r)
					return nil
				})
			}
			return requests.Wait()
		})
	}
	_ = group.Wait()
	return results
}

// ticketInterval is the interval between requests to the ticket pipeline, counted in requests of an account.
const ticketInterval = 3

func sendOne(ctx context.Context, client *caller.Caller, account Account, i int) result {
	r := result{account: account.Name, pipeline: pipelineSummary, input: fmt.Sprintf("%s writes report %d", account.Name, i)}
	if i%ticketInterval == 0 {
		r.pipeline = pipelineTicket
	}
	key, err := caller.NewKey()
	if err != nil {
		r.err = err
		return r
	}
	r.key = key
	start := time.Now()
	r.answer, r.err = client.Send(ctx, caller.Request{Pipeline: r.pipeline, Key: key, Input: r.input, Deadline: deadline})
	r.duration = time.Since(start)
	return r
}
