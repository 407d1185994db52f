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

// Config says what one seed is played with.
type Config struct {
	Seed uint64
	// Bin is the folder with the program, Dir one for the plan, settings and logs.
	Bin, Dir string
	Entries  int
	// Length is until when faults begin.
	Length time.Duration
	// ConfigTime is within which a configuration must be in force that is written a second after the last fault.
	ConfigTime time.Duration
	// SettleTime is how long after the last fault everything must be in order again.
	SettleTime time.Duration
}

// Result is what the play of one seed has shown.
type Result struct {
	Seed       uint64
	Faults     int
	Requests   int
	Answered   int
	Violations []Violation
}

// StartError tells that the entries were not ready in time.
type StartError struct{ Entry string }

func (e *StartError) Error() string { return e.Entry + " was not ready in time" }

// Run plays the plan of one seed.
func Run(ctx context.Context, cfg Config) (Result, error) {
	f, err := newFleet(&cfg)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	plan := NewPlan(PlanConfig{Seed: cfg.Seed, Entries: cfg.Entries, Endpoints: len(f.site.Endpoints), Length: cfg.Length})
	if err := write(plan, cfg.Dir); err != nil {
		return Result{}, err
	}
	for i, e := range f.site.Endpoints {
		if i%2 == 1 {
			f.site.Move(e.ID, serviceOf(e), evacuatedZone)
		}
	}
	w := &world{cfg: cfg, fleet: f, traffic: &traffic{fleet: f}, disturbed: make(map[int][]Span)}
	w.configure()
	if err := w.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	w.traffic.began = time.Now()
	w.play(ctx, plan)
	record := w.traffic.record(w.newest)
	record.ProcessErrors, record.Evacuations, record.Disturbed = w.overdue, w.evacuations, w.disturbed
	record.Endpoints = endpointRecords(f.site, w.traffic.began)
	r := Result{Seed: cfg.Seed, Faults: len(plan.Steps) + 1, Requests: len(record.Attempts), Violations: Check(record)}
	for i := range record.Attempts {
		if record.Attempts[i].Status == http.StatusOK {
			r.Answered++
		}
	}
	return r, ctx.Err()
}

// write keeps the plan beside the logs.
func write(plan Plan, dir string) error {
	var text strings.Builder
	for _, step := range plan.Steps {
		fmt.Fprintln(&text, step)
	}
	fmt.Fprintln(&text, "then, alone and after a change of the configuration:")
	fmt.Fprintln(&text, plan.Last)
	return os.WriteFile(filepath.Join(dir, "plan.txt"), []byte(text.String()), 0o600)
}
