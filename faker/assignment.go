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

// assignmentState holds the current assignment of an engine: the model and its version, the adapters and
// the role.
type assignmentState struct {
	cfg     EngineConfig
	mu      sync.Mutex
	current endpointserver.Assignment
	loadID  int64
}

func newAssignmentState(cfg EngineConfig) *assignmentState {
	return &assignmentState{cfg: cfg, current: endpointserver.Assignment{
		Model:   cfg.Model,
		Version: cfg.Version,
		Role:    endpointserver.AssignmentRoleBoth,
	}}
}

func (a *assignmentState) checkModel(model string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if model == "" || a.current.Model == "" {
		return nil
	}
	if model != a.current.Model {
		return refuse(endpointserver.RefusalCodeFailed, fmt.Sprintf("model %s is not held", model))
	}
	if a.current.Loading {
		return &RefusedError{
			Code:             endpointserver.RefusalCodeOverloaded,
			Message:          fmt.Sprintf("model %s is loading", model),
			RetryAfterMillis: loadRetryMillis,
		}
	}
	return nil
}

func (a *assignmentState) snapshot() *endpointserver.Assignment {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := a.current
	current.Adapters = slices.Clone(a.current.Adapters)
	return &current
}

// applyOrder makes the order the engine's assignment. It returns the id of the load that the caller must
// run, or 0 if nothing needs to be loaded.
func (a *assignmentState) applyOrder(order *endpointserver.AssignmentOrder, ignoreFence bool) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !ignoreFence && order.Fence < a.current.Fence {
		message := fmt.Sprintf("fence %d is below %d", order.Fence, a.current.Fence)
		return 0, refuse(endpointserver.RefusalCodeStaleFence, message)
	}
	unchanged := order.Model == a.current.Model && order.Version == a.current.Version &&
		slices.Equal(order.Adapters, a.current.Adapters)
	a.current.Fence = order.Fence
	a.current.Role = endpointserver.AssignmentRole(order.Role)
	if unchanged {
		return 0, nil
	}
	a.current.Model = order.Model
	a.current.Version = order.Version
	a.current.Adapters = slices.Clone(order.Adapters)
	a.current.Loading = true
	a.loadID++
	return a.loadID, nil
}

// finishLoad marks a load as finished, unless a later order has started another one.
func (a *assignmentState) finishLoad(loadID int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.loadID == loadID {
		a.current.Loading = false
	}
}

func (a *assignmentState) loadWeights(ctx context.Context, model, version string) error {
	if a.cfg.WeightsURL == "" {
		return sleep(ctx, a.cfg.LoadTime)
	}
	client, err := platformserver.NewClient(a.cfg.WeightsURL)
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

// GetAssignment returns the current assignment of the engine, or a RefusedError for a service.
func (e *Endpoint) GetAssignment(context.Context) (*endpointserver.Assignment, error) {
	g, ok := e.processor.(*generator)
	if !ok {
		return nil, refuse(endpointserver.RefusalCodeBadCall, "a service holds no model")
	}
	return g.assignment.snapshot(), nil
}

// OrderAssignment applies an assignment order and loads the model in the background. It returns a
// RefusedError for a service and for a stale fence.
func (e *Endpoint) OrderAssignment(
	_ context.Context, order *endpointserver.AssignmentOrder,
) (*endpointserver.Assignment, error) {
	g, ok := e.processor.(*generator)
	if !ok {
		return nil, refuse(endpointserver.RefusalCodeBadCall, "a service holds no model")
	}
	loadID, err := g.assignment.applyOrder(order, e.faults.get().IgnoreOrderFence)
	if err != nil {
		return nil, err
	}
	if loadID > 0 {
		g.cache.clear(time.Now())
		e.wg.Go(func() {
			if g.assignment.loadWeights(e.ctx, order.Model, order.Version) == nil {
				g.assignment.finishLoad(loadID)
			}
		})
	}
	return g.assignment.snapshot(), nil
}
