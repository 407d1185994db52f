package reducer_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"time"

	"geraniumline/publisher"
	"geraniumline/recorder"
	"geraniumline/reducer"
	"geraniumline/router"
)

// BenchmarkOneChange applies one change of a contract at an entry that holds many contracts.
func BenchmarkOneChange(b *testing.B) {
	for _, contracts := range []int{1000, 10_000, 43_000} {
		b.Run(strconv.Itoa(contracts), func(b *testing.B) {
			core := benchCore(contracts)
			offset := int64(contracts + 100)
			for b.Loop() {
				offset++
				record := benchContract(int(offset))
				record.Offset = offset
				core.Reduce(reducer.LogRead{Stream: reducer.StreamConfig, Records: []recorder.Record{record}, AtEnd: true}, benchEpoch)
			}
		})
	}
}

const (
	benchPipeline = "summary"
	benchPool     = "pool"
	benchTimeout  = 10 * time.Minute
	benchSlots    = 1 << 16
)

var benchEpoch = time.Unix(1_800_000_000, 0)

// benchConfiguration returns a pool, a pipeline and the given number of contracts as records of the configuration
// log.
func benchConfiguration(contracts int) []recorder.Record {
	pool, poolErr := json.Marshal(publisher.Pool{Name: benchPool, Kind: publisher.PoolService, SlotsPerEndpoint: benchSlots})
	pipeline := publisher.Pipeline{Name: benchPipeline}
	for _, name := range []string{"encode", "retrieve", "rerank", "generate"} {
		pipeline.Stages = append(pipeline.Stages, publisher.Stage{Name: name, Pool: benchPool, Repeatable: true, ExpectedMillis: 5})
	}
	body, bodyErr := json.Marshal(pipeline)
	records := []recorder.Record{
		benchChange(1, publisher.KindPool, benchPool, pool, poolErr),
		benchChange(2, publisher.KindPipeline, benchPipeline, body, bodyErr),
	}
	for i := range contracts {
		record := benchContract(i)
		record.Offset = int64(i + 3)
		records = append(records, record)
	}
	return records
}

// benchCore returns a core with one endpoint of many slots and one contract for each of the accounts.
func benchCore(accounts int) *reducer.Core {
	core := reducer.New(reducer.Config{
		Entry: "entry-1", Incarnation: 1, Zone: "zone-a", CallerAddress: benchAddress(1), PeerAddress: benchAddress(2),
		HeartbeatEvery: time.Hour, SuspectAfter: time.Hour, DeadAfter: time.Hour, AddressTTL: time.Second,
		KeyHorizon: time.Hour, MaxDeadline: benchTimeout, StageTimeout: benchTimeout, MaxOutcomes: 1000,
	}, benchEpoch)
	core.Reduce(reducer.LogRead{Stream: reducer.StreamConfig, Records: benchConfiguration(accounts), AtEnd: true}, benchEpoch)
	core.Reduce(reducer.VMsListed{Endpoints: []router.VM{{Address: benchAddress(3), Pool: benchPool, Zone: "zone-a"}}}, benchEpoch)
	return core
}

func benchContract(i int) recorder.Record {
	body, err := json.Marshal(publisher.Contract{
		Account: benchAccount(i), CredentialSha256: benchCredential(i), Weight: 1, RatePerSecond: 10, Burst: 20, Concurrency: 10,
		CostPerSecond: 1000, Urgency: publisher.Normal, Pipelines: []string{benchPipeline},
	})
	return benchChange(int64(i), publisher.KindContract, benchAccount(i), body, err)
}

func benchChange(offset int64, kind, name string, body []byte, err error) recorder.Record {
	if err != nil {
		panic(err) // the objects come from this file only
	}
	data, err := publisher.EncodeChange(publisher.Change{
		OperationID: fmt.Sprintf("operation-%d", offset), Operator: "operator", Kind: kind, Name: name, Body: body,
	})
	if err != nil {
		panic(err)
	}
	return recorder.Record{Offset: offset, AtMillis: benchEpoch.UnixMilli(), Data: data}
}

func benchAccount(i int) string { return fmt.Sprintf("account-%06d", i) }

func benchAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255) }

func benchCredential(i int) string { return fmt.Sprintf("%064x", i) }
