package faker_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/endpointserver"
	"geraniumline/faker"
)

// fastEngine returns the configuration of an engine with one slot, so that a test controls which calls run
// at the same time.
func fastEngine() faker.EngineConfig {
	return faker.EngineConfig{
		EndpointConfig:  faker.EndpointConfig{Slots: 1, MaxWaiting: 8, LoadLag: 1},
		TokenTime:       time.Microsecond,
		CacheEventDelay: 1,
		LoadTime:        time.Millisecond,
		Tokens:          6,
	}
}

// endlessCall returns a call that occupies a slot of a slow engine until it is cancelled.
func endlessCall(requestID string) *endpointserver.StageCall {
	call := stageCall(requestID)
	call.MaxTokens = endpointserver.NewOptInt(4096)
	return call
}

func slowEngine() faker.EngineConfig {
	cfg := fastEngine()
	cfg.TokenTime = 50 * time.Millisecond
	return cfg
}

func endpointClient(t *testing.T, url string) *endpointserver.Client {
	client, err := endpointserver.NewClient(url)
	require.NoError(t, err)
	return client
}

func cancelStream(t *testing.T, url, streamID string) {
	params := endpointserver.CancelStreamParams{StreamId: streamID}
	require.NoError(t, endpointClient(t, url).CancelStream(testContext(t), params))
}

func resume(t *testing.T, url, streamID string, from int) *partReader {
	resp, err := http.Get(fmt.Sprintf("%s/v1/streams/%s?from=%d", url, streamID, from))
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return newPartReader(resp)
}

func TestEngineSendsCompleteStream(t *testing.T) {
	e := faker.NewEngine(fastEngine())
	parts := runCall(t, serveEndpoint(t, e), stageCall("r1"))
	require.Len(t, parts, 6)
	for i, part := range parts {
		require.Equal(t, i, part.Seq)
		require.Equal(t, "r1", part.RequestId)
		require.Equal(t, i == 5, part.Final)
	}
	require.Equal(t, 6, parts[5].Total.Value)
	require.Positive(t, parts[5].Cost.Value)
	require.Equal(t, faker.ExpectedOutput("generate", "r1", "input of r1", 6), textOf(parts))
	require.Equal(t, []faker.Outcome{faker.OutcomeDone}, outcomes(e))
}

// The first part arrives while the engine is still running. The caller then cancels the call by stream id,
// which ends the stream with an error and releases the only slot for the next call.
func TestEngineStreamsImmediatelyAndCancels(t *testing.T) {
	e := faker.NewEngine(slowEngine())
	url := serveEndpoint(t, e)
	reader := openCall(t, url, endlessCall("r1"))
	first, ok := reader.next(t)
	require.True(t, ok)
	require.Equal(t, []faker.Outcome{faker.OutcomeRunning}, outcomes(e))
	require.Equal(t, first.StreamId, reader.resp.Header.Get(faker.StreamIDHeader))
	cancelStream(t, url, first.StreamId)
	rest := reader.readAll(t)
	last := rest[len(rest)-1]
	require.True(t, last.Final)
	require.Equal(t, "cancelled", last.Error.Value)
	runCall(t, url, stageCall("r2"))
	require.Equal(t, []faker.Outcome{faker.OutcomeCancelled, faker.OutcomeDone}, outcomes(e))
}

// The connection is closed after two parts while the engine continues. A second connection reads the rest
// by stream id. Together they must return the complete text, without gap or overlap, from one execution.
func TestEngineResumesCutStream(t *testing.T) {
	cfg := fastEngine()
	cfg.Faults = faker.Faults{CutStreamAfterParts: 2}
	e := faker.NewEngine(cfg)
	url := serveEndpoint(t, e)
	parts := runCall(t, url, stageCall("r1"))
	require.Len(t, parts, 2)
	parts = append(parts, resume(t, url, parts[0].StreamId, 2).readAll(t)...)
	require.Equal(t, faker.ExpectedOutput("generate", "r1", "input of r1", 6), textOf(parts))
	require.Len(t, e.Ledger().Executions, 1)
	unknown := resume(t, url, "nothing", 0)
	require.Equal(t, endpointserver.RefusalCodeUnknownStream, refusalCode(t, unknown))
}

func TestEngineRunsByPriority(t *testing.T) {
	e := faker.NewEngine(slowEngine())
	url := serveEndpoint(t, e)
	running := openCall(t, url, endlessCall("running"))
	_, ok := running.next(t)
	require.True(t, ok)
	var readers []*partReader
	for i, priority := range []int{1, 1, 9} {
		call := stageCall(fmt.Sprintf("p%d-%d", priority, i))
		call.Priority = endpointserver.NewOptInt(priority)
		call.MaxTokens = endpointserver.NewOptInt(1)
		// The header arrives once the call is in the queue.
		readers = append(readers, openCall(t, url, call))
	}
	cancelStream(t, url, running.resp.Header.Get(faker.StreamIDHeader))
	for _, reader := range readers {
		reader.readAll(t)
	}
	var order []string
	for _, execution := range e.Ledger().Executions {
		order = append(order, execution.RequestID)
	}
	require.Equal(t, []string{"running", "p9-2", "p1-0", "p1-1"}, order)
}

func TestEngineRefusesWhenQueueIsFullAndReportsLoad(t *testing.T) {
	cfg := slowEngine()
	cfg.MaxWaiting = 1
	e := faker.NewEngine(cfg)
	url := serveEndpoint(t, e)
	openCall(t, url, endlessCall("running"))
	waiting := openCall(t, url, endlessCall("waiting"))
	refused := openCall(t, url, stageCall("refused"))
	require.Equal(t, endpointserver.RefusalCodeOverloaded, refusalCode(t, refused))
	eventually(t, func() bool {
		load, err := endpointClient(t, url).GetLoad(testContext(t))
		return err == nil && load.Running == 1 && load.Waiting == 1 && load.Slots == 1
	})
	cancelStream(t, url, waiting.resp.Header.Get(faker.StreamIDHeader))
	parts := waiting.readAll(t)
	require.Equal(t, "cancelled before it ran", parts[0].Error.Value)
	require.Len(t, e.Ledger().Executions, 1)
}

// Two inputs share 20 blocks, and the second call finds them cached. Another input then evicts them from the
// cache, which holds 21 blocks.
func TestEnginePrefixCache(t *testing.T) {
	shared := strings.Repeat("0123456789abcdef", 20*faker.BlockBytes/16)
	cfg := fastEngine()
	cfg.CacheBlocks = 21
	url := serveEndpoint(t, faker.NewEngine(cfg))
	var cached []int
	for i, input := range []string{shared, shared + "tail", strings.Repeat("z", 21*faker.BlockBytes), shared} {
		call := stageCall(fmt.Sprintf("r%d", i))
		call.Input = input
		parts := runCall(t, url, call)
		cached = append(cached, parts[len(parts)-1].CachedTokens.Value)
	}
	require.Equal(t, []int{0, 320, 0, 0}, cached)
	eventually(t, func() bool {
		page, err := endpointClient(t, url).ListCacheEvents(testContext(t), endpointserver.ListCacheEventsParams{})
		return err == nil && page.Next == 20+21+20+20+20 && page.Events[0].Prefix == faker.PrefixHashes(shared)[0]
	})
}
