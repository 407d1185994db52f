package prover

import (
	"context"
	"time"

	"geraniumline/faker"
)

const (
	outageTime = 4 * time.Second
	// outageNotice bounds the time in which an entry must detect that the log does not respond.
	outageNotice = 3500 * time.Millisecond
	// immediateBound bounds the time of a response that waits for nothing.
	immediateBound = 500 * time.Millisecond
	// maxAttainmentLoss is the attainment, in percentage points, that repeatable traffic may lose during an outage.
	maxAttainmentLoss = 1.0
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

// proveOutage takes the log down. Repeatable requests must be answered as before. Others must be refused immediately with
// notRun and a retry delay, and no part of them may ever run.
func proveOutage(kind faker.Outage) func(context.Context, *bench) error {
	return func(ctx context.Context, b *bench) error {
		stopTickets, stopSummaries := b.traffic(ctx, ticket(), requestRate), b.traffic(ctx, summary(), requestRate)
		start := time.Now()
		time.Sleep(2 * time.Second)
		down := time.Now()
		err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{Outage: kind})
		length := outageTime
		if kind == faker.OutageHang {
			length *= 2
		}
		time.Sleep(length)
		restored := time.Now()
		err = firstError(err, b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{}))
		time.Sleep(2 * time.Second)
		stopTickets()
		stopSummaries()
		before, during := attainment(b.between(summary(), start, down)), attainment(b.between(summary(), down, restored))
		detectedBy := down.Add(outageNotice)
		var waits []time.Duration
		for _, s := range b.between(ticket(), detectedBy, restored) {
			waits = append(waits, s.took)
		}
		p50, p99, worst := quantiles(waits)
		b.addNote("repeatable %.1f%% before, %.1f%% during; non-repeatable %.1f%% during, told in p50 %d ms, p99 %d ms, worst %d ms once noticed",
			before, during, attainment(b.between(ticket(), down, restored)), p50.Milliseconds(), p99.Milliseconds(), worst.Milliseconds())
		if during < before-maxAttainmentLoss {
			err = firstError(err, violated("repeatable traffic was harmed: %.1f%% before, %.1f%% during", before, during))
		}
		if p99 > immediateBound {
			err = firstError(err, violated("a refusal took %v", p99))
		}
		for _, s := range b.between(ticket(), detectedBy, restored) {
			if failed := s.failure(); failed != nil && failed.Outcome == outcomeNotRun && failed.RetryAfter <= 0 {
				return firstError(err, violated("refused as %s without when to return", failed.Code))
			}
		}
		return err
	}
}

// proveSlowLog makes each append take 5 s. A request that must be claimed is abandoned before its claim is appended, and must
// then never run. Once entries detect the slow log, they refuse further such requests immediately. Repeatable requests are
// not affected, and once the log is fast again, a refused key can run.
func proveSlowLog(ctx context.Context, b *bench) error {
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{SlowAppendMillis: 5000}); err != nil {
		return err
	}
	from := time.Now()
	stopTickets, stopSummaries := b.traffic(ctx, ticket(), requestRate/4), b.traffic(ctx, summary(), requestRate)
	time.Sleep(8 * time.Second)
	stopTickets()
	stopSummaries()
	refused := b.between(ticket(), from, time.Now())
	var durations, detectedDurations []time.Duration
	for _, s := range refused {
		durations = append(durations, s.took)
		if s.at.After(from.Add(outageNotice)) {
			detectedDurations = append(detectedDurations, s.took)
		}
	}
	_, _, worst := quantiles(durations)
	_, p99, _ := quantiles(detectedDurations)
	b.addNote("repeatable %.1f%%, non-repeatable told in worst %d ms, p99 %d ms once noticed", attainment(b.between(summary(), from, time.Now())), worst.Milliseconds(), p99.Milliseconds())
	time.Sleep(5 * time.Second) // Wait for the late claims to be appended.
	if ran := b.count(ctx).Untrue; ran > 0 {
		return violated("%d requests told notRun ran when their claims landed", ran)
	}
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{}); err != nil {
		return err
	}
	retried := refused[0]
	_, err := await("a refused key runs", inForceBound, func() bool {
		retried.answer, retried.err = b.sendOnce(ctx, retried, b.entry(1).CallerAddress, defaultDeadline, defaultDeadline)
		return retried.err == nil
	})
	return err
}

// proveAppendReplyLost loses the replies of half of the appends, which take effect. Entries read their claims back from the
// log, so that every request is answered and none runs twice.
func proveAppendReplyLost(ctx context.Context, b *bench) error {
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{LoseReplyRate: 0.5}); err != nil {
		return err
	}
	from := time.Now()
	stop := b.traffic(ctx, ticket(), requestRate)
	time.Sleep(5 * time.Second)
	stop()
	if answered := attainment(b.between(ticket(), from, time.Now())); answered < minAttainment {
		return violated("only %.1f%% were answered in time", answered)
	}
	return b.checkAttainment(from)
}

// proveRetention makes the log drop all configuration records but the last change, before any snapshot, and replaces every
// entry, one after another. The records that a new entry can read do not form a complete configuration, so it must load the
// configuration from its peers. Afterwards, the configuration can still be changed.
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
	if err := b.underLoad(ctx, func() error { return b.replaceEntries(ctx, last) }); err != nil {
		return err
	}
	version, err := b.acceptChange(ctx, "after-trim", last)
	if err != nil {
		return err
	}
	return b.awaitContract(ctx, version)
}

// acceptChange changes the contract at the first entry and returns its new version. A change that is not accepted is an error.
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

// replaceEntries kills and restarts each entry and checks that the contract's version did not go back.
func (b *bench) replaceEntries(ctx context.Context, version int64) error {
	for i, entry := range b.fleet.Entries() {
		if err := entry.Kill(); err != nil {
			return err
		}
		if err := b.restart(ctx, i); err != nil {
			return err
		}
		if current, err := b.contractVersion(ctx, i); err != nil || current < version {
			return firstError(err, violated("%s went back to version %d from %d", entry.Name(), current, version))
		}
	}
	return nil
}

// proveReplaced replaces every entry, one after another, while the log is down. Each new entry must load the configuration
// from its peers. After all entries have been killed at once, no process has the configuration any more, and a new entry
// must not be ready and must raise an alarm.
func proveReplaced(ctx context.Context, b *bench) error {
	version, err := b.contractVersion(ctx, 0)
	if err != nil {
		return err
	}
	if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{Outage: faker.OutageFail}); err != nil {
		return err
	}
	if err := b.underLoad(ctx, func() error { return b.replaceEntries(ctx, version) }); err != nil {
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
	b.addNote("with nobody left: not ready, and says so")
	return nil
}
