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
	// startPatience bounds the start of all entries.
	startPatience = 30 * time.Second
	readyPoll     = 50 * time.Millisecond
	// rewriteAfter is how long after the store's return what an older copy lacks is written again.
	rewriteAfter = time.Second
	// copyEvery is how old a copy of the store may be.
	copyEvery = 4 * time.Second
	// evacuateTime is how long after the operator's record a request may still reach an evacuated zone, disturbances of the
	// store and of entries included.
	evacuateTime = 11 * time.Second
	// finalRequests are sent to each entry at the end, of each kind two.
	finalRequests = 10
	// lastPause leaves entries the time to read the change before the last fault.
	lastPause = 100 * time.Millisecond
	// quiet is how long after the last fault the last version of the configuration is written.
	quiet = time.Second
)

// world is a fleet under a plan.
type world struct {
	cfg     Config
	fleet   *fleet
	traffic *traffic

	mu sync.Mutex
	// newest is the version of the configuration written last.
	newest int
	// older is a copy of the store, taken at copied.
	older   imitator.Copy
	copied  time.Time
	overdue []string
	// evacuated counts the evacuations under way, evacuations are the spans of those that have ended.
	evacuated   int
	evacuatedAt time.Time
	evacuations []Span
	// disturbed are the times in which entries' processes were ended, paused or started, by entry.
	disturbed map[int][]Span
	// storeFaults are the faults of the whole store under way.
	storeFaults int
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	site := w.fleet.site
	site.Tenants = []map[string]any{{
		"Name": fmt.Sprintf("%s%d", accountPrefix, w.newest+1), "ApiKeys": []string{imitator.Key},
	}}
	w.newest++
	site.Configure()
}

func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	for _, e := range w.fleet.entries {
		for !imitator.Ready(ctx, e.listening.Ready) {
			if ctx.Err() != nil {
				return &StartError{Entry: e.name}
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// play lets the plan's faults strike while callers send, and asks each entry at the end.
func (w *world) play(ctx context.Context, plan Plan) {
	sending, stop := context.WithCancel(ctx)
	var background, faults sync.WaitGroup
	background.Go(func() { w.traffic.run(sending) })
	background.Go(func() { w.takeCopies(sending) })
	for _, step := range plan.Steps {
		if sleep(ctx, time.Until(w.traffic.began.Add(step.At))) != nil {
			break
		}
		faults.Go(func() { w.strike(ctx, step) })
	}
	faults.Wait()
	for _, e := range w.fleet.site.Endpoints {
		e.Fail(imitator.Sound, 0)
	}
	w.configure()
	_ = sleep(ctx, lastPause)
	w.strike(ctx, plan.Last)
	over := time.Now()
	// The pauses fail with the end of the context, which ends the play too.
	_ = sleep(ctx, quiet)
	w.configure()
	_ = sleep(ctx, w.cfg.ConfigTime)
	w.ask(phaseConfigured)
	_ = sleep(ctx, time.Until(over.Add(w.cfg.Settle)))
	stop()
	background.Wait()
	w.ask(phaseSettled)
}

// ask sends requests of all kinds to each entry.
func (w *world) ask(phase Phase) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range w.fleet.entries {
		for n := range finalRequests {
			w.traffic.send(client, i, n, fmt.Sprintf("last-%d-%d-%d", phase, i, n), phase)
		}
	}
}

// takeCopies keeps a copy of the store that is some seconds old.
func (w *world) takeCopies(ctx context.Context) {
	for sleep(ctx, copyEvery) == nil {
		w.mu.Lock()
		w.older, w.copied = w.fleet.site.Store.TakeCopy(), time.Now()
		w.mu.Unlock()
	}
}

// strike carries out one fault and ends it.
func (w *world) strike(ctx context.Context, step Step) {
	last := func() { _ = sleep(ctx, step.For) }
	switch f := step.Fault.(type) {
	case KillEntry:
		w.onProcess(f.Entry, w.restart)
	case PauseEntry:
		w.onProcess(f.Entry, func(_ *entry, process *starter.Process) {
			if process.Suspend() == nil {
				last()
				_ = process.Resume()
			}
		})
	case StopEntry:
		w.onProcess(f.Entry, w.stop)
	case StoreOutage:
		w.storeAway(f.How)
		last()
		w.storeBack()
	case StoreReturn:
		w.returnStore(last)
	case StoreForgets:
		w.mu.Lock()
		w.fleet.site.ForgetOperator()
		w.mu.Unlock()
	case CutStore:
		w.fleet.entries[f.Entry].store.Set(f.How)
		last()
		w.fleet.entries[f.Entry].store.Set(relayer.Open)
	case CutCallers:
		w.fleet.entries[f.Entry].callers.Set(f.How)
		last()
		w.fleet.entries[f.Entry].callers.Set(relayer.Open)
	case EndpointFails:
		w.fleet.site.Endpoints[f.Endpoint].Fail(f.How, f.Requests)
	case EndpointDrains:
		w.setState(f.Endpoint, "draining")
		last()
		w.setState(f.Endpoint, "in_service")
	case EndpointLimited, EndpointLeaves, EndpointRests:
		w.notify(ctx, step)
	case EvacuateZone:
		w.evacuate(f.Zone)
		_ = sleep(ctx, step.For+evacuateTime)
		w.takeBack(f.Zone)
	case ConfigChange:
		w.configure()
	}
}

// evacuate begins an evacuation; the zone is in use again when the last one has ended.
func (w *world) evacuate(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated++
	if w.evacuated == 1 {
		w.fleet.site.Evacuate(zone)
		w.evacuatedAt = time.Now()
	}
}

func (w *world) takeBack(zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated--
	if w.evacuated > 0 {
		return
	}
	began := w.traffic.began
	w.evacuations = append(w.evacuations, Span{From: w.evacuatedAt.Add(evacuateTime).Sub(began), To: time.Since(began)})
	w.fleet.site.TakeBack(zone)
}

// storeAway begins a fault of the store; the store serves again when the last one has ended.
func (w *world) storeAway(how imitator.Outage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeFaults++
	w.fleet.site.Store.SetOutage(how)
}

func (w *world) storeBack() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeFaults--; w.storeFaults == 0 {
		w.fleet.site.Store.SetOutage(imitator.Up)
	}
}

// returnStore has the store return from the last copy, and what it lacks written again.
func (w *world) returnStore(last func()) {
	w.storeAway(imitator.Silent)
	last()
	w.mu.Lock()
	if !w.copied.IsZero() {
		w.fleet.site.Store.ReturnFrom(w.older)
	}
	w.mu.Unlock()
	w.storeBack()
	time.Sleep(rewriteAfter)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fleet.site.WriteAgain()
}

func (w *world) setState(endpoint int, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.fleet.site.Endpoints[endpoint]
	w.fleet.site.Enter(e, serviceOf(e), state)
}

// serviceOf gives the service that an endpoint's id names.
func serviceOf(e *imitator.Endpoint) string { return strings.Split(e.ID, "-")[1] }

// onProcess carries out a fault of an entry's process, unless another one is under way there.
func (w *world) onProcess(index int, strike func(e *entry, process *starter.Process)) {
	e := w.fleet.entries[index]
	if !e.take() {
		return
	}
	defer e.release()
	from := time.Since(w.traffic.began)
	process, _ := e.present()
	strike(e, process)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed[index] = append(w.disturbed[index], Span{From: from, To: time.Since(w.traffic.began)})
}

// stop stops an entry's process as planned, and starts it again.
func (w *world) stop(e *entry, process *starter.Process) {
	// A process that has ended already shows in the wait.
	_ = process.Terminate()
	if _, ended := process.Wait(stopGrace); !ended {
		w.note(e.name + " did not end in time")
	}
	w.restart(e, process)
}

// restart ends an entry's process at once, if it still runs, and starts it again.
func (w *world) restart(e *entry, process *starter.Process) {
	if err := process.Kill(); err != nil {
		w.note(err.Error())
	}
	time.Sleep(restartPause)
	if err := e.start(); err != nil {
		w.note(err.Error())
	}
}

// note keeps what went wrong with a process.
func (w *world) note(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overdue = append(w.overdue, text)
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
