// Package publisher computes the configuration in force by applying the records of the configuration stream.
// It does no I/O: the same records result in the same configuration and the same verdicts at every entry.
package publisher

import "geraniumline/recorder"

// Kinds of configuration object.
const (
	KindPool     = "pool"
	KindPipeline = "pipeline"
	KindContract = "contract"
	// KindPlacement defines which models a pool's engines must hold.
	KindPlacement = "placement"
)

// Kinds of pool.
const (
	PoolEncoder   = "encoder"
	PoolRetriever = "retriever"
	PoolReranker  = "reranker"
	PoolEngine    = "engine"
	PoolService   = "service"
)

// Roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Urgency classes.
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
	// HonoursFence reports whether the pool's endpoints reject calls with an outdated fencing token.
	HonoursFence bool `json:"honoursFence"`
	// SlotsPerEndpoint is the number of calls that an endpoint runs concurrently.
	SlotsPerEndpoint int `json:"slotsPerEndpoint"`
}

// Stage is one step of a pipeline.
type Stage struct {
	Name      string `json:"name"`
	Pool      string `json:"pool"`
	Model     string `json:"model,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	// Repeatable reports whether the stage can safely be run a second time.
	Repeatable bool `json:"repeatable"`
	// ExpectedMillis is the stage's usual duration, used until quantiles have been measured.
	ExpectedMillis int64 `json:"expectedMillis"`
}

// Pipeline is the list of stages that a request passes through.
type Pipeline struct {
	Name   string  `json:"name"`
	Stages []Stage `json:"stages"`
}

// HasSideEffect reports whether at least one stage must not be run twice.
func (p *Pipeline) HasSideEffect() bool {
	for i := range p.Stages {
		if !p.Stages[i].Repeatable {
			return true
		}
	}
	return false
}

// Contract is the service contract of one client account. All limits on the account derive from it.
type Contract struct {
	Account string `json:"account"`
	// CredentialSha256 is the SHA-256 of the account's password, in lower-case hex.
	CredentialSha256 string  `json:"credentialSha256"`
	Weight           float64 `json:"weight"`
	// RatePerSecond and Burst limit requests over all entries together.
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	Concurrency   int     `json:"concurrency"`
	// CostPerSecond limits endpoint milliseconds per second.
	CostPerSecond float64  `json:"costPerSecond"`
	Urgency       string   `json:"urgency"`
	Pipelines     []string `json:"pipelines"`
	// PipelineUrgency overrides the contract's urgency for single pipelines.
	PipelineUrgency map[string]string `json:"pipelineUrgency,omitempty"`
}
