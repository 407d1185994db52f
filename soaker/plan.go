// Package soaker plays random faults against entries that run as separate processes, and checks what callers and endpoints
// see. A plan follows from its seed alone, is written before it is played, and can be played again.
package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"geraniumline/platform/imitator"
	"geraniumline/relayer"
)

// Fault is one thing that goes wrong, or is done on purpose, in a plan.
type Fault interface {
	fmt.Stringer
	fault()
}

// KillEntry ends an entry's process at once; it starts again.
type KillEntry struct{ Entry int }

// PauseEntry stops an entry's process in its tracks.
type PauseEntry struct{ Entry int }

// StopEntry stops an entry as planned; it starts again.
type StopEntry struct{ Entry int }

// StoreOutage has the store fail for all.
type StoreOutage struct{ How imitator.Outage }

// StoreReturn has the store fall silent and return from an older copy.
type StoreReturn struct{}

// StoreForgets drops the store's history.
type StoreForgets struct{}

// CutStore harms the connections between one entry and the store.
type CutStore struct {
	Entry int
	How   relayer.Mode
}

// CutCallers harms the connections between callers and one entry.
type CutCallers struct {
	Entry int
	How   relayer.Mode
}

// EndpointFails has the next requests at an endpoint meet a fault.
type EndpointFails struct {
	Endpoint int
	How      imitator.Fault
	Requests int
}

// EndpointDrains takes an endpoint out of service.
type EndpointDrains struct{ Endpoint int }

// EndpointLimited has an endpoint name a limit in its answers.
type EndpointLimited struct {
	Endpoint  int
	PerSecond float64
}

// EndpointLeaves has an endpoint say in its answers that it leaves, while the store says nothing of it; it starts again.
type EndpointLeaves struct{ Endpoint int }

// EndpointRests has an endpoint turn all away and ask for a time of rest.
type EndpointRests struct {
	Endpoint int
	Rest     time.Duration
}

// EvacuateZone has the operator evacuate a zone, and take that back later.
type EvacuateZone struct{ Zone string }

// ConfigChange writes a new version of the configuration.
type ConfigChange struct{}

func (KillEntry) fault()       {}
func (PauseEntry) fault()      {}
func (StopEntry) fault()       {}
func (StoreOutage) fault()     {}
func (StoreReturn) fault()     {}
func (StoreForgets) fault()    {}
func (CutStore) fault()        {}
func (CutCallers) fault()      {}
func (EndpointFails) fault()   {}
func (EndpointDrains) fault()  {}
func (EndpointLimited) fault() {}
func (EndpointLeaves) fault()  {}
func (EndpointRests) fault()   {}
func (EvacuateZone) fault()    {}
func (ConfigChange) fault()    {}

func (f KillEntry) String() string    { return fmt.Sprintf("kill entry-%d", f.Entry) }
func (f PauseEntry) String() string   { return fmt.Sprintf("pause entry-%d", f.Entry) }
func (f StopEntry) String() string    { return fmt.Sprintf("stop entry-%d as planned", f.Entry) }
func (f StoreOutage) String() string  { return fmt.Sprintf("store away (%v)", outageNames[f.How]) }
func (f StoreReturn) String() string  { return "store returns from an older copy" }
func (f StoreForgets) String() string { return "store forgets its history" }
func (f CutStore) String() string {
	return fmt.Sprintf("entry-%d to store: %v", f.Entry, modeNames[f.How])
}
func (f CutCallers) String() string {
	return fmt.Sprintf("callers to entry-%d: %v", f.Entry, modeNames[f.How])
}
func (f EndpointFails) String() string {
	return fmt.Sprintf("endpoint %d: %d requests %v", f.Endpoint, f.Requests, faultNames[f.How])
}
func (f EndpointDrains) String() string { return fmt.Sprintf("endpoint %d out of service", f.Endpoint) }
func (f EndpointLimited) String() string {
	return fmt.Sprintf("endpoint %d names a limit of %g a second", f.Endpoint, f.PerSecond)
}
func (f EndpointLeaves) String() string {
	return fmt.Sprintf("endpoint %d says that it leaves, and starts again", f.Endpoint)
}
func (f EndpointRests) String() string {
	return fmt.Sprintf("endpoint %d refuses and asks for %v of rest", f.Endpoint, f.Rest)
}
func (f EvacuateZone) String() string { return "evacuation of " + f.Zone }
func (f ConfigChange) String() string { return "configuration changes" }

var (
	outageNames = map[imitator.Outage]string{imitator.Busy: "busy", imitator.Silent: "silent", imitator.Reset: "reset"}
	modeNames   = map[relayer.Mode]string{relayer.Closed: "closed", relayer.Stalled: "stalled", relayer.NoReplies: "no replies"}
	faultNames  = map[imitator.Fault]string{
		imitator.Full: "refused", imitator.Aborting: "broken off", imitator.Hanging: "never answered", imitator.ServerError: "failed",
		imitator.Duplicating: "answered twice", imitator.Unframed: "answered without a length",
		imitator.Truncated: "broken off in an event",
	}
)

// Step is one fault of a plan.
type Step struct {
	// At is when it strikes, from the plan's start, and For how long it lasts.
	At, For time.Duration
	Fault   Fault
}

func (s Step) String() string {
	return fmt.Sprintf("%6.2f s for %4.2f s  %v", s.At.Seconds(), s.For.Seconds(), s.Fault)
}

// PlanConfig says what a plan is for.
type PlanConfig struct {
	Seed      uint64
	Entries   int
	Endpoints int
	// Length is until when faults begin.
	Length time.Duration
}

const (
	// meanGap is the mean time between two faults, maxFor the longest time that one lasts: several overlap.
	meanGap = 700 * time.Millisecond
	// meanNoticeGap is the mean time between two notices of endpoints.
	meanNoticeGap = 1200 * time.Millisecond
	maxFor        = 3 * time.Second
	// maxLast is the longest time of a plan's last outage.
	maxLast = 7 * time.Second
	// maxFailing bounds the requests that one fault of an endpoint strikes.
	maxFailing = 6
)

// Plan is the faults of one seed.
type Plan struct {
	Steps []Step
	// Last strikes alone, once all others have ended and just after a change of the configuration, which sets off the
	// readings of all entries at the same moment.
	Last Step
}

// NewPlan draws a plan.
func NewPlan(cfg PlanConfig) Plan {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	plan := Plan{Last: Step{For: time.Duration(rnd.Int64N(int64(maxLast))), Fault: StoreOutage{How: imitator.Silent}}}
	plan.Steps = drawSteps(rnd, &cfg, meanGap, draw)
	// Drawn from a stream of their own, notices leave the other faults of a seed as they are.
	plan.Steps = append(plan.Steps, drawSteps(rand.New(rand.NewPCG(cfg.Seed, 2)), &cfg, meanNoticeGap, drawNotice)...)
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawSteps draws faults that begin with a mean time between two.
func drawSteps(rnd *rand.Rand, cfg *PlanConfig, gap time.Duration, draw func(*rand.Rand, *PlanConfig) Fault) []Step {
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.Int64N(int64(2 * gap)))
		if at >= cfg.Length {
			return steps
		}
		steps = append(steps, Step{At: at, For: time.Duration(rnd.Int64N(int64(maxFor))), Fault: draw(rnd, cfg)})
	}
}

// drawNotice gives something that an endpoint says in its answers.
func drawNotice(rnd *rand.Rand, cfg *PlanConfig) Fault {
	endpoint := rnd.IntN(cfg.Endpoints)
	switch rnd.IntN(3) {
	case 0:
		return EndpointLimited{Endpoint: endpoint, PerSecond: []float64{0.5, 1, 4}[rnd.IntN(3)]}
	case 1:
		return EndpointLeaves{Endpoint: endpoint}
	default:
		return EndpointRests{Endpoint: endpoint, Rest: []time.Duration{time.Second, 3 * time.Second}[rnd.IntN(2)]}
	}
}

// draw gives any fault. Changes of the configuration come often, so that they meet the others.
func draw(rnd *rand.Rand, cfg *PlanConfig) Fault {
	entry, endpoint := rnd.IntN(cfg.Entries), rnd.IntN(cfg.Endpoints)
	mode := []relayer.Mode{relayer.Closed, relayer.Stalled, relayer.NoReplies}[rnd.IntN(3)]
	switch rnd.IntN(18) {
	case 0:
		return KillEntry{Entry: entry}
	case 1:
		return PauseEntry{Entry: entry}
	case 2:
		return StopEntry{Entry: entry}
	case 3:
		return StoreOutage{How: []imitator.Outage{imitator.Busy, imitator.Silent, imitator.Reset}[rnd.IntN(3)]}
	case 4, 5:
		return StoreReturn{}
	case 6:
		return StoreForgets{}
	case 7:
		return CutStore{Entry: entry, How: mode}
	case 8:
		return CutCallers{Entry: entry, How: mode}
	case 9:
		return EndpointDrains{Endpoint: endpoint}
	case 10, 11:
		how := []imitator.Fault{
			imitator.Full, imitator.Aborting, imitator.Hanging, imitator.ServerError, imitator.Duplicating, imitator.Unframed,
			imitator.Truncated,
		}[rnd.IntN(7)]
		return EndpointFails{Endpoint: endpoint, How: how, Requests: 1 + rnd.IntN(maxFailing)}
	case 12, 13:
		return EvacuateZone{Zone: evacuatedZone}
	default:
		return ConfigChange{}
	}
}

// evacuatedZone is where half of the endpoints are, and the zone that is evacuated.
const evacuatedZone = imitator.ZoneB
