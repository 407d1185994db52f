package prover

import (
	"context"
	"time"

	"geraniumline/faker"
)

const (
	outageTime = 4 * time.Second
	// outageNotice is how long an entry may take to notice that the log is silent.
	outageNotice = 3500 * time.Millisecond
	// atOnce bounds an answer that waits for nothing.
	atOnce = 500 * time.Millisecond
	// harm is the attainment, in points, that repeatable traffic may lose to an outage.
	harm = 1.0
)

func logProofs() []Proof {
	return []Proof{
		{Name: "logOutageFail", Faults: "log refuses everything for 4 s", Entries: 3, Run: proveOutage(faker.OutageFail)},
		{Name: "logOutageHang", Faults: "log is silent for 8 s", Entries: 3, Run: proveOutage(faker.OutageHang)},
		{Name: "logSlow", Faults: "5 s an append", Entries: 3, Run: proveSlowLog},
		{Name: "appendReplyLost", Faults: "half of the append replies lost", Entries: 3, Run: proveAppendReplyLost},
		{Name: "retentionPassed", Faults: "log trimmed to the last change, all entries replaced", Entries: 5, Run: proveRetention},
		{Name: "replacedInOutage", Faults: "log outage, all entries replaced", Entries: 5, Run: proveReplaced},
	}
}

// The log is down. Requests that may be repeated go on as before; others are refused at once with notRun and
// when to return, and nothing of them ever runs.
func proveOutage(kind faker.Outage) func(context.Context, *bench) error {
	return func(ctx context.Context, b *bench) error {
		stopTickets, stopSummaries := b.traffic(ctx, ticket(), load), b.traffic(ctx, summary(), load)
		start := time.Now()
		time.Sleep(2 * time.Second)
		down := time.Now()
		err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{Outage: kind})
		length := outageTime
		if kind == faker.OutageHang {
			length *= 2
		}
		time.Sleep(length)
		up := time.Now()
		err = firstOf(err, b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{}))
		time.Sleep(2 * time.Second)
		stopTickets()
		stopSummaries()
		before, during := attainment(b.between(summary(), start, down)), attainment(b.between(summary(), down, up))
		noticed := down.Add(outageNotice)
		var waits []time.Duration
		for _, s := range b.between(ticket(), noticed, up) {
			waits = append(waits, s.took)
		}
		p50, p99, worst := quantiles(waits)
		b.say("repeatable %.1f%% before, %.1f%% during; non-repeatable %.1f%% during, told in p50 %d ms, p99 %d ms, worst %d ms once noticed",
			before, during, attainment(b.between(ticket(), down, up)), p50.Milliseconds(), p99.Milliseconds(), worst.Milliseconds())
		if during < before-harm {
			err = firstOf(err, violated("repeatable traffic was harmed: %.1f%% before, %.1f%% during", before, during))
		}
		if p99 > atOnce {
			err = firstOf(err, violated("a refusal took %v", p99))
		}
		for _, s := range b.between(ticket(), noticed, up) {
			if failed := s.failure(); failed != nil && failed.Outcome == outcomeNotRun && failed.RetryAfter <= 0 {
				return firstOf(err, violated("refused as %s without when to return", failed.Code))
			}
		}
		return err
	}
}

// Each append takes 5 s. A request that must be claimed is given up before its claim lands, which is then never
// run; once that is noticed, others are refused at once. Requests that may be repeated notice nothing, and when the
// log is quick again a key that was refused can be run.
func proveSlowLog(ctx context.Context, b *bench) error {
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{SlowAppendMillis: 5000}); err != nil {
		return err
	}
	from := time.Now()
	stopTickets, stopSummaries := b.traffic(ctx, ticket(), load/4), b.traffic(ctx, summary(), load)
	time.Sleep(8 * time.Second)
	stopTickets()
	stopSummaries()
	refused := b.between(ticket(), from, time.Now())
	var all, later []time.Duration
	for _, s := range refused {
		all = append(all, s.took)
		if s.at.After(from.Add(outageNotice)) {
			later = append(later, s.took)
		}
	}
	_, _, worst := quantiles(all)
	_, p99, _ := quantiles(later)
	b.say("repeatable %.1f%%, non-repeatable told in worst %d ms, p99 %d ms once noticed", attainment(b.between(summary(), from, time.Now())), worst.Milliseconds(), p99.Milliseconds())
	time.Sleep(5 * time.Second) // Late claims land.
	if ran := b.count(ctx).Untrue; ran > 0 {
		return violated("%d requests told notRun ran when their claims landed", ran)
	}
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{}); err != nil {
		return err
	}
	again := refused[0]
	_, err := await("a refused key runs", inForceBound, func() bool {
		again.answer, again.err = b.sendOnce(ctx, again, b.entry(1).CallerAddress, defaultDeadline, defaultDeadline)
		return again.err == nil
	})
	return err
}

// Half of the appends take effect and lose their reply. Entries read their claims back from the log, so every
// request is answered and none runs twice.
func proveAppendReplyLost(ctx context.Context, b *bench) error {
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{LoseReplyRate: 0.5}); err != nil {
		return err
	}
	from := time.Now()
	stop := b.traffic(ctx, ticket(), load)
	time.Sleep(5 * time.Second)
	stop()
	if answered := attainment(b.between(ticket(), from, time.Now())); answered < leastAnswered {
		return violated("only %.1f%% were answered in time", answered)
	}
	return b.noteAttainment(from)
}

// The log drops all configuration but the last change, before any snapshot, and every entry is replaced, one after
// another. What a new entry reads alone makes no configuration: it takes the whole from its peers. It can be changed.
func proveRetention(ctx context.Context, b *bench) error {
	base, err := b.contractVersion(ctx, 0)
	if err != nil {
		return err
	}
	last, err := b.acceptChange(ctx, "before-trim", base)
	if err != nil {
		return err
	}
	if err := b.fleet.LogDriver().Trim(ctx, faker.TrimCall{Stream: "config", Before: last}); err != nil {
		return err
	}
	if err := b.underLoad(ctx, func() error { return b.replaceEach(ctx, last) }); err != nil {
		return err
	}
	version, err := b.acceptChange(ctx, "after-trim", last)
	if err != nil {
		return err
	}
	return b.awaitContract(ctx, version)
}

// acceptChange changes the contract at the first entry and gives its new version.
func (b *bench) acceptChange(ctx context.Context, operation string, base int64) (int64, error) {
	verdict, err := b.changeContract(ctx, 0, operation, base, 2)
	if err != nil {
		return 0, err
	}
	if verdict.Verdict != accepted {
		return 0, violated("%s is %s: %s", operation, verdict.Verdict, verdict.Message.Value)
	}
	return verdict.Version, nil
}

// replaceEach kills and starts each entry, and checks that the contract's version did not go back.
func (b *bench) replaceEach(ctx context.Context, version int64) error {
	for i, entry := range b.fleet.Entries() {
		if err := entry.Kill(); err != nil {
			return err
		}
		if err := b.restart(ctx, i); err != nil {
			return err
		}
		if now, err := b.contractVersion(ctx, i); err != nil || now < version {
			return firstOf(err, violated("%s went back to version %d from %d", entry.Name(), now, version))
		}
	}
	return nil
}

// The log is down and every entry is replaced, one after another: each new one gets the configuration from its
// peers. When all are killed at once nobody knows it any more, and a new entry is not ready and says so.
func proveReplaced(ctx context.Context, b *bench) error {
	version, err := b.contractVersion(ctx, 0)
	if err != nil {
		return err
	}
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{Outage: faker.OutageFail}); err != nil {
		return err
	}
	if err := b.underLoad(ctx, func() error { return b.replaceEach(ctx, version) }); err != nil {
		return err
	}
	for _, entry := range b.fleet.Entries() {
		if err := entry.Kill(); err != nil {
			return err
		}
	}
	if err := b.fleet.StartEntry(b.entry(0)); err != nil {
		return err
	}
	if _, err := await("the last entry answers", readyTimeout, func() bool { return b.status(ctx, 0) != nil }); err != nil {
		return err
	}
	if status := b.status(ctx, 0); status == nil || status.Ready || len(status.Alarms) == 0 {
		return violated("an entry without configuration does not say so")
	}
	b.say("with nobody left: not ready, and says so")
	return nil
}
