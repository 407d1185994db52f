package prover

import (
	"context"
	"time"

	"geraniumline/faker"
	"geraniumline/platformserver"
	"geraniumline/starter"
)

// leavingBound is the time, from the first sign that an endpoint leaves, after which it must not receive new work.
const leavingBound = 3 * time.Second

// maxRunsPerAnswer bounds the engine runs for each answer. It allows for a few hedged calls where cut streams must be resumed
// and not run again.
const maxRunsPerAnswer = 1.05

func endpointProofs() []Proof {
	return []Proof{
		{Name: "leavingBySign", Faults: "an engine refuses as leaving and says so in its load", Entries: 3, Run: proveLeavingBySign},
		{Name: "leavingByList", Faults: "the list of VMs marks an engine as leaving", Entries: 3, Run: proveLeavingByList},
		{Name: "streamsCut", Faults: "every stream cut after 3 parts", Entries: 3, Run: proveStreamsCut},
		{Name: "repliesMixed", Faults: "replies swapped, doubled, out of order, dropped", Entries: 3, Run: proveRepliesMixed},
		{Name: "endpointFrozen", Faults: "SIGSTOP of a ticket service and an engine, 3 s", Entries: 3, Run: proveEndpointFrozen},
	}
}

// proveLeavingBySign makes an engine refuse new calls because it is leaving. Each entry learns this from a refusal, the load
// report or a peer and must send the engine no more calls. No request may be lost.
func proveLeavingBySign(ctx context.Context, b *bench) error {
	stop := b.traffic(ctx, summary(), requestRate)
	defer stop()
	time.Sleep(time.Second)
	engine := b.fleet.Endpoints("engines")[0]
	if err := engine.Driver.SetFaults(ctx, faker.Faults{Leaving: true, IgnoreFence: true}); err != nil {
		return err
	}
	took, err := await("all entries know that the engine leaves", leavingBound, func() bool {
		for i := range b.fleet.Entries() {
			if !b.seesLeaving(ctx, i, engine) {
				return false
			}
		}
		return true
	})
	b.addNote("known at all entries after %d ms", took.Milliseconds())
	return err
}

func (b *bench) seesLeaving(ctx context.Context, i int, endpoint *starter.Endpoint) bool {
	status := b.status(ctx, i)
	if status == nil {
		return false
	}
	for _, seen := range status.Endpoints {
		if seen.Address == endpoint.Address() {
			return seen.State == "leaving"
		}
	}
	return false
}

// proveLeavingByList marks an engine as leaving in the platform's list of VMs, while the engine itself still accepts calls.
// Its ledger must show no execution that began later than 3 s after the mark was visible to readers of the list.
func proveLeavingByList(ctx context.Context, b *bench) error {
	stop := b.traffic(ctx, summary(), requestRate)
	defer stop()
	time.Sleep(time.Second)
	engine := b.fleet.Endpoints("engines")[0]
	if err := b.markLeaving(ctx, engine); err != nil {
		return err
	}
	visibleAt := time.Now().Add(time.Second) // The lag of the list.
	time.Sleep(leavingBound + 4*time.Second)
	page, err := engine.Driver.Ledger(ctx)
	if err != nil {
		return err
	}
	lastStartMillis := int64(0)
	for _, execution := range page.Executions {
		lastStartMillis = max(lastStartMillis, execution.StartMillis)
	}
	delay := time.UnixMilli(lastStartMillis).Sub(visibleAt)
	b.addNote("last work begun %d ms after the mark could be read", delay.Milliseconds())
	if delay > leavingBound {
		return violated("the leaving engine got work %v after the mark", delay)
	}
	return nil
}

func (b *bench) markLeaving(ctx context.Context, leaving *starter.Endpoint) error {
	var vms []platformserver.VM
	for _, pool := range pools() {
		for _, endpoint := range b.fleet.Endpoints(pool.Name) {
			vm := platformserver.VM{Address: endpoint.Address(), Zone: endpoint.Zone, Pool: endpoint.Pool, State: platformserver.VMStateLive}
			if endpoint == leaving {
				vm.State = platformserver.VMStateLeaving
			}
			vms = append(vms, vm)
		}
	}
	return b.fleet.VMsDriver().SetVMs(ctx, vms)
}

// setPoolFaults sets the faults of all endpoints of a pool.
func (b *bench) setPoolFaults(ctx context.Context, pool string, faults faker.Faults) error {
	faults.IgnoreFence = true
	for _, endpoint := range b.fleet.Endpoints(pool) {
		if err := endpoint.Driver.SetFaults(ctx, faults); err != nil {
			return err
		}
	}
	return nil
}

// proveStreamsCut makes every engine cut each stream after three parts. The entry must read the remaining parts on another
// connection, and each caller must receive the complete answer without another run of the engine.
func proveStreamsCut(ctx context.Context, b *bench) error {
	if err := b.setPoolFaults(ctx, "engines", faker.Faults{CutStreamAfterParts: 3}); err != nil {
		return err
	}
	if err := b.underLoad(ctx, func() error { return sleep(4 * time.Second) }); err != nil {
		return err
	}
	executions, err := b.fleet.Executions(ctx)
	if err != nil {
		return err
	}
	generations := 0
	for _, execution := range executions {
		if execution.Stage == "generate" {
			generations++
		}
	}
	counts := b.count(ctx)
	b.addNote("%d generations for %d answers", generations, counts.Answered)
	if counts.Answered < counts.Requests || float64(generations) > maxRunsPerAnswer*float64(counts.Answered) {
		return violated("%d of %d requests were answered with %d generations", counts.Answered, counts.Requests, generations)
	}
	return nil
}

// proveRepliesMixed makes one engine send parts to the wrong request, one send each part twice, and one send parts out of
// order. One ticket service swaps replies. An encoder and another ticket service lose complete replies after running: the
// connection closes once the call's bytes were sent. No caller may receive another request's text or an incomplete answer,
// and no ticket may be logged twice.
func proveRepliesMixed(ctx context.Context, b *bench) error {
	engines := b.fleet.Endpoints("engines")
	for i, faults := range []faker.Faults{{SwapReplies: true}, {DuplicateParts: true}, {OutOfOrder: true}} {
		faults.IgnoreFence = true
		if err := engines[i].Driver.SetFaults(ctx, faults); err != nil {
			return err
		}
	}
	if err := b.fleet.Endpoints("encoders")[0].Driver.SetFaults(ctx, faker.Faults{DropReplyAfterRun: true, IgnoreFence: true}); err != nil {
		return err
	}
	for i, faults := range []faker.Faults{{SwapReplies: true}, {DropReplyAfterRun: true}} {
		faults.IgnoreFence = true
		if err := b.fleet.Endpoints("tickets")[i].Driver.SetFaults(ctx, faults); err != nil {
			return err
		}
	}
	return b.underLoad(ctx, func() error { return sleep(4 * time.Second) })
}

func sleep(d time.Duration) error {
	time.Sleep(d)
	return nil
}

// proveEndpointFrozen suspends an engine and a service whose calls must not be repeated under load. Both later continue with
// the calls that they had accepted. Meanwhile, the engine's calls run elsewhere and the service's calls do not.
func proveEndpointFrozen(ctx context.Context, b *bench) error {
	return b.underLoad(ctx, b.freezeEndpoints)
}

func (b *bench) freezeEndpoints() (err error) {
	time.Sleep(time.Second)
	frozen := []*starter.Endpoint{b.fleet.Endpoints("engines")[2], b.fleet.Endpoints("tickets")[1]}
	for _, endpoint := range frozen {
		err = firstError(err, endpoint.Suspend())
	}
	time.Sleep(3 * time.Second)
	for _, endpoint := range frozen {
		err = firstError(err, endpoint.Resume())
	}
	time.Sleep(time.Second)
	return err
}
