package launcher

import (
	"errors"
	"fmt"

	"geraniumline/guarder"
	"geraniumline/loader"
)

// ExitCode is the exit code of the process. The program's help text lists the codes.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = iota
	ExitFailed
	ExitUsage
	ExitNotRun
	ExitUnknown
)

// UsageError reports an invalid command line.
type UsageError struct {
	Message string
	// Command is the command whose help text the message refers to; it may be empty.
	Command string
}

func (e *UsageError) Error() string {
	if e.Command == "" {
		return e.Message
	}
	return fmt.Sprintf("%s; see %s --help", e.Message, e.Command)
}

// OutcomeError reports a request or a change that was not executed or whose outcome is unknown.
type OutcomeError struct {
	// Unknown is set if it may have been executed.
	Unknown bool
	// Key identifies it for later queries: an idempotency key or an operation id.
	Key     string
	Message string
}

func (e *OutcomeError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("unknown: %s (%s)", e.Message, e.Key)
	}
	return "notRun: " + e.Message
}

// ReportedError sets the exit code after the command has printed its result. No message is printed for it.
type ReportedError struct {
	Code ExitCode
}

func (e *ReportedError) Error() string { return "" }

// commandError wraps an error of a command's action, as opposed to an error in its usage.
type commandError struct {
	err error
}

func (e *commandError) Error() string { return e.err.Error() }

func (e *commandError) Unwrap() error { return e.err }

func exitCodeOf(err error) ExitCode {
	var (
		usage       *UsageError
		outcome     *OutcomeError
		reported    *ReportedError
		faults      *loader.FaultsError
		unreadable  *loader.UnreadableError
		listen      *guarder.ListenError
		certificate *guarder.CertificateError
	)
	switch {
	case errors.As(err, &reported):
		return reported.Code
	case errors.As(err, &outcome) && outcome.Unknown:
		return ExitUnknown
	case errors.As(err, &outcome):
		return ExitNotRun
	case errors.As(err, &usage), errors.As(err, &faults), errors.As(err, &unreadable),
		errors.As(err, &listen), errors.As(err, &certificate):
		return ExitUsage
	}
	return ExitFailed
}
