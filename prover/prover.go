// Package prover checks on real processes the properties that must always hold. Each proof starts a fleet on loopback,
// injects its faults, and compares the outcomes that callers received with the endpoints' own ledgers.
package prover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"geraniumline/starter"
)

// Config holds the directory of the programs (Bin), the one for logs (Dir), the output for the report and the selection of
// proofs.
type Config struct {
	Bin, Dir string
	Out      io.Writer
	// Only is the name of the proof to run. If it is empty, all proofs run.
	Only string
}

// Proof checks the properties under one kind of failure.
type Proof struct {
	Name   string
	Faults string
	// Entries is the number of entries in the fleet.
	Entries int
	// ConfigureFleet changes the fleet's configuration before the fleet starts. It may be nil.
	ConfigureFleet func(*bench, *starter.Config)
	Run            func(context.Context, *bench) error
}

// Result is the result of one proof.
type Result struct {
	Proof   Proof
	Counts  Counts
	Seconds float64
	Note    string
	Err     error
}

// Passed reports whether the proof ended without an error and without lost, doubled or untrue requests.
func (r Result) Passed() bool {
	return r.Err == nil && r.Counts.Lost+r.Counts.Doubled+r.Counts.Untrue == 0
}

// FailedError reports how many proofs failed.
type FailedError struct{ Failed int }

func (e *FailedError) Error() string { return fmt.Sprintf("%d proofs failed", e.Failed) }

// UnknownProofError reports that no proof has the requested name.
type UnknownProofError struct{ Name string }

func (e *UnknownProofError) Error() string { return fmt.Sprintf("there is no proof %q", e.Name) }

// Proofs returns all proofs in the order in which they run.
func Proofs() []Proof {
	var all []Proof
	all = append(all, entryProofs()...)
	all = append(all, logProofs()...)
	all = append(all, endpointProofs()...)
	return append(all, configProofs()...)
}

// Run runs the selected proofs one after another, prints their progress and a table of the results, and returns a
// FailedError if any of them failed.
func Run(ctx context.Context, cfg Config) error {
	var results []Result
	for _, proof := range Proofs() {
		if cfg.Only != "" && cfg.Only != proof.Name {
			continue
		}
		result := runProof(ctx, cfg, proof)
		results = append(results, result)
		printLine(cfg.Out, "%s", progress(result))
	}
	if len(results) == 0 {
		return &UnknownProofError{Name: cfg.Only}
	}
	return report(cfg.Out, results)
}

func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, "faults: "+format+"\n", args...)
}

func progress(result Result) string {
	if result.Passed() {
		return result.Proof.Name + ": holds. " + result.Note
	}
	return fmt.Sprintf("%s: FAILED: %v %+v %s", result.Proof.Name, result.Err, result.Counts, result.Note)
}

func runProof(ctx context.Context, cfg Config, proof Proof) Result {
	result := Result{Proof: proof}
	start := time.Now()
	dir := filepath.Join(cfg.Dir, proof.Name)
	if result.Err = os.MkdirAll(dir, 0o700); result.Err != nil {
		return result
	}
	b, err := newBench(ctx, cfg, proof, dir)
	if err == nil {
		err = proof.Run(ctx, b)
		result.Counts, result.Note = b.count(ctx), b.note
		err = errors.Join(err, b.close())
	}
	result.Err = err
	result.Seconds = time.Since(start).Seconds()
	return result
}

// report prints the table of results and the summary line.
func report(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "proof\tfaults injected\trequests\tanswered\tnotRun\tunknown\tlost\tdoubled\tuntrue\tseconds\t")
	total := Counts{}
	failed := 0
	for _, result := range results {
		c := result.Counts
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t\n", result.Proof.Name, result.Proof.Faults,
			c.Requests, c.Answered, c.NotRun, c.Unknown, c.Lost, c.Doubled, c.Untrue, result.Seconds)
		total.Lost += c.Lost
		total.Doubled += c.Doubled
		total.Untrue += c.Untrue
		if !result.Passed() {
			failed++
		}
	}
	_ = table.Flush()
	printLine(w, "proofs=%d passed=%d failed=%d lost=%d doubled=%d untrue=%d", len(results), len(results)-failed, failed, total.Lost, total.Doubled, total.Untrue)
	if failed > 0 {
		return &FailedError{Failed: failed}
	}
	return nil
}
