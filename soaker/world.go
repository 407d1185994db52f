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
	storeCopy imitator.Copy
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
func (w *planRunner) writeConfiguration() {
	w.mu.Lock()
	defer w.mu.Unlock()
	site := w.fleet.site
	site.Tenants = []map[string]any{{
		"Name": fmt.Sprintf("%s%d", accountPrefix, w.newestVersion+1), "ApiKeys": []string{imitator.Key},
	}}
	w.newestVersion++
	site.Configure()
}

func (w *planRunner) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range w.fleet.entries {
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
func (w *planRunner) run(ctx context.Context, plan Plan) {
	sending, stop := context.WithCancel(ctx)
	var background, faults sync.WaitGroup
	background.Go(func() { w.traffic.run(sending) })
	background.Go(func() { w.copyStore(sending) })
	for _, step := range plan.Steps {
		if sleep(ctx, time.Until(w.traffic.startedAt.Add(step.At))) != nil {
			break
		}
		faults.Go(func() { w.inject(ctx, step) })
	}
	faults.Wait()
	for _, e := range w.fleet.site.Endpoints {
		e.Fail(imitator.Sound, 0)
	}
	w.writeConfiguration()
	_ = sleep(ctx, finalFaultDelay)
	w.inject(ctx, plan.Last)
	faultsEndedAt := time.Now()
	// The sleeps fail only if the context ends, which ends the run as well.
	_ = sleep(ctx, finalConfigDelay)
	w.writeConfiguration()
	_ = sleep(ctx, w.cfg.ConfigTime)
	w.sendFinalRequests(phaseConfigured)
	_ = sleep(ctx, time.Until(faultsEndedAt.Add(w.cfg.SettleTime)))
	stop()
	background.Wait()
	w.sendFinalRequests(phaseSettled)
}

// sendFinalRequests sends requests of all kinds to each entry.
func (w *planRunner) sendFinalRequests(phase Phase) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range w.fleet.entries {
		for n := range finalRequests {
			w.traffic.send(client, i, n, fmt.Sprintf("last-%d-%d-%d", phase, i, n), phase)
		}
	}
}

// copyStore copies the store at regular intervals until the context ends.
func (w *planRunner) copyStore(ctx context.Context) {
	for sleep(ctx, copyInterval) == nil {
		w.mu.Lock()
		w.storeCopy, w.copiedAt = w.fleet.site.Store.TakeCopy(), time.Now()
		w.mu.Unlock()
	}
}

// inject injects the fault of a step and ends it after its duration.
func (w *planRunner) inject(ctx context.Context, step Step) {
	waitForEnd := func() { _ = sleep(ctx, step.Duration) }
	switch f := step.Fault.(type) {
	case KillEntry:
		w.injectIntoProcess(f.Entry, w.restart)
	case PauseEntry:
		w.injectIntoProcess(f.Entry, func(_ *entry, process *starter.Process) {
			if process.Freeze() == nil {
				waitForEnd()
				_ = process.Thaw()
			}
		})
	case StopEntry:
		w.injectIntoProcess(f.Entry, w.stop)
	case StoreOutage:
		w.beginStoreFault(f.How)
		waitForEnd()
		w.endStoreFault()
	case StoreReturn:
		w.returnStore(waitForEnd)
	case StoreForgets:
		w.mu.Lock()
		w.fleet.site.ForgetOperator()
		w.mu.Unlock()
	case CutStore:
		w.fleet.entries[f.Entry].storeRelay.Set(f.How)
		waitForEnd()
		w.fleet.entries[f.Entry].storeRelay.Set(relayer.Open)
	case CutCallers:
		w.fleet.entries[f.Entry].callerRelay.Set(f.How)
		waitForEnd()
		w.fleet.entries[f.Entry].callerRelay.Set(relayer.Open)
	case EndpointFails:
		w.fleet.site.Endpoints[f.Endpoint].Fail(f.How, f.Requests)
	case EndpointDrains:
		w.setState(f.Endpoint, "draining")
		waitForEnd()
		w.setState(f.Endpoint, "in_service")
	case EndpointLimited, EndpointLeaves, EndpointRests:
		w.applyNotice(ctx, step)
	case EvacuateZone:
		w.beginEvacuation(f.Zone)
		_ = sleep(ctx, step.Duration+evacuationTimeout)
		w.endEvacuation(f.Zone)
	case ConfigChange:
		w.writeConfiguration()
	}
}

// beginEvacuation begins an evacuation. The zone is used again after the last active evacuation has ended.
func (w *planRunner) beginEvacuation(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeEvacuations++
	if w.activeEvacuations == 1 {
		w.fleet.site.Evacuate(zone)
		w.evacuationStartedAt = time.Now()
	}
}

func (w *planRunner) endEvacuation(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeEvacuations--
	if w.activeEvacuations > 0 {
		return
	}
	startedAt := w.traffic.startedAt
	w.evacuations = append(w.evacuations, Span{From: w.evacuationStartedAt.Add(evacuationTimeout).Sub(startedAt), To: time.Since(startedAt)})
	w.fleet.site.TakeBack(zone)
}

// beginStoreFault begins a fault of the store. The store serves again after the last active fault has ended.
func (w *planRunner) beginStoreFault(how imitator.Outage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeStoreFaults++
	w.fleet.site.Store.SetOutage(how)
}

func (w *planRunner) endStoreFault() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.activeStoreFaults--; w.activeStoreFaults == 0 {
		w.fleet.site.Store.SetOutage(imitator.Up)
	}
}

// returnStore makes the store return from the last copy and then rewrites the records that the copy lacks.
func (w *planRunner) returnStore(waitForEnd func()) {
	w.beginStoreFault(imitator.Silent)
	waitForEnd()
	w.mu.Lock()
	if !w.copiedAt.IsZero() {
		w.fleet.site.Store.ReturnFrom(w.storeCopy)
	}
	w.mu.Unlock()
	w.endStoreFault()
	time.Sleep(rewriteDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.site.WriteAgain()
}

func (w *planRunner) setState(endpoint int, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.fleet.site.Endpoints[endpoint]
	w.fleet.site.Enter(e, serviceOf(e), state)
}

// serviceOf returns the service that is part of an endpoint's ID.
func serviceOf(e *imitator.Endpoint) string { return strings.Split(e.ID, "-")[1] }

// injectIntoProcess injects a fault into an entry's process unless another fault of the process is active.
func (w *planRunner) injectIntoProcess(index int, injectFault func(e *entry, process *starter.Process)) {
	e := w.fleet.entries[index]
	if !e.tryAcquire() {
		return
	}
	defer e.release()
	from := time.Since(w.traffic.startedAt)
	process, _ := e.current()
	injectFault(e, process)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed[index] = append(w.disturbed[index], Span{From: from, To: time.Since(w.traffic.startedAt)})
}

// stop stops an entry's process as planned and restarts it.
func (w *planRunner) stop(e *entry, process *starter.Process) {
	// A process that has already ended is detected by the Wait below.
	_ = process.Terminate()
	if _, ended := process.Wait(stopTimeout); !ended {
		w.addProcessError(e.name + " did not end in time")
	}
	w.restart(e, process)
}

// restart kills an entry's process if it still runs, and starts a new one.
func (w *planRunner) restart(e *entry, process *starter.Process) {
	if err := process.Kill(); err != nil {
		w.addProcessError(err.Error())
	}
	time.Sleep(restartDelay)
	if err := e.start(); err != nil {
		w.addProcessError(err.Error())
	}
}

// addProcessError records what went wrong with a process.
func (w *planRunner) addProcessError(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processErrors = append(w.processErrors, text)
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
