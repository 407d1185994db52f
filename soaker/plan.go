// Package soaker injects random faults into entries that run as separate processes and checks what callers and endpoints
// observe. A plan depends only on its seed and is written to a file before it runs, so that a run can be repeated.
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

// Fault is a failure or an operator action that a plan injects.
type Fault interface {
	fmt.Stringer
	fault()
}

// KillEntry kills an entry's process, which is then restarted.
type KillEntry struct{ Entry int }

// PauseEntry suspends an entry's process for the duration of the step.
type PauseEntry struct{ Entry int }

// StopEntry stops an entry's process as planned, after which it is restarted.
type StopEntry struct{ Entry int }

// StoreOutage makes the store fail for all entries.
type StoreOutage struct{ How imitator.Outage }

// StoreReturn makes the store stop responding and then restores it from an older copy.
type StoreReturn struct{}

// StoreForgets drops the history of the operator's records in the store.
type StoreForgets struct{}

// CutStore disrupts the connections between one entry and the store.
type CutStore struct {
	Entry int
	How   relayer.Mode
}

// CutCallers disrupts the connections between callers and one entry.
type CutCallers struct {
	Entry int
	How   relayer.Mode
}

// EndpointFails makes the next requests at an endpoint fail in a given way.
type EndpointFails struct {
	Endpoint int
	How      imitator.Fault
	Requests int
}

// EndpointDrains marks an endpoint as draining for the duration of the step.
type EndpointDrains struct{ Endpoint int }

// EndpointLimited makes an endpoint state a limit, in requests per second, in its responses.
type EndpointLimited struct {
	Endpoint  int
	PerSecond float64
}

// EndpointLeaves makes an endpoint say in its responses that it leaves, while its record in the store doesn't change. The
// endpoint then restarts.
type EndpointLeaves struct{ Endpoint int }

// EndpointRests makes an endpoint refuse all requests and ask callers to wait before they retry.
type EndpointRests struct {
	Endpoint   int
	RetryAfter time.Duration
}

// EvacuateZone makes the operator evacuate a zone and later revoke the evacuation.
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
	return fmt.Sprintf("endpoint %d refuses and asks for %v of rest", f.Endpoint, f.RetryAfter)
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

		imitator.UnframedTruncated: "without a length, broken off in an event", imitator.UnframedEmpty: "without a length or events",
		imitator.FullReset: "refused and reset",
	}
)

// Step is one fault of a plan with its time.
type Step struct {
	// At is when the fault begins, measured from the start of the plan. Duration is how long it lasts.
	At, Duration time.Duration
	Fault        Fault
}

func (s Step) String() string {
	return fmt.Sprintf("%6.2f s for %4.2f s  %v", s.At.Seconds(), s.Duration.Seconds(), s.Fault)
}

// PlanConfig holds the seed and the size of the fleet for which a plan is drawn.
type PlanConfig struct {
	Seed      uint64
	Entries   int
	Endpoints int
	// Length is the period, from the start of the plan, in which faults begin.
	Length time.Duration
	// Versions is set if half of the model endpoints have a second version.
	Versions bool
}

const (
	// meanFaultGap is the mean time between the starts of two faults, maxFaultDuration the upper bound of a fault's duration.
	// Several faults overlap.
	meanFaultGap = 700 * time.Millisecond
	// meanNoticeGap is the mean time between two notices of endpoints.
	meanNoticeGap    = 1200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// maxFinalOutage is the upper bound of the duration of a plan's final outage.
	maxFinalOutage = 7 * time.Second
	// maxFailingRequests bounds the requests that fail by one EndpointFails.
	maxFailingRequests = 6
)

// Plan holds the faults drawn from one seed, ordered by time.
type Plan struct {
	Steps []Step
	// Last begins alone, after all other faults have ended and just after a change of the configuration, which makes all
	// entries read the store at the same moment.
	Last Step
}

// NewPlan draws the plan of a seed.
func NewPlan(cfg PlanConfig) Plan {
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	plan := Plan{Last: Step{Duration: time.Duration(rnd.Int64N(int64(maxFinalOutage))), Fault: StoreOutage{How: imitator.Silent}}}
	plan.Steps = drawSteps(rnd, &cfg, meanFaultGap, drawFault)
	// Notices are drawn from a separate random stream so that they do not change the other faults of a seed.
	plan.Steps = append(plan.Steps, drawSteps(rand.New(rand.NewPCG(cfg.Seed, 2)), &cfg, meanNoticeGap, drawNotice)...)
	if cfg.Versions {
		plan.Steps = append(plan.Steps, drawSteps(rand.New(rand.NewPCG(cfg.Seed, 3)), &cfg, meanVersionGap, drawVersionFault)...)
	}
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawSteps draws faults whose starts are a mean time of gap apart.
func drawSteps(rnd *rand.Rand, cfg *PlanConfig, gap time.Duration, drawFault func(*rand.Rand, *PlanConfig) Fault) []Step {
	var steps []Step
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.Int64N(int64(2 * gap)))
		if at >= cfg.Length {
			return steps
		}
		steps = append(steps, Step{At: at, Duration: time.Duration(rnd.Int64N(int64(maxFaultDuration))), Fault: drawFault(rnd, cfg)})
	}
}

// drawNotice draws a notice that an endpoint includes in its responses.
func drawNotice(rnd *rand.Rand, cfg *PlanConfig) Fault {
	endpoint := rnd.IntN(cfg.Endpoints)
	switch rnd.IntN(3) {
	case 0:
		return EndpointLimited{Endpoint: endpoint, PerSecond: []float64{0.5, 1, 4}[rnd.IntN(3)]}
	case 1:
		return EndpointLeaves{Endpoint: endpoint}
	default:
		return EndpointRests{Endpoint: endpoint, RetryAfter: []time.Duration{time.Second, 3 * time.Second}[rnd.IntN(2)]}
	}
}

// drawFault draws any fault other than a notice. Changes of the configuration are frequent so that they coincide with other
// faults.
func drawFault(rnd *rand.Rand, cfg *PlanConfig) Fault {
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
		return EndpointFails{Endpoint: endpoint, How: how, Requests: 1 + rnd.IntN(maxFailingRequests)}
	case 12, 13:
		return EvacuateZone{Zone: evacuatedZone}
	default:
		return ConfigChange{}
	}
}

// evacuatedZone is the zone that a plan evacuates. Half of the endpoints are in it.
const evacuatedZone = imitator.ZoneB
