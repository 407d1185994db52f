// Package experimenter plays loads and faults on a model of a deployment in model time, with the packages that decide in the
// product itself: planner, collector, selector, ejector. One seed gives the same run again, byte for byte. It tells what a
// policy does on hundreds of seeds in the time of one run of real processes; what is claimed of a deployment still comes
// from runs of real processes.
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

// Scenario is a deployment with its load and its faults. Lengths of time are whole milliseconds unless the name says
// otherwise, shares and factors are percents.
type Scenario struct {
	// Name is the scenario's, Purpose what it is to show.
	Name    string `json:"name" check:"label"`
	Purpose string `json:"purpose"`
	// Seconds is how long requests arrive.
	Seconds int64 `json:"seconds" min:"1" max:"600"`
	// Entries are the entries, spread over the zones in turn; Zones how many availability zones there are.
	Entries int64 `json:"entries" min:"1" max:"2400"`
	Zones   int64 `json:"zones" min:"1" max:"10"`
	// ZoneMicros is the way between zones, PeerMicros that between entries and to endpoints of a zone.
	ZoneMicros int64 `json:"zoneMicros" min:"0" max:"100000"`
	PeerMicros int64 `json:"peerMicros" min:"1" max:"100000"`
	// Model is the pool of model engines, Pools those of the stages.
	Model Model  `json:"model"`
	Pools []Pool `json:"pools"`
	// Kinds are the kinds of request, Bursts and Faults what happens to them.
	Kinds  []Kind  `json:"kinds"`
	Bursts []Burst `json:"bursts"`
	Faults []Fault `json:"faults"`
}

// Model is a pool of model engines.
type Model struct {
	Endpoints int64 `json:"endpoints" min:"1" max:"10000"`
	// Slots is how many requests an engine runs at a time.
	Slots int64 `json:"slots" min:"1" max:"1024"`
	// TokensPerMilli is how fast an engine reads prompts, StepMicros how long an event takes while one request runs.
	TokensPerMilli int64 `json:"tokensEachMilli" min:"1" max:"100000"`
	StepMicros     int64 `json:"stepMicros" min:"1" max:"1000000"`
	// CacheTokens is the memory for shared prompt parts.
	CacheTokens int64 `json:"keptTokens" min:"0" max:"100000000"`
}

// Pool is a pool of endpoints that work on stages.
type Pool struct {
	Name      string `json:"name" check:"label"`
	Endpoints int64  `json:"endpoints" min:"1" max:"10000"`
	// Batch is the most pieces of a call, Queue how many calls may wait at an endpoint.
	Batch int64 `json:"batch" min:"1" max:"4096"`
	Queue int64 `json:"queue" min:"0" max:"1000"`
	// CallOverheadMillis is what a call takes beside its pieces, PieceMicros what a piece adds.
	CallOverheadMillis int64 `json:"callMillis" min:"1" max:"100000"`
	PieceMicros        int64 `json:"itemMicros" min:"0" max:"10000000"`
	// ResultSpaceBytes is an endpoint's space for results, ResultTTLMillis how long one is kept that is not freed.
	ResultSpaceBytes int64 `json:"roomBytes" min:"0" max:"1000000000000"`
	ResultTTLMillis  int64 `json:"resultMillis" min:"1" max:"3600000"`
	LinkMbps         int64 `json:"linkMbps" min:"0" max:"1000000"`
	// FailuresPerMille is how many of a thousand pieces fail.
	FailuresPerMille int64 `json:"failuresPerMille" min:"0" max:"1000"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `json:"name" check:"label"`
	// PerMinute is how many arrive in a minute.
	PerMinute int64 `json:"eachMinute" min:"0" max:"10000000"`
	// ObjectiveMillis is when the first event is on time, PatienceMillis when the caller leaves without one.
	ObjectiveMillis int64 `json:"objectiveMillis" min:"1" max:"600000"`
	PatienceMillis  int64 `json:"patienceMillis" min:"1" max:"600000"`
	// Worth and LateWorth are what an answer is worth on time and late, in hundredths.
	Worth     int64 `json:"worthPercent" min:"0" max:"100000"`
	LateWorth int64 `json:"lateWorthPercent" min:"0" max:"100000"`
	// Priority orders kinds, 0 first.
	Priority int64 `json:"priority" min:"0" max:"9"`
	// SharedTokens are of the prompt's part that all requests of one of Subjects share, OwnTokens the request's own.
	SharedTokens int64 `json:"sharedTokens" min:"0" max:"1000000"`
	OwnTokens    int64 `json:"ownTokens" min:"1" max:"1000000"`
	Subjects     int64 `json:"subjects" min:"1" max:"1000000"`
	// Events is how many events an answer has.
	Events int64   `json:"events" min:"1" max:"100000"`
	Stages []Stage `json:"stages"`
}

// Stage is one stage of a kind.
type Stage struct {
	Pool string `json:"pool" check:"label"`
	// DependsOn are the stages whose results it takes.
	DependsOn []int64 `json:"after"`
	// Pieces is the mean number of pieces, SpreadPercent how far it varies, SharePercent how many requests have it.
	Pieces        int64 `json:"pieces" min:"1" max:"1000"`
	SpreadPercent int64 `json:"spreadPercent" min:"0" max:"100"`
	SharePercent  int64 `json:"sharePercent" min:"1" max:"100"`
	// ResultBytes is the size of a result, WorkPercent a piece's work as a share of its pool's usual one.
	ResultBytes int64 `json:"resultBytes" min:"0" max:"1000000000"`
	WorkPercent int64 `json:"workPercent" min:"1" max:"1000"`
}

// Burst multiplies arrivals for a while: of one kind, or of all where Kind is empty.
type Burst struct {
	Kind      string `json:"kind" check:"label,optional"`
	AtMillis  int64  `json:"atMillis" min:"0" max:"600000"`
	ForMillis int64  `json:"forMillis" min:"1" max:"600000"`
	Percent   int64  `json:"percent" min:"1" max:"10000"`
}

// Fault is a fault for a while.
type Fault struct {
	// Effect is gone (endpoints of Pool refuse connections), slow (they take longer by FactorPercent), refusing (they turn all
	// away), resting (they ask for rest besides), limited (they name a limit of FactorPercent hundredths of a call a second) or
	// entry (entries are gone, with all that they had under way).
	Effect string `json:"what" check:"label"`
	// Pool is that of the endpoints; "model" is the model engines'.
	Pool          string `json:"pool" check:"label,optional"`
	AtMillis      int64  `json:"atMillis" min:"0" max:"600000"`
	ForMillis     int64  `json:"forMillis" min:"1" max:"600000"`
	SharePercent  int64  `json:"sharePercent" min:"1" max:"100"`
	FactorPercent int64  `json:"factorPercent" min:"0" max:"10000"`
}

// The kinds of fault, and the name of the model engines' pool.
const (
	gone      = "gone"
	slow      = "slow"
	refusing  = "refusing"
	resting   = "resting"
	limited   = "limited"
	entryGone = "entry"
	modelPool = "model"
)

// ReferenceError tells of a name in a scenario that is none's.
type ReferenceError struct{ Field, Name string }

func (e *ReferenceError) Error() string {
	return fmt.Sprintf("%s: nothing is named %q", e.Field, e.Name)
}

// ParseScenario reads a scenario. It fails with a *loader.FaultsError or a *ReferenceError.
func ParseScenario(src []byte) (Scenario, error) {
	var s Scenario
	if err := loader.Decode(src, &s); err != nil {
		return Scenario{}, err
	}
	return s, s.checkReferences()
}

func (s *Scenario) checkReferences() error {
	pool := func(name string) bool {
		return slices.ContainsFunc(s.Pools, func(p Pool) bool { return p.Name == name })
	}
	for i, k := range s.Kinds {
		for j, stage := range k.Stages {
			if !pool(stage.Pool) {
				return &ReferenceError{Field: fmt.Sprintf("kinds[%d].stages[%d].pool", i, j), Name: stage.Pool}
			}
			for _, after := range stage.DependsOn {
				if after < 0 || after >= int64(j) {
					return &ReferenceError{Field: fmt.Sprintf("kinds[%d].stages[%d].after", i, j), Name: fmt.Sprint(after)}
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
		if !slices.Contains([]string{gone, slow, refusing, resting, limited, entryGone}, f.Effect) {
			return &ReferenceError{Field: fmt.Sprintf("faults[%d].what", i), Name: f.Effect}
		}
		if f.Effect != entryGone && f.Pool != modelPool && !pool(f.Pool) {
			return &ReferenceError{Field: fmt.Sprintf("faults[%d].pool", i), Name: f.Pool}
		}
	}
	return nil
}

//go:embed scenarios
var shipped embed.FS

// UnknownScenarioError tells of a name that is no shipped scenario's.
type UnknownScenarioError struct{ Name string }

func (e *UnknownScenarioError) Error() string {
	return fmt.Sprintf("no scenario is named %q; there are %s", e.Name, strings.Join(ScenarioNames(), ", "))
}

// ScenarioNames lists the names of the scenarios that come with the program.
func ScenarioNames() []string {
	files, err := shipped.ReadDir("scenarios")
	if err != nil {
		panic(err) // embedded at the build
	}
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".json"))
	}
	return names
}

// ScenarioSource gives the text of a shipped scenario. It fails with a *UnknownScenarioError.
func ScenarioSource(name string) ([]byte, error) {
	src, err := shipped.ReadFile(path.Join("scenarios", path.Base(name)+".json"))
	if err != nil {
		return nil, &UnknownScenarioError{Name: name}
	}
	return src, nil
}

// LoadScenario gives a shipped scenario. It fails with a *UnknownScenarioError.
func LoadScenario(name string) (Scenario, error) {
	src, err := ScenarioSource(name)
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(src)
}

// PatchError tells of a change that can't be made.
type PatchError struct{ Change, Reason string }

func (e *PatchError) Error() string { return fmt.Sprintf("%q: %s", e.Change, e.Reason) }

// PatchScenario sets whole numbers in the text of a scenario, each as in /pools/0/endpoints=7. It fails with a *PatchError.
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

// bytesPerMbit is how many bytes a megabit has.
const bytesPerMbit = 1_000_000 / 8

// stage says how the pool's endpoints take calls.
func (p *Pool) stage() cataloger.StagePool {
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

// stages gives the kind's stages as a route has them.
func (k *Kind) stages() []cataloger.Stage {
	stages := make([]cataloger.Stage, len(k.Stages))
	for i, s := range k.Stages {
		stages[i] = cataloger.Stage{Service: s.Pool, ResultBytes: s.ResultBytes}
		for _, after := range s.DependsOn {
			stages[i].DependsOn = append(stages[i].DependsOn, int(after))
		}
	}
	return stages
}
