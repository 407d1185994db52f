// Package publisher folds the records of the configuration stream into the configuration in force.
// The fold is pure: the same records give the same configuration and the same verdicts at every entry.
package publisher

import "geraniumline/recorder"

// The kinds of configuration object.
const (
	KindPool     = "pool"
	KindPipeline = "pipeline"
	KindContract = "contract"
	// KindPlacement says which models a pool's engines are to hold.
	KindPlacement = "placement"
)

// The kinds of pool.
const (
	PoolEncoder   = "encoder"
	PoolRetriever = "retriever"
	PoolReranker  = "reranker"
	PoolEngine    = "engine"
	PoolService   = "service"
)

// The roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// The classes of urgency.
const (
	Urgent  = "urgent"
	Normal  = "normal"
	Relaxed = "relaxed"
)

// Object is a configuration object in force. Its version is the offset of the change that put it in force.
type Object = recorder.Object

// Pool is a set of endpoints of one kind.
type Pool struct {
	Name string `json:"name"`
	Kind string `json:"kind"`
	// HonoursFence tells that the pool's endpoints refuse a call with an old fencing number.
	HonoursFence bool `json:"honoursFence"`
	// SlotsPerEndpoint is how many calls an endpoint runs at once.
	SlotsPerEndpoint int `json:"slotsPerEndpoint"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name      string `json:"name"`
	Pool      string `json:"pool"`
	Model     string `json:"model,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	// Repeatable tells that a second run of the stage does no harm.
	Repeatable bool `json:"repeatable"`
	// ExpectedMillis is the stage's usual duration, used until quantiles have been measured.
	ExpectedMillis int64 `json:"expectedMillis"`
}

// Pipeline is the list of stages that a request passes through.
type Pipeline struct {
	Name   string  `json:"name"`
	Stages []Stage `json:"stages"`
}

// HasSideEffect tells that at least one stage must not be run twice.
func (p *Pipeline) HasSideEffect() bool {
	for i := range p.Stages {
		if !p.Stages[i].Repeatable {
			return true
		}
	}
	return false
}

// Contract is everything that one client account is due; each limit on it follows from here.
type Contract struct {
	Account string `json:"account"`
	// CredentialSha256 is the SHA-256 of the account's password, in lower case hex.
	CredentialSha256 string  `json:"credentialSha256"`
	Weight           float64 `json:"weight"`
	// RatePerSecond and Burst limit requests over all entries together.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	Concurrency   int     `json:"concurrency"`
	// CostPerSecond limits endpoint milliseconds a second.
	CostPerSecond float64  `json:"costPerSecond"`
	Urgency       string   `json:"urgency"`
	Pipelines     []string `json:"pipelines"`
	// PipelineUrgency gives single pipelines another urgency than the contract's.
	PipelineUrgency map[string]string `json:"pipelineUrgency,omitempty"`
}
