package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumline/faker"
)

// serviceTimes maps each kind of service to the default duration of a call.
var serviceTimes = map[string]time.Duration{
	"encoder":   3 * time.Millisecond,
	"retriever": 6 * time.Millisecond,
	"reranker":  8 * time.Millisecond,
	"plain":     5 * time.Millisecond,
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine",
		Flags: append(endpointFlags("engine"),
			&cli.StringFlag{Name: "model", Usage: "held from the start; without it calls for any model are taken"},
			&cli.StringFlag{Name: "version", Usage: "of the model"},
			&cli.DurationFlag{Name: "token-time", Value: 2 * time.Millisecond, Usage: "per token produced"},
			&cli.FloatFlag{Name: "token-time-growth", Usage: "share of token-time added per further running call"},
			&cli.DurationFlag{Name: "prefill-time", Value: 20 * time.Microsecond, Usage: "per input token not cached"},
			&cli.IntFlag{Name: "tokens", Value: 16, Usage: "of a call without maxTokens"},
			&cli.IntFlag{Name: "cache-blocks", Value: 1024, Usage: "blocks of 64 bytes of input in the prefix cache"},
			&cli.DurationFlag{Name: "cache-event-delay", Value: 200 * time.Millisecond, Usage: "how late cache events appear"},
			&cli.DurationFlag{Name: "load-time", Value: 500 * time.Millisecond, Usage: "of a model, without a weight store"},
			&cli.StringFlag{Name: "weights", Usage: "the weight store, as http://host:port"},
			&cli.BoolFlag{Name: "ignore-order-fence", Usage: "take orders whatever their fence says"},
		),
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, cmd *cli.Command) error {
	cfg := faker.EngineConfig{
		EndpointConfig:  endpointConfig(cmd),
		Model:           cmd.String("model"),
		Version:         cmd.String("version"),
		TokenTime:       cmd.Duration("token-time"),
		TokenTimeGrowth: cmd.Float("token-time-growth"),
		PrefillTime:     cmd.Duration("prefill-time"),
		Tokens:          cmd.Int("tokens"),
		CacheBlocks:     cmd.Int("cache-blocks"),
		CacheEventDelay: cmd.Duration("cache-event-delay"),
		LoadTime:        cmd.Duration("load-time"),
		WeightsURL:      cmd.String("weights"),
	}
	cfg.Faults.IgnoreOrderFence = cmd.Bool("ignore-order-fence")
	if err := checkFlags(cmd, cfg.Check()); err != nil {
		return err
	}
	return serveEndpoint(ctx, cmd, faker.NewEngine(cfg))
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "an encoder, retriever, reranker or plain service",
		Flags: append(endpointFlags("service"),
			&cli.StringFlag{Name: "kind", Value: "plain", Usage: "encoder, retriever, reranker or plain"},
			&cli.DurationFlag{Name: "service-time", Usage: "of one call; 0 takes the kind's own"},
			&cli.FloatFlag{Name: "variation", Value: 0.2, Usage: "share by which it varies up and down"},
			&cli.IntFlag{Name: "keep-prefix", Usage: "bytes of the input that an answer begins with"},
		),
		Action: runService,
	}
}

func runService(ctx context.Context, cmd *cli.Command) error {
	kind := cmd.String("kind")
	defaultTime, ok := serviceTimes[kind]
	if !ok {
		return &usageError{fmt.Errorf("kind is %q, want one of %v", kind, slices.Sorted(maps.Keys(serviceTimes)))}
	}
	cfg := faker.ServiceConfig{
		EndpointConfig: endpointConfig(cmd),
		ServiceTime:    cmd.Duration("service-time"),
		Variation:      cmd.Float("variation"),
		KeepPrefix:     cmd.Int("keep-prefix"),
	}
	if cfg.ServiceTime == 0 {
		cfg.ServiceTime = defaultTime
	}
	if err := checkFlags(cmd, cfg.Check()); err != nil {
		return err
	}
	return serveEndpoint(ctx, cmd, faker.NewService(cfg))
}

func serveEndpoint(ctx context.Context, cmd *cli.Command, e *faker.Endpoint) error {
	return serve(ctx, cmd, faker.ServeConfig{Handler: e.Handler(), Close: e.Close})
}
