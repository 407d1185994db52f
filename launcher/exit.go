package launcher

import (
	"errors"
	"fmt"

	"geraniumline/guarder"
	"geraniumline/loader"
)

// ExitCode is the process's exit code. The help text of the program lists them.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = iota
	ExitFailed
	ExitUsage
	ExitNotRun
	ExitUnknown
)

// UsageError tells of a command line that can't be followed.
type UsageError struct {
	Message string
	// Command is the command whose help would tell more; it may be empty.
	Command string
}

func (e *UsageError) Error() string {
	if e.Command == "" {
		return e.Message
	}
	return fmt.Sprintf("%s; see %s --help", e.Message, e.Command)
}

// OutcomeError tells of a request or a change that was not done, or of which it is not known.
type OutcomeError struct {
	// Unknown tells that it may have been done.
	Unknown bool
	// Key is what to ask again with: an idempotency key or an operation id.
	Key     string
	Message string
}

func (e *OutcomeError) Error() string {
	if e.Unknown {
		return fmt.Sprintf("unknown: %s (%s)", e.Message, e.Key)
	}
	return "notRun: " + e.Message
}

// ReportedError gives an exit code after the command has printed what there is to say.
type ReportedError struct {
	Code ExitCode
}

func (e *ReportedError) Error() string { return "" }

// failureError holds an error of a command's own work.
type failureError struct {
	err error
}

func (e *failureError) Error() string { return e.err.Error() }

func (e *failureError) Unwrap() error { return e.err }

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
