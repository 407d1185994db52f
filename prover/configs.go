package prover

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"geraniumline/faker"
	"geraniumline/operatorserver"
	"geraniumline/relayer"
)

const (
	accepted = operatorserver.ConfigVerdictVerdictAccepted
	conflict = operatorserver.ConfigVerdictVerdictConflict
	pending  = operatorserver.ConfigVerdictVerdictPending
	// inForceBound bounds the time until an accepted change is in force at every live entry.
	inForceBound = 5 * time.Second
	changeRounds = 30
	// cutEntry is the entry, of seven, that relays cut off.
	cutEntry = "entry-7"
)

func configProofs() []Proof {
	return []Proof{
		{Name: "operatorsRace", Faults: "two operators, same version, two entries", Entries: 3, Run: proveOperatorsRace},
		{Name: "operationFound", Faults: "reply of the change's append lost", Entries: 3, Run: proveOperationFound},
		{Name: "inForce", Faults: "none, then one entry cut from the log", Entries: 7, ConfigureFleet: logRelay(cutEntry), Run: proveInForce},
	}
}

func (b *bench) contractVersion(ctx context.Context, i int) (int64, error) {
	client, err := b.operator(i)
	if err != nil {
		return 0, err
	}
	view, err := client.GetConfig(ctx, operatorserver.GetConfigParams{
		Kind: operatorserver.NewOptString("contract"), Name: operatorserver.NewOptString(b.account.Name),
	})
	if err != nil || len(view.Objects) == 0 {
		return 0, err
	}
	return view.Objects[0].Version, nil
}

func (b *bench) changeContract(ctx context.Context, i int, operation string, base int64, weight float64) (*operatorserver.ConfigVerdict, error) {
	account := b.account
	account.Weight = weight
	body, err := json.Marshal(account.Contract())
	if err != nil {
		return nil, err
	}
	client, err := b.operator(i)
	if err != nil {
		return nil, err
	}
	return client.PublishConfig(ctx, &operatorserver.ConfigChange{
		OperationId: operation, Kind: "contract", Name: account.Name, BaseVersion: base, Body: body,
	})
}

// awaitContract waits until the given version of the contract or a later one is in force at every entry.
func (b *bench) awaitContract(ctx context.Context, version int64) error {
	for i, entry := range b.fleet.Entries() {
		_, err := await(entry.Name()+" has the change in force", inForceBound, func() bool {
			current, err := b.contractVersion(ctx, i)
			return err == nil && current >= version
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// proveOperatorsRace changes one contract from the same version at two entries at the same moment, as two operators. Each
// time, one change must be accepted and the other rejected as a conflict.
func proveOperatorsRace(ctx context.Context, b *bench) error {
	for round := range changeRounds {
		base, err := b.contractVersion(ctx, 0)
		if err != nil {
			return err
		}
		var verdicts [2]*operatorserver.ConfigVerdict
		var group errgroup.Group
		for i := range verdicts {
			group.Go(func() (err error) {
				verdicts[i], err = b.changeContract(ctx, i, fmt.Sprintf("race-%d-%d", round, i), base, float64(i+1))
				return err
			})
		}
		if err := group.Wait(); err != nil {
			// The later change may be refused before its append because its base version is no longer in force.
			return err
		}
		first, second := verdicts[0].Verdict, verdicts[1].Verdict
		if (first != accepted || second != conflict) && (first != conflict || second != accepted) {
			return violated("round %d ended %s and %s", round, first, second)
		}
		if err := b.awaitContract(ctx, max(verdicts[0].Version, verdicts[1].Version)); err != nil {
			return err
		}
	}
	b.addNote("%d races: one accepted and one conflict each", changeRounds)
	return nil
}

// proveOperationFound loses the reply to the append of a change. The verdict must be found by the operation ID at another
// entry, and publishing again under the same ID must change nothing.
func proveOperationFound(ctx context.Context, b *bench) error {
	for round := range 5 {
		base, err := b.contractVersion(ctx, 0)
		if err != nil {
			return err
		}
		if err := b.fleet.LogDriver().SetFaults(ctx, faker.LogFaults{LoseReplies: 1}); err != nil {
			return err
		}
		operation := fmt.Sprintf("lost-%d", round)
		first, err := b.changeContract(ctx, 0, operation, base, float64(round+2))
		if err != nil {
			return err
		}
		if first.Verdict != accepted && first.Verdict != pending {
			return violated("a lost reply made the verdict %s", first.Verdict)
		}
		client, err := b.operator(1)
		if err != nil {
			return err
		}
		var found *operatorserver.ConfigVerdict
		_, err = await("the operation is found", inForceBound, func() bool {
			found, err = client.GetOperation(ctx, operatorserver.GetOperationParams{OperationId: operation})
			return err == nil
		})
		if err != nil {
			return err
		}
		again, err := b.changeContract(ctx, 2, operation, base, float64(round+2))
		if err != nil {
			return err
		}
		if found.Verdict != accepted || again.Verdict != accepted || again.Version != found.Version {
			return violated("found %s at %d, again %s at %d", found.Verdict, found.Version, again.Verdict, again.Version)
		}
	}
	return nil
}

// proveInForce publishes changes at one entry. Each must be in force in time at all seven entries, including one that is cut
// off from the log and receives the change from its peers.
func proveInForce(ctx context.Context, b *bench) error {
	uncut, err := b.measureChanges(ctx, "all")
	if err != nil {
		return err
	}
	p50, p99, worst := quantiles(uncut)
	b.addNote("in force at 7 entries p50 %d ms, p99 %d ms, worst %d ms after the operator's call", p50.Milliseconds(), p99.Milliseconds(), worst.Milliseconds())
	b.relays[cutEntry].Set(relayer.Closed)
	withCut, err := b.measureChanges(ctx, "cut")
	if err != nil {
		return err
	}
	p50, p99, worst = quantiles(withCut)
	b.addNote("with one cut from the log p50 %d ms, p99 %d ms, worst %d ms", p50.Milliseconds(), p99.Milliseconds(), worst.Milliseconds())
	b.relays[cutEntry].Set(relayer.Open)
	return nil
}

func (b *bench) measureChanges(ctx context.Context, name string) ([]time.Duration, error) {
	var latencies []time.Duration
	for round := range changeRounds {
		base, err := b.contractVersion(ctx, 0)
		if err != nil {
			return nil, err
		}
		start := time.Now()
		verdict, err := b.changeContract(ctx, 0, fmt.Sprintf("%s-%d", name, round), base, float64(round+1))
		if err != nil {
			return nil, err
		}
		if verdict.Verdict != accepted {
			return nil, violated("round %d: %s %s", round, verdict.Verdict, verdict.Message.Value)
		}
		if err := b.awaitContract(ctx, verdict.Version); err != nil {
			return nil, err
		}
		latencies = append(latencies, time.Since(start))
	}
	return latencies, nil
}
