package launcher

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumline/caller"
	"geraniumline/callerserver"
)

// outcomeGrace is how long after a request's deadline the command still waits for its outcome.
const outcomeGrace = 5 * time.Second

func (a *app) requestCommand() *cli.Command {
	flags := connectionFlags(envCallerAddress, "any entry's caller address, asked which entries to use,")
	flags = append(flags,
		jsonFlag(),
		&cli.StringFlag{Name: "account", Usage: "client account's `NAME`", Sources: cli.EnvVars(envAccount)},
		&cli.StringFlag{Name: "pipeline", Usage: "pipeline's `NAME`"},
		&cli.StringFlag{Name: "key", Usage: "idempotency `KEY`, a UUID of version 7; without it a new one is made"},
		&cli.DurationFlag{Name: "deadline", Usage: "`TIME` until the answer is of no more use", Value: 6 * time.Second},
		&cli.BoolFlag{Name: "stream", Usage: "print the answer's parts as they come"},
		&cli.StringFlag{Name: "input-file", Usage: "`FILE` with the input, - for the standard input, in place of arguments"},
	)
	return &cli.Command{
		Name:      "request",
		Usage:     "send one request and follow it to its outcome",
		ArgsUsage: "[INPUT...]",
		Description: `Asks which entries to use, sends the request to the best, and goes on to the next where one does not answer,
always under the same key, so that it runs at most once. A request that is answered notRun with a retry time is
sent again while its deadline lasts. A request whose answer was cut off is asked after by its key.
Exits 0 with the answer, 3 for notRun and 4 for unknown; the key is printed to the standard error output.

Examples:
  geraniumline request --address 10.0.0.1:8001 --account kilima --credential-file kilima.credential \
    --pipeline digest "June readings"
  echo "Is ticket 12 logged?" | geraniumline request --pipeline confirm --input-file - --deadline 2s --json`,
		Flags:        flags,
		OnUsageError: usageError,
		Action:       action(a.request),
	}
}

func (a *app) request(ctx context.Context, cmd *cli.Command) error {
	request, err := a.newRequest(cmd)
	if err != nil {
		return err
	}
	c, err := a.connect(cmd, "account")
	if err != nil {
		return err
	}
	a.printStderr("key " + request.Key)
	var printed strings.Builder
	if request.Stream && !cmd.Bool("json") {
		request.OnPart = func(text string) {
			a.printText(text)
			printed.WriteString(text)
		}
	}
	result := newRequestResult(a.newCaller(c).Send(ctx, request))
	result.Key = request.Key
	if cmd.Bool("json") {
		if err := a.printJSON(result); err != nil {
			return err
		}
	}
	return a.printOutcome(cmd, result, printed.String())
}

func (a *app) newCaller(c *connection) *caller.Caller {
	return caller.New(caller.Config{
		Account:    c.user,
		Credential: c.credential,
		Entries:    c.addresses,
		HTTP:       c.client,
		Scheme:     c.scheme,
		Grace:      outcomeGrace,
		Now:        a.cfg.Now,
		Wait:       a.cfg.Wait,
	})
}

func (a *app) newRequest(cmd *cli.Command) (caller.Request, error) {
	if cmd.String("pipeline") == "" {
		return caller.Request{}, &UsageError{Message: "--pipeline is not given", Command: cmd.FullName()}
	}
	deadline := cmd.Duration("deadline")
	if deadline < time.Millisecond {
		return caller.Request{}, &UsageError{Message: "--deadline must be at least 1ms"}
	}
	input, err := a.readRequestInput(cmd)
	if err != nil {
		return caller.Request{}, err
	}
	key := cmd.String("key")
	if key == "" {
		key, err = caller.NewKey()
	}
	return caller.Request{
		Pipeline:    cmd.String("pipeline"),
		Key:         key,
		Input:       input,
		Deadline:    deadline,
		Traceparent: newTraceparent(),
		Stream:      cmd.Bool("stream"),
	}, err
}

func (a *app) readRequestInput(cmd *cli.Command) (string, error) {
	file := cmd.String("input-file")
	if file == "" {
		return strings.Join(cmd.Args().Slice(), " "), nil
	}
	if cmd.Args().Present() {
		return "", &UsageError{Message: "give the input as arguments or by --input-file, not both"}
	}
	text, err := a.readInput(file)
	if err != nil {
		return "", &UsageError{Message: fmt.Sprintf("--input-file: %v", err)}
	}
	return string(text), nil
}

// newTraceparent returns the traceparent of a new trace, by which the trace command finds the request's hops.
func newTraceparent() string {
	var ids [24]byte
	_, _ = rand.Read(ids[:]) // crypto/rand never returns an error
	return fmt.Sprintf("00-%x-%x-01", ids[:16], ids[16:])
}

// requestResult is the outcome of a request as the command prints it.
type requestResult struct {
	Key              string                    `json:"key"`
	Outcome          callerserver.OutcomeState `json:"outcome"`
	Answer           string                    `json:"answer,omitempty"`
	RequestID        string                    `json:"requestId,omitempty"`
	Code             string                    `json:"code,omitempty"`
	Message          string                    `json:"message,omitempty"`
	RetryAfterMillis int64                     `json:"retryAfterMillis,omitempty"`
	Address          string                    `json:"address,omitempty"`
	Attempts         int                       `json:"tries"`
}

// newRequestResult converts what Send returns. Errors other than RequestError occur before anything is sent.
func newRequestResult(answer caller.Answer, err error) requestResult {
	var requestErr *caller.RequestError
	switch {
	case err == nil:
		return requestResult{
			Outcome:   callerserver.OutcomeStateAnswered,
			Answer:    answer.Text,
			RequestID: answer.RequestID,
			Address:   answer.Entry,
			Attempts:  answer.Attempts,
		}
	case errors.As(err, &requestErr):
		return requestResult{
			Outcome:          callerserver.OutcomeState(requestErr.Outcome),
			Code:             requestErr.Code,
			Message:          requestErr.Message,
			RetryAfterMillis: requestErr.RetryAfter.Milliseconds(),
			Address:          requestErr.Entry,
			Attempts:         requestErr.Attempts,
		}
	default:
		return requestResult{Outcome: callerserver.OutcomeStateNotRun, Message: err.Error()}
	}
}

// printOutcome prints the part of the answer that was not yet printed as a stream, or returns an OutcomeError.
func (a *app) printOutcome(cmd *cli.Command, r requestResult, printed string) error {
	if r.Outcome != callerserver.OutcomeStateAnswered {
		return &OutcomeError{
			Unknown: r.Outcome != callerserver.OutcomeStateNotRun,
			Key:     r.Key,
			Message: r.Message,
		}
	}
	if cmd.Bool("json") {
		return nil
	}
	rest, continues := strings.CutPrefix(r.Answer, printed)
	if !continues {
		rest = "\n" + r.Answer
	}
	a.printText(rest)
	a.print("\n")
	return nil
}
