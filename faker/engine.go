package faker

import (
	"context"
	"fmt"
	"time"

	"geraniumline/endpointserver"
)

// Limits and units of an engine call.
const (
	maxTokensOfCall = 4096
	bytesPerToken   = 4
)

// EngineConfig configures a model engine. Zero fields take the defaults given in brackets.
type EngineConfig struct {
	EndpointConfig
	// Model and Version are loaded from the start; an engine without a model accepts calls for any model.
	Model   string
	Version string
	// TokenTime is the time per generated token [2 ms].
	TokenTime time.Duration
	// TokenTimeGrowth is the share of TokenTime that is added for each additional running call.
	TokenTimeGrowth float64
	// PrefillTime is the time per input token that is not in the prefix cache [20 us].
	PrefillTime time.Duration
	// Tokens is the number of tokens generated for a call without maxTokens [16].
	Tokens int
	// CacheBlocks is the capacity of the prefix cache in blocks [1024].
	CacheBlocks int
	// CacheEventDelay is the delay until a cache event can be read [200 ms].
	CacheEventDelay time.Duration
	// LoadTime is the time to load a model without a weight store [500 ms].
	LoadTime time.Duration
	// WeightsURL is the URL of the weight store, as http://host:port; if empty, LoadTime is used.
	WeightsURL string
}

// NewEngine starts a model engine stand-in.
func NewEngine(cfg EngineConfig) *Endpoint {
	cfg.TokenTime = valueOrDefault(cfg.TokenTime, 2*time.Millisecond)
	cfg.PrefillTime = valueOrDefault(cfg.PrefillTime, 20*time.Microsecond)
	cfg.Tokens = valueOrDefault(cfg.Tokens, 16)
	cfg.CacheBlocks = valueOrDefault(cfg.CacheBlocks, 1024)
	cfg.CacheEventDelay = valueOrDefault(cfg.CacheEventDelay, 200*time.Millisecond)
	cfg.LoadTime = valueOrDefault(cfg.LoadTime, 500*time.Millisecond)
	g := &generator{
		cfg:        cfg,
		cache:      newPrefixCache(cfg.CacheBlocks),
		assignment: newAssignmentState(cfg),
	}
	return newEndpoint(cfg.EndpointConfig, g)
}

// generator produces the tokens of an engine's calls. The endpoint runs up to Slots calls concurrently.
type generator struct {
	cfg        EngineConfig
	cache      *prefixCache
	assignment *assignmentState
}

// generation holds the input of a run and callbacks that return the current state of its endpoint.
type generation struct {
	input       string
	slowFactor  func() float64
	running     func() int
	isEventLost func() bool
}

func (g *generator) check(call *endpointserver.StageCall) error {
	if n := call.MaxTokens.Or(1); n < 1 || n > maxTokensOfCall {
		message := fmt.Sprintf("maxTokens is %d, want 1 to %d", n, maxTokensOfCall)
		return refuse(endpointserver.RefusalCodeBadCall, message)
	}
	return g.assignment.checkModel(call.Model.Or(""))
}

func (g *generator) generate(ctx context.Context, s *stream, run generation) (result, error) {
	cached, err := g.prefill(ctx, run)
	if err != nil {
		return result{cachedTokens: cached}, err
	}
	texts := s.output.parts()
	due := time.Now()
	for i, text := range texts {
		due = due.Add(g.tokenTime(run))
		if err := sleep(ctx, time.Until(due)); err != nil {
			return result{cachedTokens: cached}, err
		}
		if i < len(texts)-1 {
			s.push(text)
		}
	}
	return result{lastText: texts[len(texts)-1], cachedTokens: cached}, nil
}

// prefill processes the part of the input that is not in the prefix cache and stores the prefixes there.
// It returns the number of cached input tokens.
func (g *generator) prefill(ctx context.Context, run generation) (int, error) {
	prefixes := PrefixHashes(run.input)
	total := (len(run.input) + bytesPerToken - 1) / bytesPerToken
	cached := g.cache.match(prefixes) * BlockBytes / bytesPerToken
	uncached := float64(total - cached)
	if err := sleep(ctx, scale(g.cfg.PrefillTime, uncached*run.slowFactor())); err != nil {
		return cached, err
	}
	g.cache.store(prefixes, time.Now(), run.isEventLost)
	return cached, nil
}

func (g *generator) tokenTime(run generation) time.Duration {
	growth := g.cfg.TokenTimeGrowth * float64(run.running()-1)
	return scale(g.cfg.TokenTime, run.slowFactor()*(1+growth))
}
