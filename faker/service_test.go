package faker_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/faker"
)

func serviceConfig(faults faker.Faults) faker.ServiceConfig {
	return faker.ServiceConfig{
		EndpointConfig: faker.EndpointConfig{Faults: faults},
		ServiceTime:    time.Microsecond,
		Variation:      0.5,
	}
}

// A call with a side effect is sent with fence 7 and then again, by an entry that cannot know whether the
// first call ran. If fences are checked, only a call with a higher fence runs again.
func TestServiceFences(t *testing.T) {
	scenarios := []struct {
		testName     string
		second       int64
		ignoreFence  bool
		expectedCode endpointserver.RefusalCode
		expectedRuns int64
	}{
		{"lower is refused", 6, false, endpointserver.RefusalCodeStaleFence, 1},
		{"equal gets the stored result", 7, false, "", 1},
		{"higher runs", 8, false, "", 2},
		{"ignored fence runs", 7, true, "", 2},
		{"call without fence runs", 0, false, "", 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			e := faker.NewService(serviceConfig(faker.Faults{IgnoreFence: s.ignoreFence}))
			url := serveEndpoint(t, e)
			first := runCall(t, url, sideEffectCall("r1", 7))
			call := sideEffectCall("r1", s.second)
			call.Attempt = 2
			reader := openCall(t, url, call)
			if s.expectedCode != "" {
				require.Equal(t, s.expectedCode, refusalCode(t, reader))
			} else {
				second := reader.readAll(t)
				require.Equal(t, textOf(first), textOf(second))
				require.Equal(t, 2, second[0].Attempt)
			}
			require.Equal(t, s.expectedRuns, e.Ledger().Started)
			require.Equal(t, s.expectedRuns > 1, len(faker.RepeatedSideEffects(e.Ledger().Executions)) > 0)
		})
	}
}

// Concurrent callers send the same side effect with the same fence. It must run once and all callers must get
// its output.
func TestServiceRunsEqualFenceOnce(t *testing.T) {
	e := faker.NewService(serviceConfig(faker.Faults{}))
	url := serveEndpoint(t, e)
	replies := make([]string, 16)
	var wg sync.WaitGroup
	for i := range replies {
		wg.Go(func() { replies[i] = textOf(runCall(t, url, sideEffectCall("r1", 7))) })
	}
	wg.Wait()
	for _, reply := range replies {
		require.Equal(t, faker.ExpectedOutput("generate", "r1", "input of r1", 1), reply)
	}
	require.Equal(t, int64(1), e.Ledger().Started)
}

// Each of these switches refuses the call, so the ledger must not contain an execution.
func TestRefusedCallsAreNotRun(t *testing.T) {
	scenarios := []struct {
		testName     string
		faults       faker.Faults
		expectedCode endpointserver.RefusalCode
	}{
		{"fail fast", faker.Faults{FailFast: true}, endpointserver.RefusalCodeFailed},
		{"error rate", faker.Faults{ErrorRate: 1}, endpointserver.RefusalCodeFailed},
		{"leaving", faker.Faults{Leaving: true}, endpointserver.RefusalCodeLeaving},
		{"refuse all", faker.Faults{RefuseAll: true}, endpointserver.RefusalCodeOverloaded},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			e := faker.NewService(serviceConfig(s.faults))
			reader := openCall(t, serveEndpoint(t, e), stageCall("r1"))
			require.Equal(t, s.expectedCode, refusalCode(t, reader))
			load, err := e.GetLoad(testContext(t))
			require.NoError(t, err)
			require.Equal(t, s.faults.Leaving, load.Leaving)
			require.Empty(t, e.Ledger().Executions)
		})
	}
}

// The connection is closed without any reply, so the caller cannot distinguish a call that ran from one that
// crashed the endpoint before it ran. Only the ledger shows the difference.
func TestLostReplies(t *testing.T) {
	scenarios := []struct {
		testName        string
		faults          faker.Faults
		expectedRuns    []faker.Outcome
		expectedCrashes int64
	}{
		{"ran", faker.Faults{DropReplyAfterRun: true}, []faker.Outcome{faker.OutcomeDone}, 0},
		{"crashed", faker.Faults{CrashOnInput: "of r1"}, []faker.Outcome{}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var crashes atomic.Int64
			cfg := serviceConfig(s.faults)
			cfg.OnCrash = func() { crashes.Add(1) }
			e := faker.NewService(cfg)
			client := endpointClient(t, serveEndpoint(t, e))
			_, err := client.RunStage(testContext(t), stageCall("r1"))
			require.Error(t, err)
			require.Equal(t, s.expectedRuns, outcomes(e))
			require.Equal(t, s.expectedCrashes, crashes.Load())
		})
	}
}

func TestHangingServiceRunsCallAfterHangEnds(t *testing.T) {
	e := faker.NewService(serviceConfig(faker.Faults{Hang: true}))
	url := serveEndpoint(t, e)
	answers := make(chan []endpointserver.StagePart, 1)
	go func() {
		defer close(answers) // A failed call ends the goroutine without sending an answer.
		answers <- runCall(t, url, stageCall("r1"))
	}()
	eventually(t, func() bool {
		load, err := e.GetLoad(testContext(t))
		return err == nil && load.Running == 1
	})
	require.Empty(t, e.Ledger().Executions)
	e.SetFaults(faker.Faults{})
	require.Equal(t, faker.ExpectedOutput("generate", "r1", "input of r1", 1), textOf(<-answers))
}

// The stages before generation keep the account's instructions at the start of the text, so that engines can
// cache them. The kept prefix must not split a UTF-8 character.
func TestServiceKeepsPrefix(t *testing.T) {
	cfg := serviceConfig(faker.Faults{})
	cfg.KeepPrefix = 5
	call := stageCall("r1")
	call.Input = "Bé é rule"
	parts := runCall(t, serveEndpoint(t, faker.NewService(cfg)), call)
	stages := []faker.ExpectedStage{{Name: "generate", Tokens: 1, KeepPrefix: 5}}
	require.Equal(t, faker.ExpectedPipelineOutput("r1", call.Input, stages), textOf(parts))
	require.Equal(t, "Bé generate:r1:", textOf(parts)[:len("Bé generate:r1:")])
}

func TestRunErrorIsInFinalPart(t *testing.T) {
	e := faker.NewService(serviceConfig(faker.Faults{RunErrorRate: 1}))
	parts := runCall(t, serveEndpoint(t, e), stageCall("r1"))
	require.True(t, parts[0].Final)
	require.NotEmpty(t, parts[0].Error.Value)
	require.Equal(t, []faker.Outcome{faker.OutcomeFailed}, outcomes(e))
}

func TestBadCallsAreRefused(t *testing.T) {
	e := faker.NewService(serviceConfig(faker.Faults{}))
	reader := openCall(t, serveEndpoint(t, e), &endpointserver.StageCall{})
	require.Equal(t, http.StatusBadRequest, reader.resp.StatusCode)
	require.Equal(t, endpointserver.RefusalCodeBadCall, refusalCode(t, reader))
}
