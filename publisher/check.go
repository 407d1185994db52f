package publisher

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
)

// Limits on configuration objects.
const (
	// maxBodyBytes is the maximum size of an object's body.
	maxBodyBytes = 64 << 10
	// minStages and MaxStages limit the length of a pipeline.
	minStages = 3
	MaxStages = 6

	maxQuantity       = 1e9
	maxTokens         = 1 << 20
	maxExpectedMillis = 600_000
	maxPipelines      = 256
)

var (
	namePattern       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	credentialPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check returns every fault in an object itself. References to other objects are checked by CheckChange.
func Check(kind, name string, body []byte) []Fault {
	_, faults := parse(kind, name, body)
	return faults
}

// parsedObject is an object in its typed form; exactly one field is set.
type parsedObject struct {
	pool      *Pool
	pipeline  *Pipeline
	contract  *Contract
	placement *Placement
}

func parse(kind, name string, body []byte) (parsedObject, []Fault) {
	var faults []Fault
	if !namePattern.MatchString(name) {
		faults = append(faults, Fault{Message: fmt.Sprintf("the object's name must match %s", namePattern)})
	}
	if len(body) > maxBodyBytes {
		return parsedObject{}, append(faults, Fault{Message: fmt.Sprintf("has %d bytes, more than %d", len(body), maxBodyBytes)})
	}
	var p parsedObject
	switch kind {
	case KindPool:
		p.pool = parsePool(name, body, &faults)
	case KindPipeline:
		p.pipeline = parsePipeline(name, body, &faults)
	case KindContract:
		p.contract = parseContract(name, body, &faults)
	case KindPlacement:
		p.placement = parsePlacement(name, body, &faults)
	default:
		faults = append(faults, Fault{Message: fmt.Sprintf("%q is not a kind of object", kind)})
	}
	return p, faults
}

func parsePool(name string, body []byte, faults *[]Fault) *Pool {
	r := newFieldReader("", body, faults)
	defer r.reportUnknown()
	return &Pool{
		Name:             r.optionalName("name", name),
		Kind:             r.oneOf("kind", PoolEncoder, PoolRetriever, PoolReranker, PoolEngine, PoolService),
		HonoursFence:     r.boolean("honoursFence", false),
		SlotsPerEndpoint: int(r.integer("slotsPerEndpoint", true, 1, 1<<16)),
	}
}

func parsePipeline(name string, body []byte, faults *[]Fault) *Pipeline {
	r := newFieldReader("", body, faults)
	defer r.reportUnknown()
	p := &Pipeline{Name: r.optionalName("name", name)}
	var stages []json.RawMessage
	if !r.read("stages", "a list of stages", true, &stages) {
		return p
	}
	if len(stages) < minStages || len(stages) > MaxStages {
		r.addFault("stages", "must have from %d to %d stages", minStages, MaxStages)
		return p
	}
	seen := make(map[string]bool)
	for i, raw := range stages {
		path := fmt.Sprintf("stages[%d]", i)
		stage := parseStage(path, raw, faults)
		if stage.Name != "" && seen[stage.Name] {
			r.addFault(path+".name", "is used by an earlier stage")
		}
		seen[stage.Name] = true
		p.Stages = append(p.Stages, stage)
	}
	return p
}

func parseStage(path string, body []byte, faults *[]Fault) Stage {
	r := newFieldReader(path, body, faults)
	defer r.reportUnknown()
	return Stage{
		Name:      r.name("name", true),
		Pool:      r.name("pool", true),
		Model:     r.name("model", false),
		MaxTokens: int(r.integer("maxTokens", false, 0, maxTokens)),
		// The field is required: a default would make a billed stage repeatable or require claims for a cheap
		// one.
		Repeatable:     r.boolean("repeatable", true),
		ExpectedMillis: r.integer("expectedMillis", true, 1, maxExpectedMillis),
	}
}

func parseContract(name string, body []byte, faults *[]Fault) *Contract {
	r := newFieldReader("", body, faults)
	defer r.reportUnknown()
	c := &Contract{
		Account:       r.optionalName("account", name),
		Weight:        r.positive("weight"),
		RatePerSecond: r.positive("ratePerSecond"),
		Burst:         r.positive("burst"),
		Concurrency:   int(r.integer("concurrency", true, 1, maxQuantity)),
		CostPerSecond: r.positive("costPerSecond"),
		Urgency:       r.oneOf("urgency", Urgent, Normal, Relaxed),
	}
	if r.read("credentialSha256", "a string", true, &c.CredentialSha256) && !credentialPattern.MatchString(c.CredentialSha256) {
		r.addFault("credentialSha256", "must be 64 lower case hex digits")
	}
	if c.Burst > 0 && c.Burst < 1 {
		r.addFault("burst", "must be at least 1, or no request would pass")
	}
	checkPipelines(r, c)
	return c
}

func checkPipelines(r *fieldReader, c *Contract) {
	if r.read("pipelines", "a list of pipeline names", true, &c.Pipelines) {
		if len(c.Pipelines) == 0 || len(c.Pipelines) > maxPipelines {
			r.addFault("pipelines", "must name from 1 to %d pipelines", maxPipelines)
		}
	}
	allowed := make(map[string]bool)
	for i, name := range c.Pipelines {
		if allowed[name] {
			r.addFault(fmt.Sprintf("pipelines[%d]", i), "names %q a second time", name)
		}
		allowed[name] = true
	}
	r.read("pipelineUrgency", "an object of urgencies by pipeline", false, &c.PipelineUrgency)
	for _, name := range slices.Sorted(maps.Keys(c.PipelineUrgency)) {
		field := "pipelineUrgency." + name
		if !allowed[name] {
			r.addFault(field, "is not one of the contract's pipelines")
		}
		switch c.PipelineUrgency[name] {
		case Urgent, Normal, Relaxed:
		default:
			r.addFault(field, "must be one of %v", []string{Urgent, Normal, Relaxed})
		}
	}
}
