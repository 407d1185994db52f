package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"geraniumline/platform/imitator"
	"geraniumline/relayer"
	"geraniumline/starter"
)

const (
	// startTimeout bounds the start of all entries.
	startTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
	// rewriteDelay is the delay between the store's return from an older copy and the rewrite of the records that the copy
	// lacks.
	rewriteDelay = time.Second
	// copyInterval is the interval between two copies of the store, and so the age that a copy may reach.
	copyInterval = 4 * time.Second
	// evacuationTimeout is how long after the operator's record a request may still reach an evacuated zone, including
	// disturbances of the store and of entries.
	evacuationTimeout = 11 * time.Second
	// finalRequests is how many requests are sent to each entry in each of the phases after the faults, two of each kind.
	finalRequests = 10
	// finalFaultDelay gives entries time to read the change of the configuration before the last fault.
	finalFaultDelay = 100 * time.Millisecond
	// finalConfigDelay is the delay between the last fault and the last version of the configuration.
	finalConfigDelay = time.Second
)

// planRunner runs a plan on a fleet.
type planRunner struct {
	cfg     Config
	fleet   *fleet
	traffic *traffic

	mu sync.Mutex
	// newestVersion is the version of the configuration that was written last.
	newestVersion int
	// storeCopy is a copy of the store, taken at copiedAt.
	storeCopy imitator.Snapshot
	copiedAt  time.Time
	// processErrors are the texts for Record.ProcessErrors.
	processErrors []string
	// activeEvacuations counts the evacuations that have not ended, evacuations holds the spans of those that have.
	activeEvacuations   int
	evacuationStartedAt time.Time
	evacuations         []Span
	// disturbed holds, by entry, the spans in which the process was ended, paused or started.
	disturbed map[int][]Span
	// activeStoreFaults counts the active faults of the whole store.
	activeStoreFaults int
}

// writeConfiguration writes the next version of the configuration.
func (r *planRunner) writeConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	site := r.fleet.site
	site.Tenants = []map[string]any{{
		"Name": fmt.Sprintf("%s%d", accountPrefix, r.newestVersion+1), "ApiKeys": []string{imitator.Key},
	}}
	r.newestVersion++
	site.Configure()
}

func (r *planRunner) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range r.fleet.entries {
		for !imitator.Ready(ctx, e.listening.Ready) {
			if ctx.Err() != nil {
				return &StartError{Entry: e.name}
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// run injects the plan's faults while callers send requests, and then sends the final requests to each entry.
func (r *planRunner) run(ctx context.Context, plan Plan) {
	sending, stop := context.WithCancel(ctx)
	var background, faults sync.WaitGroup
	background.Go(func() { r.traffic.run(sending) })
	background.Go(func() { r.copyStore(sending) })
	for _, step := range plan.Steps {
		if sleep(ctx, time.Until(r.traffic.startedAt.Add(step.At))) != nil {
			break
		}
		faults.Go(func() { r.inject(ctx, step) })
	}
	faults.Wait()
	for _, e := range r.fleet.site.Endpoints {
		e.InjectFault(imitator.Healthy, 0)
	}
	r.writeConfiguration()
	_ = sleep(ctx, finalFaultDelay)
	r.inject(ctx, plan.Last)
	faultsEndedAt := time.Now()
	// The sleeps fail only if the context ends, which ends the run as well.
	_ = sleep(ctx, finalConfigDelay)
	r.writeConfiguration()
	_ = sleep(ctx, r.cfg.ConfigTime)
	r.sendFinalRequests(phaseConfigured)
	_ = sleep(ctx, time.Until(faultsEndedAt.Add(r.cfg.SettleTime)))
	stop()
	background.Wait()
	r.sendFinalRequests(phaseSettled)
}

// sendFinalRequests sends requests of all kinds to each entry.
func (r *planRunner) sendFinalRequests(phase Phase) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range r.fleet.entries {
		for n := range finalRequests {
			r.traffic.send(client, i, n, fmt.Sprintf("last-%d-%d-%d", phase, i, n), phase)
		}
	}
}

// copyStore copies the store at regular intervals until the context ends.
func (r *planRunner) copyStore(ctx context.Context) {
	for sleep(ctx, copyInterval) == nil {
		r.mu.Lock()
		r.storeCopy, r.copiedAt = r.fleet.site.Store.Snapshot(), time.Now()
		r.mu.Unlock()
	}
}

// inject injects the fault of a step and ends it after its duration.
func (r *planRunner) inject(ctx context.Context, step Step) {
	waitForEnd := func() { _ = sleep(ctx, step.Duration) }
	switch f := step.Fault.(type) {
	case KillEntry:
		r.injectIntoProcess(f.Entry, r.restart)
	case PauseEntry:
		r.injectIntoProcess(f.Entry, func(_ *entry, process *starter.Process) {
			if process.Suspend() == nil {
				waitForEnd()
				_ = process.Resume()
			}
		})
	case StopEntry:
		r.injectIntoProcess(f.Entry, r.stop)
	case StoreOutage:
		r.beginStoreFault(f.How)
		waitForEnd()
		r.endStoreFault()
	case StoreReturn:
		r.returnStore(waitForEnd)
	case StoreForgets:
		r.mu.Lock()
		r.fleet.site.CompactOperator()
		r.mu.Unlock()
	case CutStore:
		r.fleet.entries[f.Entry].storeRelay.Set(f.How)
		waitForEnd()
		r.fleet.entries[f.Entry].storeRelay.Set(relayer.Open)
	case CutCallers:
		r.fleet.entries[f.Entry].callerRelay.Set(f.How)
		waitForEnd()
		r.fleet.entries[f.Entry].callerRelay.Set(relayer.Open)
	case EndpointFails:
		r.fleet.site.Endpoints[f.Endpoint].InjectFault(f.How, f.Requests)
	case EndpointDrains:
		r.setState(f.Endpoint, "draining")
		waitForEnd()
		r.setState(f.Endpoint, "in_service")
	case EndpointLimited, EndpointLeaves, EndpointRests:
		r.applyNotice(ctx, step)
	case VersionLeaves, ModelFails:
		r.applyVersionFault(ctx, step)
	case EvacuateZone:
		r.beginEvacuation(f.Zone)
		_ = sleep(ctx, step.Duration+evacuationTimeout)
		r.endEvacuation(f.Zone)
	case ConfigChange:
		r.writeConfiguration()
	}
}

// beginEvacuation begins an evacuation. The zone is used again after the last active evacuation has ended.
func (r *planRunner) beginEvacuation(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeEvacuations++
	if r.activeEvacuations == 1 {
		r.fleet.site.Evacuate(zone)
		r.evacuationStartedAt = time.Now()
	}
}

func (r *planRunner) endEvacuation(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeEvacuations--
	if r.activeEvacuations > 0 {
		return
	}
	startedAt := r.traffic.startedAt
	r.evacuations = append(r.evacuations, Span{From: r.evacuationStartedAt.Add(evacuationTimeout).Sub(startedAt), To: time.Since(startedAt)})
	r.fleet.site.EndEvacuation(zone)
}

// beginStoreFault begins a fault of the store. The store serves again after the last active fault has ended.
func (r *planRunner) beginStoreFault(how imitator.Outage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeStoreFaults++
	r.fleet.site.Store.SetOutage(how)
}

func (r *planRunner) endStoreFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeStoreFaults--; r.activeStoreFaults == 0 {
		r.fleet.site.Store.SetOutage(imitator.Up)
	}
}

// returnStore makes the store return from the last copy and then rewrites the records that the copy lacks.
func (r *planRunner) returnStore(waitForEnd func()) {
	r.beginStoreFault(imitator.Silent)
	waitForEnd()
	r.mu.Lock()
	if !r.copiedAt.IsZero() {
		r.fleet.site.Store.Restore(r.storeCopy)
	}
	r.mu.Unlock()
	r.endStoreFault()
	time.Sleep(rewriteDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.site.RewriteAll()
}

func (r *planRunner) setState(endpoint int, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.fleet.site.Endpoints[endpoint]
	r.fleet.site.Register(e, serviceOf(e), state)
}

// serviceOf returns the service that is part of an endpoint's ID.
func serviceOf(e *imitator.Endpoint) string { return strings.Split(e.ID, "-")[1] }

// injectIntoProcess injects a fault into an entry's process unless another fault of the process is active.
func (r *planRunner) injectIntoProcess(index int, injectFault func(e *entry, process *starter.Process)) {
	e := r.fleet.entries[index]
	if !e.tryAcquire() {
		return
	}
	defer e.release()
	from := time.Since(r.traffic.startedAt)
	process, _ := e.current()
	injectFault(e, process)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[index] = append(r.disturbed[index], Span{From: from, To: time.Since(r.traffic.startedAt)})
}

// stop stops an entry's process as planned and restarts it.
func (r *planRunner) stop(e *entry, process *starter.Process) {
	// A process that has already ended is detected by the Wait below.
	_ = process.Terminate()
	if _, ended := process.Wait(stopTimeout); !ended {
		r.addProcessError(e.name + " did not end in time")
	}
	r.restart(e, process)
}

// restart kills an entry's process if it still runs, and starts a new one.
func (r *planRunner) restart(e *entry, process *starter.Process) {
	if err := process.Kill(); err != nil {
		r.addProcessError(err.Error())
	}
	time.Sleep(restartDelay)
	if err := e.start(); err != nil {
		r.addProcessError(err.Error())
	}
}

// addProcessError records what went wrong with a process.
func (r *planRunner) addProcessError(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processErrors = append(r.processErrors, text)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
