package faker

import (
	"context"
	"time"
)

// ServiceConfig describes an encoder, a retriever, a reranker or a plain service.
type ServiceConfig struct {
	EndpointConfig
	// ServiceTime is the work of one call [5 ms].
	ServiceTime time.Duration
	// Variation is the share by which the work varies up and down, from 0 to 1.
	Variation float64
	// KeepPrefix is how many bytes of the input an answer begins with, as the instructions of an
	// account pass through the stages before generation.
	KeepPrefix int
}

// NewService starts a stand-in of a service, which answers each call by one final part.
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

// answer works for the service time, varied by random, which is from 0 to 1.
func (a *responder) respond(ctx context.Context, s *stream, slowFactor, random float64) (result, error) {
	factor := slowFactor * (1 + a.variation*(2*random-1))
	if err := sleep(ctx, scale(a.serviceTime, factor)); err != nil {
		return result{}, err
	}
	return result{lastText: s.output.parts()[0]}, nil
}
