package faker

import (
	"context"
	"time"
)

// ServiceConfig configures an encoder, a retriever, a reranker or a plain service.
type ServiceConfig struct {
	EndpointConfig
	// ServiceTime is the mean processing time of one call [5 ms].
	ServiceTime time.Duration
	// Variation is the maximum relative deviation from ServiceTime, from 0 to 1.
	Variation float64
	// KeepPrefix is the number of leading input bytes that are copied to the start of the output. It
	// models the instructions of an account, which pass through the stages before generation.
	KeepPrefix int
}

// NewService starts a service stand-in, which answers each call with a single final part.
func NewService(cfg ServiceConfig) *Endpoint {
	responder := &responder{
		serviceTime: valueOrDefault(cfg.ServiceTime, 5*time.Millisecond),
		variation:   cfg.Variation,
		keepPrefix:  cfg.KeepPrefix,
	}
	return newEndpoint(cfg.EndpointConfig, responder)
}

type responder struct {
	serviceTime time.Duration
	variation   float64
	keepPrefix  int
}

// respond sleeps for the service time, varied by random, which is from 0 to 1, and returns the output.
func (r *responder) respond(ctx context.Context, s *stream, slowFactor, random float64) (result, error) {
	factor := slowFactor * (1 + r.variation*(2*random-1))
	if err := sleep(ctx, scale(r.serviceTime, factor)); err != nil {
		return result{}, err
	}
	return result{lastText: s.output.parts()[0]}, nil
}
