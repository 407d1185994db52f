package faker

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/platformserver"
)

const loadRetryMillis = 100

// holder keeps what an engine holds: a model in a version, adapters and a role.
type holder struct {
	cfg   EngineConfig
	mu    sync.Mutex
	state endpointserver.Assignment
	load  int64
}

func newHolder(cfg EngineConfig) *holder {
	return &holder{cfg: cfg, state: endpointserver.Assignment{
		Model:   cfg.Model,
		Version: cfg.Version,
		Role:    endpointserver.AssignmentRoleBoth,
	}}
}

func (h *holder) check(model string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if model == "" || h.state.Model == "" {
		return nil
	}
	if model != h.state.Model {
		return refuse(endpointserver.RefusalCodeFailed, fmt.Sprintf("model %s is not held", model))
	}
	if h.state.Loading {
		return &RefusedError{
			Code:             endpointserver.RefusalCodeOverloaded,
			Message:          fmt.Sprintf("model %s is loading", model),
			RetryAfterMillis: loadRetryMillis,
		}
	}
	return nil
}

func (h *holder) assignment() *endpointserver.Assignment {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.state
	state.Adapters = slices.Clone(h.state.Adapters)
	return &state
}

// take makes the order the engine's state. The number that it returns is the load to do, 0 for none.
func (h *holder) take(order *endpointserver.AssignmentOrder, ignoreFence bool) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ignoreFence && order.Fence < h.state.Fence {
		message := fmt.Sprintf("fence %d is below %d", order.Fence, h.state.Fence)
		return 0, refuse(endpointserver.RefusalCodeStaleFence, message)
	}
	same := order.Model == h.state.Model && order.Version == h.state.Version &&
		slices.Equal(order.Adapters, h.state.Adapters)
	h.state.Fence = order.Fence
	h.state.Role = endpointserver.AssignmentRole(order.Role)
	if same {
		return 0, nil
	}
	h.state.Model = order.Model
	h.state.Version = order.Version
	h.state.Adapters = slices.Clone(order.Adapters)
	h.state.Loading = true
	h.load++
	return h.load, nil
}

// loaded ends a load, unless a later order has begun another.
func (h *holder) loaded(load int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.load == load {
		h.state.Loading = false
	}
}

func (h *holder) fetch(ctx context.Context, model, version string) error {
	if h.cfg.WeightsURL == "" {
		return sleep(ctx, h.cfg.LoadTime)
	}
	client, err := platformserver.NewClient(h.cfg.WeightsURL)
	if err != nil {
		return err
	}
	for {
		_, err := client.GetWeights(ctx, platformserver.GetWeightsParams{Model: model, Version: version})
		if err == nil {
			return nil
		}
		if err := sleep(ctx, retryAfter(err)); err != nil {
			return err
		}
	}
}

func retryAfter(err error) time.Duration {
	var refused *platformserver.PlatformErrorStatusCode
	if errors.As(err, &refused) {
		return time.Duration(refused.Response.RetryAfterMillis.Or(loadRetryMillis)) * time.Millisecond
	}
	return loadRetryMillis * time.Millisecond
}

// GetAssignment returns what the engine holds now.
func (e *Endpoint) GetAssignment(context.Context) (*endpointserver.Assignment, error) {
	g, ok := e.work.(*generator)
	if !ok {
		return nil, refuse(endpointserver.RefusalCodeBadCall, "a service holds no model")
	}
	return g.holder.assignment(), nil
}

// OrderAssignment takes an order and loads what it names.
func (e *Endpoint) OrderAssignment(
	_ context.Context, order *endpointserver.AssignmentOrder,
) (*endpointserver.Assignment, error) {
	g, ok := e.work.(*generator)
	if !ok {
		return nil, refuse(endpointserver.RefusalCodeBadCall, "a service holds no model")
	}
	load, err := g.holder.take(order, e.faults.get().IgnoreOrderFence)
	if err != nil {
		return nil, err
	}
	if load > 0 {
		g.cache.clear(time.Now())
		e.wg.Go(func() {
			if g.holder.fetch(e.ctx, order.Model, order.Version) == nil {
				g.holder.loaded(load)
			}
		})
	}
	return g.holder.assignment(), nil
}
