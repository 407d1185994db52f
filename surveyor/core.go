package surveyor

import (
	"encoding/json"
	"time"

	"geraniumline/endpointserver"
	"geraniumline/publisher"
	"geraniumline/recorder"
	"geraniumline/reducer"
	"geraniumline/router"
)

const (
	pipelineName  = "summary"
	surveyPool    = "pool"
	surveyTimeout = 10 * time.Minute
	surveySlots   = 1 << 16
)

// configuration is a pool, a pipeline and contracts, as records of the log.
func configuration(contracts int) []recorder.Record {
	pool, poolErr := json.Marshal(publisher.Pool{Name: surveyPool, Kind: publisher.PoolService, SlotsPerEndpoint: surveySlots})
	pipeline := publisher.Pipeline{Name: pipelineName}
	for _, name := range []string{"encode", "retrieve", "rerank", "generate"} {
		pipeline.Stages = append(pipeline.Stages, publisher.Stage{Name: name, Pool: surveyPool, Repeatable: true, ExpectedMillis: 5})
	}
	body, bodyErr := json.Marshal(pipeline)
	records := []recorder.Record{
		changeRecord(1, publisher.KindPool, surveyPool, pool, poolErr),
		changeRecord(2, publisher.KindPipeline, pipelineName, body, bodyErr),
	}
	for i := range contracts {
		record := contractRecord(i)
		record.Offset = int64(i + 3)
		records = append(records, record)
	}
	return records
}

// newCore makes a core with one endpoint of many slots and a contract for each of some accounts.
func newCore(accounts int) *reducer.Core {
	core := reducer.New(reducer.Config{
		Entry: "entry-1", Incarnation: 1, Zone: "zone-a", CallerAddress: address(1), PeerAddress: address(2),
		HeartbeatEvery: time.Hour, SuspectAfter: time.Hour, DeadAfter: time.Hour, AddressTTL: time.Second,
		KeyHorizon: time.Hour, MaxDeadline: surveyTimeout, StageTimeout: surveyTimeout, OutcomesKept: 1000,
	}, epoch)
	core.Reduce(reducer.LogRead{Stream: reducer.StreamConfig, Records: configuration(accounts), AtEnd: true}, epoch)
	core.Reduce(reducer.VMsListed{Endpoints: []router.VM{{Address: address(3), Pool: surveyPool, Zone: "zone-a"}}}, epoch)
	return core
}

// surveyAccounts spreads requests so that no contract's limit is reached.
const surveyAccounts = 4000

func arrival(id int, accountOf int) *reducer.RequestArrived {
	return &reducer.RequestArrived{
		ID:          uint64(id + 1),
		Credentials: reducer.Credentials{Account: account(accountOf), Hash: credentialOf(accountOf)},
		Pipeline:    pipelineName,
		Key:         keyOf(id),
		Input:       "what does the ward need?",
		Deadline:    5 * time.Minute,
	}
}

// requestMicros takes n requests through all stages, one after another.
func requestMicros(n int) float64 {
	core := newCore(surveyAccounts)
	arrivals := make([]*reducer.RequestArrived, n)
	for i := range arrivals {
		arrivals[i] = arrival(i, i%surveyAccounts)
	}
	now := epoch
	return micros(func() {
		for _, e := range arrivals {
			now = now.Add(time.Millisecond)
			finish(core, core.Reduce(e, now), now)
		}
	})
}

// finish answers each stage call at once with a single final part.
func finish(core *reducer.Core, effects []reducer.Effect, now time.Time) {
	for {
		call := callIn(effects)
		if call == nil {
			return
		}
		part := &reducer.StagePartArrived{Call: call.Call, Part: endpointserver.StagePart{
			RequestId: call.Body.RequestId, Stage: call.Body.Stage, Attempt: call.Body.Attempt, StreamId: "s",
			Text: "text", Final: true, Total: endpointserver.NewOptInt(1), Cost: endpointserver.NewOptFloat64(5),
		}}
		effects = core.Reduce(part, now)
	}
}

func callIn(effects []reducer.Effect) *reducer.CallStage {
	for _, effect := range effects {
		if call, ok := effect.(*reducer.CallStage); ok {
			return call
		}
	}
	return nil
}

// coreWith holds n requests in flight.
func coreWith(n int) *reducer.Core {
	core := newCore(surveyAccounts)
	for i := range n {
		core.Reduce(arrival(i, i%surveyAccounts), epoch)
	}
	return core
}
