package prover

import (
	"context"
	"time"

	"geraniumline/faker"
	"geraniumline/platformserver"
	"geraniumline/starter"
)

// leavingBound is the time from the first sign after which a leaving endpoint gets no new work.
const leavingBound = 3 * time.Second

// rerunShare leaves room for a few hedges where cut streams must be resumed and not run again.
const rerunShare = 1.05

func endpointProofs() []Proof {
	return []Proof{
		{Name: "leavingBySign", Faults: "an engine refuses as leaving and says so in its load", Entries: 3, Run: proveLeavingBySign},
		{Name: "leavingByList", Faults: "the list of VMs marks an engine as leaving", Entries: 3, Run: proveLeavingByList},
		{Name: "streamsCut", Faults: "every stream cut after 3 parts", Entries: 3, Run: proveStreamsCut},
		{Name: "repliesMixed", Faults: "replies swapped, doubled, out of order, dropped", Entries: 3, Run: proveRepliesMixed},
		{Name: "endpointFrozen", Faults: "SIGSTOP of a ticket service and an engine, 3 s", Entries: 3, Run: proveEndpointFrozen},
	}
}

// An engine refuses new calls as leaving. Each entry hears of it by a refusal, by the load report or from a peer,
// and sends it nothing more; no request is lost by it.
func proveLeavingBySign(ctx context.Context, b *bench) error {
	stop := b.traffic(ctx, summary(), load)
	defer stop()
	time.Sleep(time.Second)
	engine := b.fleet.Endpoints("engines")[0]
	if err := engine.Driver.SetFaults(ctx, faker.Faults{Leaving: true, IgnoreFence: true}); err != nil {
		return err
	}
	took, err := await("all entries know that the engine leaves", leavingBound, func() bool {
		for i := range b.fleet.Entries() {
			if !b.knowsLeaving(ctx, i, engine) {
				return false
			}
		}
		return true
	})
	b.say("known at all entries after %d ms", took.Milliseconds())
	return err
}

func (b *bench) knowsLeaving(ctx context.Context, i int, endpoint *starter.Endpoint) bool {
	status := b.status(ctx, i)
	if status == nil {
		return false
	}
	for _, known := range status.Endpoints {
		if known.Address == endpoint.Address() {
			return known.State == "leaving"
		}
	}
	return false
}

// The platform's list marks an engine as leaving; the engine itself would go on taking calls. Its ledger shows no
// work begun later than 3 s after the list's readers could see the mark.
func proveLeavingByList(ctx context.Context, b *bench) error {
	stop := b.traffic(ctx, summary(), load)
	defer stop()
	time.Sleep(time.Second)
	engine := b.fleet.Endpoints("engines")[0]
	if err := b.markLeaving(ctx, engine); err != nil {
		return err
	}
	seen := time.Now().Add(time.Second) // The list's lag.
	time.Sleep(leavingBound + 4*time.Second)
	page, err := engine.Driver.Ledger(ctx)
	if err != nil {
		return err
	}
	last := int64(0)
	for _, execution := range page.Executions {
		last = max(last, execution.StartMillis)
	}
	after := time.UnixMilli(last).Sub(seen)
	b.say("last work begun %d ms after the mark could be read", after.Milliseconds())
	if after > leavingBound {
		return violated("the leaving engine got work %v after the mark", after)
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

// all sets the faults of all endpoints of a pool.
func (b *bench) all(ctx context.Context, pool string, faults faker.Faults) error {
	faults.IgnoreFence = true
	for _, endpoint := range b.fleet.Endpoints(pool) {
		if err := endpoint.Driver.SetFaults(ctx, faults); err != nil {
			return err
		}
	}
	return nil
}

// Every engine cuts each stream after three parts. The rest is read on another connection from the next part on,
// and each caller gets the whole answer, without the engine running again.
func proveStreamsCut(ctx context.Context, b *bench) error {
	if err := b.all(ctx, "engines", faker.Faults{CutStreamAfterParts: 3}); err != nil {
		return err
	}
	if err := b.underLoad(ctx, func() error { return sleep(4 * time.Second) }); err != nil {
		return err
	}
	executions, err := b.fleet.Executions(ctx)
	if err != nil {
		return err
	}
	generated := 0
	for _, execution := range executions {
		if execution.Stage == "generate" {
			generated++
		}
	}
	counts := b.count(ctx)
	b.say("%d generations for %d answers", generated, counts.Answered)
	if counts.Answered < counts.Requests || float64(generated) > rerunShare*float64(counts.Answered) {
		return violated("%d of %d requests were answered with %d generations", counts.Answered, counts.Requests, generated)
	}
	return nil
}

// One engine hands parts to the wrong request, one sends each part twice, one sends them out of order, and the
// an encoder and a ticket service lose whole replies after running: the connection closes once the call's bytes were
// sent. No caller sees another's text or half of its own, and no ticket is logged again.
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

// A service whose calls must not be repeated and an engine stand still under load and go on later with what they
// had taken. The service's calls are not run elsewhere meanwhile; the engine's are.
func proveEndpointFrozen(ctx context.Context, b *bench) error {
	return b.underLoad(ctx, b.freezeEndpoints)
}

func (b *bench) freezeEndpoints() (err error) {
	time.Sleep(time.Second)
	frozen := []*starter.Endpoint{b.fleet.Endpoints("engines")[2], b.fleet.Endpoints("tickets")[1]}
	for _, endpoint := range frozen {
		err = firstOf(err, endpoint.Suspend())
	}
	time.Sleep(3 * time.Second)
	for _, endpoint := range frozen {
		err = firstOf(err, endpoint.Resume())
	}
	time.Sleep(time.Second)
	return err
}
