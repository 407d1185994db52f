// Package demonstrator shows the whole path: it starts a fleet on loopback, publishes pipelines and
// contracts, sends requests of all accounts and counts at the endpoints' own ledgers.
package demonstrator

import (
	"encoding/json"

	"geraniumline/publisher"
	"geraniumline/starter"
	"geraniumline/verifier"
)

// The pipelines of the demo.
const (
	pipelineSummary = "case-summary"
	pipelineTicket  = "ticket-log"
)

// Pools are the demo's stand-ins.
func Pools() []starter.Pool {
	return []starter.Pool{
		{Name: "encoders", Kind: "encoder", Endpoints: 3},
		{Name: "retrievers", Kind: "retriever", Endpoints: 3},
		{Name: "rerankers", Kind: "reranker", Endpoints: 3},
		{Name: "engines", Kind: "engine", Endpoints: 10, Args: []string{"--model", "writer"}},
		{Name: "tickets", Kind: "plain", Endpoints: 3},
	}
}

const generatedTokens = 16

// Objects are the demo's pools and pipelines as configuration.
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

// SummaryPipeline is the pipeline whose stages may all be repeated.
func SummaryPipeline() publisher.Pipeline {
	return publisher.Pipeline{Name: pipelineSummary, Stages: []publisher.Stage{
		{Name: "encode", Pool: "encoders", Repeatable: true, ExpectedMillis: 5},
		{Name: "retrieve", Pool: "retrievers", Repeatable: true, ExpectedMillis: 3},
		{Name: "rerank", Pool: "rerankers", Repeatable: true, ExpectedMillis: 6},
		{Name: "generate", Pool: "engines", Model: "writer", MaxTokens: generatedTokens, Repeatable: true, ExpectedMillis: 40},
	}}
}

// TicketPipeline is the pipeline whose last stage must not be repeated.
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
	Rate       float64
	// Requests is how many the demo sends for it.
	Requests int
}

// Accounts are one small, two middling and two large accounts.
func Accounts() []Account {
	return []Account{
		{Name: "school-station", Credential: verifier.GenerateCredential(), Weight: 1, Rate: 20, Requests: 30},
		{Name: "weather-club", Credential: verifier.GenerateCredential(), Weight: 2, Rate: 50, Requests: 60},
		{Name: "ward-office", Credential: verifier.GenerateCredential(), Weight: 2, Rate: 50, Requests: 60},
		{Name: "crew-briefing", Credential: verifier.GenerateCredential(), Weight: 8, Rate: 200, Requests: 130},
		{Name: "rain-alerts", Credential: verifier.GenerateCredential(), Weight: 8, Rate: 200, Requests: 130},
	}
}

// costOfRequest is what a request of the demo costs at most, in endpoint milliseconds.
const costOfRequest = 200

// Contract is an account's contract.
func (a Account) Contract() publisher.Contract {
	return publisher.Contract{
		Account:          a.Name,
		CredentialSha256: verifier.HashCredential(a.Credential),
		Weight:           a.Weight,
		RatePerSecond:    a.Rate,
		Burst:            a.Rate,
		Concurrency:      int(a.Rate),
		CostPerSecond:    a.Rate * costOfRequest,
		Urgency:          publisher.Normal,
		Pipelines:        []string{pipelineSummary, pipelineTicket},
	}
}

// nameOf gives an object's kind, name and body.
func nameOf(object any) (kind, name string, body []byte, err error) {
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
