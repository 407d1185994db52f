// Package prover proves what must always hold on real processes: each proof starts a fleet on loopback, injects
// its faults, and counts at the endpoints' own ledgers.
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

// Config says where the programs are, where logs and reports go, and which proofs run.
type Config struct {
	Bin, Dir string
	Out      io.Writer
	// Only is the name of one proof; all run when it is empty.
	Only string
}

// Proof is one property under one kind of failure.
type Proof struct {
	Name   string
	Faults string
	// Entries is how many entries the fleet has.
	Entries int
	// ConfigureFleet changes the fleet's configuration before it starts.
	ConfigureFleet func(*bench, *starter.Config)
	Run            func(context.Context, *bench) error
}

// Result is what one proof showed.
type Result struct {
	Proof   Proof
	Counts  Counts
	Seconds float64
	Note    string
	Err     error
}

// Passed tells whether the proof holds.
func (r Result) Passed() bool {
	return r.Err == nil && r.Counts.Lost+r.Counts.Doubled+r.Counts.Untrue == 0
}

// FailedError tells that some proofs do not hold.
type FailedError struct{ Failed int }

func (e *FailedError) Error() string { return fmt.Sprintf("%d proofs failed", e.Failed) }

// UnknownProofError tells that no proof has a name.
type UnknownProofError struct{ Name string }

func (e *UnknownProofError) Error() string { return fmt.Sprintf("there is no proof %q", e.Name) }

// Proofs are all proofs, in the order in which they run.
func Proofs() []Proof {
	var all []Proof
	all = append(all, entryProofs()...)
	all = append(all, logProofs()...)
	all = append(all, endpointProofs()...)
	return append(all, configProofs()...)
}

// Run runs the proofs one after another and prints their table.
func Run(ctx context.Context, cfg Config) error {
	var results []Result
	for _, proof := range Proofs() {
		if cfg.Only != "" && cfg.Only != proof.Name {
			continue
		}
		result := runProof(ctx, cfg, proof)
		results = append(results, result)
		say(cfg.Out, "%s", progress(result))
	}
	if len(results) == 0 {
		return &UnknownProofError{Name: cfg.Only}
	}
	return report(cfg.Out, results)
}

func say(w io.Writer, format string, args ...any) {
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

// report prints the table and the closing line.
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
	say(w, "proofs=%d passed=%d failed=%d lost=%d doubled=%d untrue=%d", len(results), len(results)-failed, failed, total.Lost, total.Doubled, total.Untrue)
	if failed > 0 {
		return &FailedError{Failed: failed}
	}
	return nil
}
