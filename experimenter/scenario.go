// Package experimenter simulates a deployment under load and faults in virtual time. Decisions are made by the packages that
// the product itself uses: planner, collector, selector and ejector. Runs with the same seed are identical, byte for byte.
// The effect of a policy can be measured with hundreds of seeds in the time that one run of real processes takes. Claims about
// a deployment are still based on runs of real processes.
package experimenter

import (
	"embed"
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"geraniumline/cataloger"
	"geraniumline/loader"
)

// Scenario describes a deployment, its load and its faults. Durations are whole milliseconds unless the name says otherwise;
// shares and factors are percentages.
type Scenario struct {
	// Name identifies the scenario. Purpose describes what it is meant to show.
	Name    string `json:"name" check:"label"`
	Purpose string `json:"purpose"`
	// Seconds is the time during which requests arrive.
	Seconds int64 `json:"seconds" min:"1" max:"600"`
	// Entries is the number of entries, assigned to the zones round-robin. Zones is the number of availability zones.
	Entries int64 `json:"entries" min:"1" max:"2400"`
	Zones   int64 `json:"zones" min:"1" max:"10"`
	// PeerMicros is the one-way latency between entries, and to endpoints, of the same zone. ZoneMicros is added to it between
	// zones.
	ZoneMicros int64 `json:"zoneMicros" min:"0" max:"100000"`
	PeerMicros int64 `json:"peerMicros" min:"1" max:"100000"`
	// Model is the pool of model engines. Pools are the pools of endpoints for the stages.
	Model Model  `json:"model"`
	Pools []Pool `json:"pools"`
	// Kinds are the kinds of requests. Bursts change their arrival rates, Faults impair endpoints and entries.
	Kinds  []Kind  `json:"kinds"`
	Bursts []Burst `json:"bursts"`
	Faults []Fault `json:"faults"`
}

// Model describes the pool of model engines.
type Model struct {
	Endpoints int64 `json:"endpoints" min:"1" max:"10000"`
	// Slots is the number of requests that an engine runs concurrently.
	Slots int64 `json:"slots" min:"1" max:"1024"`
	// TokensPerMilli is the number of prompt tokens that an engine reads per millisecond. StepMicros is the time per event while
	// one request runs.
	TokensPerMilli int64 `json:"tokensEachMilli" min:"1" max:"100000"`
	StepMicros     int64 `json:"stepMicros" min:"1" max:"1000000"`
	// CacheTokens is an engine's cache size for shared prompt parts, in tokens.
	CacheTokens int64 `json:"keptTokens" min:"0" max:"100000000"`
}

// Pool describes a pool of endpoints that process stages.
type Pool struct {
	Name      string `json:"name" check:"label"`
	Endpoints int64  `json:"endpoints" min:"1" max:"10000"`
	// Batch is the maximum number of pieces per call, Queue the maximum number of calls queued at an endpoint.
	Batch int64 `json:"batch" min:"1" max:"4096"`
	Queue int64 `json:"queue" min:"0" max:"1000"`
	// CallOverheadMillis is the fixed time per call. PieceMicros is added for each piece.
	CallOverheadMillis int64 `json:"callMillis" min:"1" max:"100000"`
	PieceMicros        int64 `json:"itemMicros" min:"0" max:"10000000"`
	// ResultSpaceBytes is an endpoint's space for results. ResultTTLMillis is how long a result is kept if it is not freed.
	ResultSpaceBytes int64 `json:"roomBytes" min:"0" max:"1000000000000"`
	ResultTTLMillis  int64 `json:"resultMillis" min:"1" max:"3600000"`
	LinkMbps         int64 `json:"linkMbps" min:"0" max:"1000000"`
	// FailuresPerMille is the number of pieces per thousand that fail.
	FailuresPerMille int64 `json:"failuresPerMille" min:"0" max:"1000"`
}

// Kind describes one kind of request.
type Kind struct {
	Name string `json:"name" check:"label"`
	// PerMinute is the mean number of arrivals per minute.
	PerMinute int64 `json:"eachMinute" min:"0" max:"10000000"`
	// ObjectiveMillis is the time within which the first event is on time. PatienceMillis is the time after which a caller
	// without a first event leaves.
	ObjectiveMillis int64 `json:"objectiveMillis" min:"1" max:"600000"`
	PatienceMillis  int64 `json:"patienceMillis" min:"1" max:"600000"`
	// Worth and LateWorth are the value of an answer that is on time or late, in hundredths.
	Worth     int64 `json:"worthPercent" min:"0" max:"100000"`
	LateWorth int64 `json:"lateWorthPercent" min:"0" max:"100000"`
	// Priority orders the kinds; 0 comes first.
	Priority int64 `json:"priority" min:"0" max:"9"`
	// SharedTokens is the length of the prompt part that all requests on the same subject share, OwnTokens the length of the
	// request's own part. Subjects is the number of subjects.
	SharedTokens int64 `json:"sharedTokens" min:"0" max:"1000000"`
	OwnTokens    int64 `json:"ownTokens" min:"1" max:"1000000"`
	Subjects     int64 `json:"subjects" min:"1" max:"1000000"`
	// Events is the number of events in an answer.
	Events int64   `json:"events" min:"1" max:"100000"`
	Stages []Stage `json:"stages"`
}

// Stage describes one stage of a request kind.
type Stage struct {
	Pool string `json:"pool" check:"label"`
	// DependsOn lists the indexes of the stages whose results are inputs of this stage.
	DependsOn []int64 `json:"after"`
	// Pieces is the mean number of pieces, SpreadPercent its maximum deviation in both directions, and SharePercent the share
	// of requests that have the stage.
	Pieces        int64 `json:"pieces" min:"1" max:"1000"`
	SpreadPercent int64 `json:"spreadPercent" min:"0" max:"100"`
	SharePercent  int64 `json:"sharePercent" min:"1" max:"100"`
	// ResultBytes is the size of a result. WorkPercent scales the time that a piece takes in its pool.
	ResultBytes int64 `json:"resultBytes" min:"0" max:"1000000000"`
	WorkPercent int64 `json:"workPercent" min:"1" max:"1000"`
}

// Burst scales the arrival rate of one kind, or of all kinds if Kind is empty, during an interval.
type Burst struct {
	Kind      string `json:"kind" check:"label,optional"`
	AtMillis  int64  `json:"atMillis" min:"0" max:"600000"`
	ForMillis int64  `json:"forMillis" min:"1" max:"600000"`
	Percent   int64  `json:"percent" min:"1" max:"10000"`
}

// Fault impairs a share of the endpoints of a pool, or of the entries, during an interval.
type Fault struct {
	// Effect is one of: gone (endpoints of Pool refuse connections), slow (their work takes FactorPercent of the usual time),
	// refusing (they reject all calls), resting (they also ask for rest), limited (they announce a limit of FactorPercent
	// hundredths of a call per second) or entry (entries fail and lose all work in progress).
	Effect string `json:"what" check:"label"`
	// Pool is the name of the endpoints' pool; "model" stands for the model engines.
	Pool          string `json:"pool" check:"label,optional"`
	AtMillis      int64  `json:"atMillis" min:"0" max:"600000"`
	ForMillis     int64  `json:"forMillis" min:"1" max:"600000"`
	SharePercent  int64  `json:"sharePercent" min:"1" max:"100"`
	FactorPercent int64  `json:"factorPercent" min:"0" max:"10000"`
}

// The effects of faults, and the name of the model engines' pool.
const (
	faultUnreachable = "gone"
	faultSlow        = "slow"
	faultRefusing    = "refusing"
	faultResting     = "resting"
	faultLimited     = "limited"
	faultEntryLost   = "entry"
	modelPool        = "model"
)

// ReferenceError reports a name in a scenario that refers to nothing.
type ReferenceError struct{ Field, Name string }

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: nothing is named %q", e.Field, e.Name)
}

// ParseScenario decodes and checks a scenario. It returns a *loader.FaultsError or a *ReferenceError if src is invalid.
func ParseScenario(src []byte) (Scenario, error) {
	var s Scenario
	if err := loader.Decode(src, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.checkReferences()
}

func (s *Scenario) checkReferences() error {
	poolExists := func(name string) bool {
		return slices.ContainsFunc(s.Pools, func(p Pool) bool { return p.Name == name })
	}
	for i, k := range s.Kinds {
		for j, stage := range k.Stages {
			if !poolExists(stage.Pool) {
				return &ReferenceError{Field: fmt.Sprintf("kinds[%d].stages[%d].pool", i, j), Name: stage.Pool}
			}
			for _, dependency := range stage.DependsOn {
				if dependency < 0 || dependency >= int64(j) {
					return &ReferenceError{Field: fmt.Sprintf("kinds[%d].stages[%d].after", i, j), Name: fmt.Sprint(dependency)}
				}
			}
		}
	}
	for i, b := range s.Bursts {
		if b.Kind != "" && !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == b.Kind }) {
			return &ReferenceError{Field: fmt.Sprintf("bursts[%d].kind", i), Name: b.Kind}
		}
	}
	for i, f := range s.Faults {
		if !slices.Contains([]string{faultUnreachable, faultSlow, faultRefusing, faultResting, faultLimited, faultEntryLost}, f.Effect) {
			return &ReferenceError{Field: fmt.Sprintf("faults[%d].what", i), Name: f.Effect}
		}
		if f.Effect != faultEntryLost && f.Pool != modelPool && !poolExists(f.Pool) {
			return &ReferenceError{Field: fmt.Sprintf("faults[%d].pool", i), Name: f.Pool}
		}
	}
	return nil
}

//go:embed scenarios
var scenarioFiles embed.FS

// UnknownScenarioError reports a name that no shipped scenario has.
type UnknownScenarioError struct{ Name string }

func (e *UnknownScenarioError) Error() string {
	return fmt.Sprintf("no scenario is named %q; there are %s", e.Name, strings.Join(ScenarioNames(), ", "))
}

// ScenarioNames returns the names of the scenarios that are embedded in the program.
func ScenarioNames() []string {
	files, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		panic(err) // the directory is embedded at build time
	}
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".json"))
	}
	return names
}

// ScenarioSource returns the text of a shipped scenario, or an *UnknownScenarioError.
func ScenarioSource(name string) ([]byte, error) {
	src, err := scenarioFiles.ReadFile(path.Join("scenarios", path.Base(name)+".json"))
	if err != nil {
		return nil, &UnknownScenarioError{Name: name}
	}
	return src, nil
}

// LoadScenario returns a shipped scenario. It returns an *UnknownScenarioError if there is none of that name.
func LoadScenario(name string) (Scenario, error) {
	src, err := ScenarioSource(name)
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(src)
}

// PatchError reports a change that can't be applied to a scenario.
type PatchError struct{ Change, Reason string }

func (e *PatchError) Error() string { return fmt.Sprintf("%q: %s", e.Change, e.Reason) }

// PatchScenario sets integer fields in the text of a scenario. A change has the form /pools/0/endpoints=7. PatchScenario
// returns a *PatchError if a change can't be applied.
func PatchScenario(src []byte, changes []string) ([]byte, error) {
	if len(changes) == 0 {
		return src, nil
	}
	tree, err := hujson.Parse(src)
	if err != nil {
		return nil, &PatchError{Change: changes[0], Reason: "the scenario is no JSON with comments: " + err.Error()}
	}
	for _, change := range changes {
		key, text, found := strings.Cut(change, "=")
		value, err := strconv.ParseInt(text, 10, 64)
		if !found || err != nil {
			return nil, &PatchError{Change: change, Reason: "want KEY=WHOLE NUMBER"}
		}
		if !strings.HasPrefix(key, "/") {
			key = "/" + key
		}
		patch := fmt.Sprintf(`[{"op":"replace","path":%q,"value":%d}]`, key, value)
		if err := tree.Patch([]byte(patch)); err != nil {
			return nil, &PatchError{Change: change, Reason: "the scenario has no such field"}
		}
	}
	return tree.Pack(), nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1_000_000 / 8

// stagePool returns the pool as the catalog describes it.
func (p *Pool) stagePool() cataloger.StagePool {
	return cataloger.StagePool{
		Slots:              1,
		Queue:              int(p.Queue),
		Batch:              int(p.Batch),
		CallOverhead:       millis(p.CallOverheadMillis),
		PieceTime:          micros(p.PieceMicros),
		ResultSpaceBytes:   p.ResultSpaceBytes,
		ResultTTL:          millis(p.ResultTTLMillis),
		LinkBytesPerSecond: p.LinkMbps * bytesPerMbit,
	}
}

// routeStages returns the kind's stages in the form that routes use.
func (k *Kind) routeStages() []cataloger.Stage {
	stages := make([]cataloger.Stage, len(k.Stages))
	for i, s := range k.Stages {
		stages[i] = cataloger.Stage{Service: s.Pool, ResultBytes: s.ResultBytes}
		for _, dependency := range s.DependsOn {
			stages[i].DependsOn = append(stages[i].DependsOn, int(dependency))
		}
	}
	return stages
}
