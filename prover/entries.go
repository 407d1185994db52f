package prover

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"sync"
	"time"

	"geraniumline/faker"
	"geraniumline/relayer"
)

const (
	// requestRate is the rate of requests, per second, of each pipeline.
	requestRate = 80
	// stopTimeout bounds one planned stop, in which address responses expire, requests end and results are handed over.
	stopTimeout = 20 * time.Second
	// handOutBound bounds the time for which an entry that can't serve may still be listed to callers.
	handOutBound = 5 * time.Second
)

func entryProofs() []Proof {
	return []Proof{
		{Name: "entryKilled", Faults: "kill -9 of 3 of 5 entries", Entries: 5, Run: proveEntryKilled},
		{Name: "entryFrozen", Faults: "SIGSTOP of 2 of 5 entries, 2.5 s each", Entries: 5, Run: proveEntryFrozen},
		{Name: "connectionCut", Faults: "callers cut after the request was sent, twins", Entries: 3, Run: proveConnectionCut},
		{Name: "plannedStop", Faults: "7 entries stopped one after another", Entries: 7, Run: provePlannedStop},
		{Name: "deathFound", Faults: "2 kills, 2 freezes, 1 one-way cut", Entries: 7, ConfigureFleet: peerRelay(cutEntry), Run: proveDeathFound},
	}
}

// proveEntryKilled kills entries under load while non-repeatable requests are at every step. Callers lose their connections
// and send the same key to another entry, which learns only from the log what may have run. The non-repeatable stage is slow
// so that each kill interrupts some of its executions.
func proveEntryKilled(ctx context.Context, b *bench) error {
	if err := b.setPoolFaults(ctx, "tickets", faker.Faults{SlowFactor: stageSlowdown}); err != nil {
		return err
	}
	return b.underLoad(ctx, func() error { return b.killEntries(ctx) })
}

// stageSlowdown is the slowdown factor with which the non-repeatable stage takes some 240 ms.
const stageSlowdown = 30

// underLoad calls run under load from both pipelines. The repeatable requests must still be answered in time.
func (b *bench) underLoad(ctx context.Context, run func() error) error {
	from := time.Now()
	stopTickets, stopSummaries := b.traffic(ctx, ticket(), requestRate), b.traffic(ctx, summary(), requestRate)
	err := run()
	stopTickets()
	stopSummaries()
	return firstError(err, b.checkAttainment(from))
}

func (b *bench) killEntries(ctx context.Context) error {
	for i := range 3 {
		time.Sleep(time.Second)
		if err := b.entry(i).Kill(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		if err := b.restart(ctx, i); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// minAttainment is the share of repeatable requests, in percent, that must be answered in time whatever the fault is,
// because they can always run elsewhere. The margin below 100 allows for a busy machine.
const minAttainment = 95.0

// checkAttainment adds the share of requests of each pipeline that were answered in time to the note. It returns an error if
// too few repeatable requests were.
func (b *bench) checkAttainment(from time.Time) error {
	now := time.Now()
	requests := b.between(summary(), from, now)
	repeatable := attainment(requests)
	b.addNote("attainment: repeatable %.1f%%, non-repeatable %.1f%%", repeatable, attainment(b.between(ticket(), from, now)))
	if repeatable < minAttainment {
		return violated("only %.1f%% of the repeatable requests were answered in time: %v", repeatable, misses(requests))
	}
	return nil
}

// proveEntryFrozen suspends an entry that has claims in the log, while callers send its keys to other entries. It resumes
// after they were answered and continues with what it had begun: its claim is the only valid one of the key.
func proveEntryFrozen(ctx context.Context, b *bench) error {
	return b.underLoad(ctx, b.freezeEntries)
}

func (b *bench) freezeEntries() error {
	for i := range 2 {
		time.Sleep(time.Second)
		if err := b.entry(i).Suspend(); err != nil {
			return err
		}
		time.Sleep(2500 * time.Millisecond)
		if err := b.entry(i).Resume(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// proveConnectionCut cuts a caller's connection some milliseconds after its request was sent. The caller sends the key again
// to another entry, at any moment of the first attempt, or to both at the same moment. The stage must run once, and the last
// attempt must return its outcome.
func proveConnectionCut(ctx context.Context, b *bench) error {
	const cuts, twins = 120, 60
	for i := range cuts {
		s, err := b.request(ticket())
		if err != nil {
			return err
		}
		_, s.err = b.sendOnce(ctx, s, b.entry(i%3).CallerAddress, defaultDeadline, time.Duration(i+1)*time.Millisecond)
		if s.failure() == nil {
			s.answer, s.err = b.sendOnce(ctx, s, b.entry((i+1)%3).CallerAddress, defaultDeadline, defaultDeadline)
		}
	}
	for i := range twins {
		s, err := b.request(ticket())
		if err != nil {
			return err
		}
		var twin sync.WaitGroup
		twin.Go(func() { _, _ = b.sendOnce(ctx, s, b.entry(i%3).CallerAddress, defaultDeadline, defaultDeadline) })
		s.answer, s.err = b.sendOnce(ctx, s, b.entry((i+1)%3).CallerAddress, defaultDeadline, defaultDeadline)
		twin.Wait()
	}
	b.addNote("cut after 1 to %d ms; %d sent to two entries at once", cuts, twins)
	return nil
}

// provePlannedStop stops and restarts all entries as planned, one after another, under load. Callers with an outdated address
// response must be served, no request may be cut, and each process must end with exit code 0.
func provePlannedStop(ctx context.Context, b *bench) error {
	from := time.Now()
	err := b.underLoad(ctx, func() error { return b.stopEntries(ctx) })
	refused := 0
	for _, s := range append(b.between(ticket(), from, time.Now()), b.between(summary(), from, time.Now())...) {
		if s.err != nil {
			refused++
			err = firstError(err, violated("a request ended without an answer during planned stops: %v", s.err))
		}
	}
	b.addNote("refused for a stop: %d", refused)
	return err
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (b *bench) stopEntries(ctx context.Context) error {
	var durations []time.Duration
	for i, entry := range b.fleet.Entries() {
		start := time.Now()
		if err := entry.Terminate(); err != nil {
			return err
		}
		code, ended := entry.Wait(stopTimeout)
		if !ended || code != 0 {
			return violated("%s: exit code %d, ended %v", entry.Name(), code, ended)
		}
		durations = append(durations, time.Since(start))
		if err := b.restart(ctx, i); err != nil {
			return err
		}
	}
	p50, _, worst := quantiles(durations)
	b.addNote("stop takes p50 %d ms, worst %d ms", p50.Milliseconds(), worst.Milliseconds())
	return nil
}

// proveDeathFound kills or suspends entries, or cuts one so that it can send to its peers but receives nothing. The others
// must stop listing such an entry to callers in time, and must not consider a healthy entry dead during the whole run.
func proveDeathFound(ctx context.Context, b *bench) error {
	stop := b.traffic(ctx, summary(), requestRate)
	defer stop()
	faulty := map[string]bool{}
	var detectionTimes []time.Duration
	for _, fault := range b.entryFaults() {
		entry := b.entry(fault.entry)
		faulty[entry.Name()] = true
		if err := fault.begin(); err != nil {
			return err
		}
		took, err := await(entry.Name()+" is no longer handed out", handOutBound, func() bool { return !b.isHandedOut(ctx, fault.entry) })
		if err != nil {
			return err
		}
		detectionTimes = append(detectionTimes, took)
		time.Sleep(time.Second)
		if err := fault.end(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	oneWay := detectionTimes[len(detectionTimes)-1]
	p50, _, worst := quantiles(detectionTimes)
	deaths, err := b.falseDeaths(faulty)
	b.addNote("no longer handed out: p50 %d ms, worst %d ms, one-way cut %d ms; false deaths %d", p50.Milliseconds(), worst.Milliseconds(), oneWay.Milliseconds(), deaths)
	if err == nil && deaths > 0 {
		err = violated("%d entries that were well were taken for dead", deaths)
	}
	return err
}

// entryFault is a fault that keeps an entry from serving, with the functions that begin and end it.
type entryFault struct {
	entry      int
	begin, end func() error
}

func (b *bench) entryFaults() []entryFault {
	noop := func() error { return nil }
	cut := func(mode relayer.Mode) func() error {
		return func() error {
			b.relays[cutEntry].Set(mode)
			return nil
		}
	}
	return []entryFault{
		{entry: 0, begin: b.entry(0).Kill, end: noop},
		{entry: 1, begin: b.entry(1).Kill, end: noop},
		{entry: 2, begin: b.entry(2).Suspend, end: b.entry(2).Resume},
		{entry: 3, begin: b.entry(3).Suspend, end: b.entry(3).Resume},
		{entry: 6, begin: cut(relayer.Stalled), end: cut(relayer.Open)},
	}
}

// isHandedOut reports whether any other entry lists the entry as live.
func (b *bench) isHandedOut(ctx context.Context, i int) bool {
	name := b.entry(i).Name()
	for j := range b.fleet.Entries() {
		if j == i {
			continue
		}
		status := b.status(ctx, j)
		if status == nil {
			continue
		}
		for _, entry := range status.Entries {
			if entry.Name == name && entry.State == "live" {
				return true
			}
		}
	}
	return false
}

// falseDeaths counts the log lines in which an entry declares a healthy entry dead. The lines of an entry that was suspended
// count as well. faulty holds the names of the entries that had a fault.
func (b *bench) falseDeaths(faulty map[string]bool) (int, error) {
	type line struct {
		Subject string `json:"subject"`
		To      string `json:"to"`
	}
	n := 0
	for i := range b.fleet.Entries() {
		file, err := os.Open(b.logFile(i))
		if err != nil {
			return 0, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var l line
			if json.Unmarshal(lines.Bytes(), &l) == nil && l.To == "dead" && !faulty[l.Subject] {
				n++
			}
		}
		if err := file.Close(); err != nil {
			return 0, err
		}
	}
	return n, nil
}
