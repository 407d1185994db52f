package faker

import (
	"context"
	"fmt"
	"time"

	"geraniumline/endpointserver"
)

// Bounds and measures of a call to an engine.
const (
	maxTokensOfCall = 4096
	bytesPerToken   = 4
)

// EngineConfig describes a model engine. Zero fields take the defaults in brackets.
type EngineConfig struct {
	EndpointConfig
	// Model and Version are held from the start; an engine without a model takes calls for any.
	Model   string
	Version string
	// TokenTime is the time per token produced [2 ms].
	TokenTime time.Duration
	// TokenTimeGrowth adds this share of TokenTime for each further running call.
	TokenTimeGrowth float64
	// PrefillTime is the time per input token that the prefix cache does not hold [20 us].
	PrefillTime time.Duration
	// Tokens is how many a call without maxTokens gets [16].
	Tokens int
	// CacheBlocks bounds the prefix cache [1024].
	CacheBlocks int
	// CacheEventDelay is how late cache events appear [200 ms].
	CacheEventDelay time.Duration
	// LoadTime is the time to load a model without a weight store [500 ms].
	LoadTime time.Duration
	// WeightsURL is the weight store's address, as http://host:port; without it LoadTime holds.
	WeightsURL string
}

// NewEngine starts a stand-in of a model engine.
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

// generator produces tokens, as many calls side by side as the endpoint has slots.
type generator struct {
	cfg        EngineConfig
	cache      *prefixCache
	assignment *assignmentState
}

// generation is what a run needs to know of its endpoint while it goes on.
type generation struct {
	input      string
	slowFactor func() float64
	running    func() int
	isLost     func() bool
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

// prefill works off the part of the input that the prefix cache does not hold, then stores it there.
func (g *generator) prefill(ctx context.Context, run generation) (int, error) {
	prefixes := PrefixHashes(run.input)
	total := (len(run.input) + bytesPerToken - 1) / bytesPerToken
	cached := g.cache.match(prefixes) * BlockBytes / bytesPerToken
	uncached := float64(total - cached)
	if err := sleep(ctx, scale(g.cfg.PrefillTime, uncached*run.slowFactor())); err != nil {
		return cached, err
	}
	g.cache.store(prefixes, time.Now(), run.isLost)
	return cached, nil
}

func (g *generator) tokenTime(run generation) time.Duration {
	growth := g.cfg.TokenTimeGrowth * float64(run.running()-1)
	return scale(g.cfg.TokenTime, run.slowFactor()*(1+growth))
}
