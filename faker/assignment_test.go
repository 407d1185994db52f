package faker_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/faker"
)

func assignmentOrder(fence int64, model string) *endpointserver.AssignmentOrder {
	return &endpointserver.AssignmentOrder{
		Fence: fence, Model: model, Version: "1", Role: endpointserver.AssignmentOrderRoleBoth,
	}
}

// Two orderers hold the lease one after the other, and the earlier one sends its order last, after a pause.
// An engine that checks fencing numbers refuses that order; an engine that ignores them applies it.
func TestEngineChecksOrderFence(t *testing.T) {
	scenarios := []struct {
		testName      string
		ignoreFence   bool
		expectedModel string
	}{
		{"checks fences", false, "new"},
		{"ignores fences", true, "old"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx := testContext(t)
			cfg := fastEngine()
			cfg.Model = "first"
			cfg.Faults.IgnoreOrderFence = s.ignoreFence
			client := endpointClient(t, serveEndpoint(t, faker.NewEngine(cfg)))
			_, err := client.OrderAssignment(ctx, assignmentOrder(8, "new"))
			require.NoError(t, err)
			_, err = client.OrderAssignment(ctx, assignmentOrder(8, "new"))
			require.NoError(t, err)
			_, err = client.OrderAssignment(ctx, assignmentOrder(7, "old"))
			var refused *endpointserver.RefusalStatusCode
			require.Equal(t, !s.ignoreFence, errors.As(err, &refused))
			if refused != nil {
				require.Equal(t, endpointserver.RefusalCodeStaleFence, refused.Response.Code)
			}
			eventually(t, func() bool {
				state, err := client.GetAssignment(ctx)
				return err == nil && !state.Loading && state.Model == s.expectedModel
			})
		})
	}
}

// The engine loads a model from a weight store that starts one load at a time and is down at first. Calls
// for the new model are refused until the load is done, and calls for the previous model afterwards.
func TestEngineLoadsFromWeightStore(t *testing.T) {
	ctx := testContext(t)
	weights := faker.NewWeights(faker.WeightsConfig{LoadsPerSecond: 50, Burst: 1, TransferTime: 1})
	weights.SetFaults(faker.WeightFaults{Outage: faker.OutageFail})
	cfg := fastEngine()
	cfg.Model = "first"
	cfg.WeightsURL = serve(t, weights.Handler(), func() {})
	url := serveEndpoint(t, faker.NewEngine(cfg))
	state, err := endpointClient(t, url).OrderAssignment(ctx, assignmentOrder(1, "second"))
	require.NoError(t, err)
	require.True(t, state.Loading)
	call := stageCall("r1")
	call.Model = endpointserver.NewOptString("second")
	require.Equal(t, endpointserver.RefusalCodeOverloaded, refusalCode(t, openCall(t, url, call)))
	weights.SetFaults(faker.WeightFaults{})
	eventually(t, func() bool {
		state, err := endpointClient(t, url).GetAssignment(ctx)
		return err == nil && !state.Loading
	})
	require.Len(t, runCall(t, url, call), 6)
	call.Model = endpointserver.NewOptString("first")
	require.Equal(t, endpointserver.RefusalCodeFailed, refusalCode(t, openCall(t, url, call)))
	require.Equal(t, map[string]int64{"second@1": 1}, weights.Ledger().Loads)
}
