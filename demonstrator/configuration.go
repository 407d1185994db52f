// Package demonstrator runs an end-to-end demo: it starts a fleet on loopback, publishes pipelines and
// contracts, sends requests of all accounts and checks the results against the endpoints' ledgers.
package demonstrator

import (
	"encoding/json"

	"geraniumline/publisher"
	"geraniumline/starter"
	"geraniumline/verifier"
)

// Names of the demo's pipelines.
const (
	pipelineSummary = "case-summary"
	pipelineTicket  = "ticket-log"
)

// Pools returns the pools of the demo's stand-ins.
func Pools() []starter.Pool {
	return []starter.Pool{
		{Name: "encoders", Kind: "encoder", Endpoints: 3},
		{Name: "retrievers", Kind: "retriever", Endpoints: 3},
		{Name: "rerankers", Kind: "reranker", Endpoints: 3},
		{Name: "engines", Kind: "engine", Endpoints: 10, Args: []string{"--model", "writer"}},
		{Name: "tickets", Kind: "plain", Endpoints: 3},
	}
}

// generatedTokens is the maximum number of tokens that a generate stage returns.
const generatedTokens = 16

// Objects returns the demo's pools and pipelines as configuration objects.
func Objects() []any {
	return []any{
		publisher.Pool{Name: "encoders", Kind: publisher.PoolEncoder, SlotsPerEndpoint: 8},
		publisher.Pool{Name: "retrievers", Kind: publisher.PoolRetriever, SlotsPerEndpoint: 8},
		publisher.Pool{Name: "rerankers", Kind: publisher.PoolReranker, SlotsPerEndpoint: 8},
		publisher.Pool{Name: "engines", Kind: publisher.PoolEngine, SlotsPerEndpoint: 8},
		publisher.Pool{Name: "tickets", Kind: publisher.PoolService, HonoursFence: true, SlotsPerEndpoint: 8},
		SummaryPipeline(),
		TicketPipeline(),
	}
}

// SummaryPipeline returns the pipeline whose stages are all repeatable.
func SummaryPipeline() publisher.Pipeline {
	return publisher.Pipeline{Name: pipelineSummary, Stages: []publisher.Stage{
		{Name: "encode", Pool: "encoders", Repeatable: true, ExpectedMillis: 5},
		{Name: "retrieve", Pool: "retrievers", Repeatable: true, ExpectedMillis: 3},
		{Name: "rerank", Pool: "rerankers", Repeatable: true, ExpectedMillis: 6},
		{Name: "generate", Pool: "engines", Model: "writer", MaxTokens: generatedTokens, Repeatable: true, ExpectedMillis: 40},
	}}
}

// TicketPipeline returns the pipeline whose last stage must not be repeated.
func TicketPipeline() publisher.Pipeline {
	return publisher.Pipeline{Name: pipelineTicket, Stages: []publisher.Stage{
		{Name: "encode", Pool: "encoders", Repeatable: true, ExpectedMillis: 5},
		{Name: "generate", Pool: "engines", Model: "writer", MaxTokens: generatedTokens, Repeatable: true, ExpectedMillis: 40},
		{Name: "log", Pool: "tickets", Repeatable: false, ExpectedMillis: 8},
	}}
}

// Account is a client account of the demo.
type Account struct {
	Name       string
	Credential string
	Weight     float64
	// Rate is the contract's limit, in requests per second.
	Rate float64
	// Requests is the number of requests that the demo sends for the account.
	Requests int
}

// Accounts returns one small, two medium and two large accounts, with new credentials.
func Accounts() []Account {
	return []Account{
		{Name: "school-station", Credential: verifier.GenerateCredential(), Weight: 1, Rate: 20, Requests: 30},
		{Name: "weather-club", Credential: verifier.GenerateCredential(), Weight: 2, Rate: 50, Requests: 60},
		{Name: "ward-office", Credential: verifier.GenerateCredential(), Weight: 2, Rate: 50, Requests: 60},
		{Name: "crew-briefing", Credential: verifier.GenerateCredential(), Weight: 8, Rate: 200, Requests: 130},
		{Name: "rain-alerts", Credential: verifier.GenerateCredential(), Weight: 8, Rate: 200, Requests: 130},
	}
}

// maxRequestCost is the maximum cost of a request of the demo, in endpoint milliseconds.
const maxRequestCost = 200

// Contract returns the account's contract.
func (a Account) Contract() publisher.Contract {
	return publisher.Contract{
		Account:          a.Name,
		CredentialSha256: verifier.HashCredential(a.Credential),
		Weight:           a.Weight,
		RatePerSecond:    a.Rate,
		Burst:            a.Rate,
		Concurrency:      int(a.Rate),
		CostPerSecond:    a.Rate * maxRequestCost,
		Urgency:          publisher.Normal,
		Pipelines:        []string{pipelineSummary, pipelineTicket},
	}
}

// encodeObject returns the kind, name and JSON body of a configuration object. Kind and name are empty for other types.
func encodeObject(object any) (kind, name string, body []byte, err error) {
	body, err = json.Marshal(object)
	switch o := object.(type) {
	case publisher.Pool:
		return publisher.KindPool, o.Name, body, err
	case publisher.Pipeline:
		return publisher.KindPipeline, o.Name, body, err
	case publisher.Contract:
		return publisher.KindContract, o.Account, body, err
	default:
		return "", "", body, err
	}
}
