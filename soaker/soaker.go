package soaker

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Config holds the settings for the run of one seed.
type Config struct {
	Seed uint64
	// Bin is the directory of the program, Dir the one for the plan, settings and logs.
	Bin, Dir string
	Entries  int
	// Length is the period, from the start of the plan, in which faults begin.
	Length time.Duration
	// ConfigTime is the time within which a configuration that is written a second after the last fault must be in force.
	ConfigTime time.Duration
	// SettleTime is the time after the last fault within which everything must have recovered.
	SettleTime time.Duration
	// Versions gives half of the model endpoints a second version of their software. Callers then resume broken streams.
	Versions bool
}

// Result summarizes the run of one seed.
type Result struct {
	Seed       uint64
	Faults     int
	Requests   int
	Answered   int
	Violations []Violation
}

// StartError reports that an entry was not ready in time.
type StartError struct{ Entry string }

func (e *StartError) Error() string { return e.Entry + " was not ready in time" }

// Run draws and runs the plan of one seed on a new fleet. It returns a StartError if an entry does not become ready in time;
// broken promises are not errors but part of the result.
func Run(ctx context.Context, cfg Config) (Result, error) {
	f, err := newFleet(&cfg)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	plan := NewPlan(PlanConfig{Seed: cfg.Seed, Entries: cfg.Entries, Endpoints: len(f.site.Endpoints), Length: cfg.Length, Versions: cfg.Versions})
	if err := writePlan(plan, cfg.Dir); err != nil {
		return Result{}, err
	}
	for i, e := range f.site.Endpoints {
		if i%2 == 1 {
			f.site.Move(e.ID, serviceOf(e), evacuatedZone)
		}
	}
	runner := &planRunner{cfg: cfg, fleet: f, traffic: &traffic{fleet: f, resumes: cfg.Versions}, disturbed: make(map[int][]Span)}
	runner.writeConfiguration()
	if err := runner.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	runner.traffic.startedAt = time.Now()
	runner.run(ctx, plan)
	record := runner.traffic.record(runner.newestVersion)
	record.ProcessErrors, record.Evacuations, record.Disturbed = runner.processErrors, runner.evacuations, runner.disturbed
	record.Endpoints = endpointRecords(f.site, runner.traffic.startedAt)
	r := Result{Seed: cfg.Seed, Faults: len(plan.Steps) + 1, Requests: len(record.Attempts), Violations: Check(record)}
	for i := range record.Attempts {
		if record.Attempts[i].Status == http.StatusOK {
			r.Answered++
		}
	}
	return r, ctx.Err()
}

// writePlan writes the plan to the directory of the logs.
func writePlan(plan Plan, dir string) error {
	var text strings.Builder
	for _, step := range plan.Steps {
		fmt.Fprintln(&text, step)
	}
	fmt.Fprintln(&text, "then, alone and after a change of the configuration:")
	fmt.Fprintln(&text, plan.Last)
	return os.WriteFile(filepath.Join(dir, "plan.txt"), []byte(text.String()), 0o600)
}
