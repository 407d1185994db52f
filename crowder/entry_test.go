package crowder

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"geraniumline/operatorserver"
	"geraniumline/publisher"
	"geraniumline/starter"
	"geraniumline/verifier"
)

const (
	// maxConnections is the entry's setting of the same name, for each of its three listeners.
	maxConnections = 100
	// otherDescriptors is what a quiet entry needs beside its listeners' connections.
	otherDescriptors = 60
	// manyConnections are more than leastMemory has room for.
	manyConnections = 2000
	leastMemory     = 64 << 20
	crowdAccount    = "crowd"
	crowdCredential = "credential-of-the-crowd"
	// runPath is the path of requests to a pipeline.
	runPath = "/v1/pipelines/%s/requests"
)

// startEntry starts an entry of the product's own interface. Requests to the pipeline "slow" wait at their endpoint, those to
// "quick" are answered with their input.
func startEntry(t *testing.T, settings map[string]any) *starter.Entry {
	t.Helper()
	entry, _ := startEntryAt(t, settings, nil)
	return entry
}

// startEntryAt is like startEntry, and returns the entry's fleet. override, if set, returns settings to override.
func startEntryAt(
	t *testing.T, settings map[string]any, override func(*starter.Fleet, *starter.Entry) (map[string]any, error),
) (*starter.Entry, *starter.Fleet) {
	t.Helper()
	fleet, err := starter.Start(t.Context(), starter.Config{
		Bin: bin, Dir: t.TempDir(), Entries: 1, Zones: 1,
		Pools: []starter.Pool{
			{Name: "slow", Kind: "plain", Endpoints: 1, Args: []string{"--service-time", "1m"}},
			{Name: "quick", Kind: "plain", Endpoints: 1, Args: []string{"--keep-prefix", strconv.Itoa(maxBody)}},
		},
		Settings: settings, EntrySettings: override,
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, fleet.Stop()) })
	require.NoError(t, fleet.AwaitReady(t.Context(), callTimeout))
	entry := fleet.Entries()[0]
	operator, err := fleet.Operator(entry)
	require.NoError(t, err)
	stage := func(name, pool string) publisher.Stage {
		return publisher.Stage{Name: name, Pool: pool, Repeatable: true, ExpectedMillis: 2}
	}
	pools := []string{"slow", "quick"}
	for _, pool := range pools {
		publish(t, operator, operatorserver.ConfigChangeKindPool, pool, publisher.Pool{Name: pool, Kind: publisher.PoolService, SlotsPerEndpoint: bodyClients})
	}
	for _, pool := range pools {
		publish(t, operator, operatorserver.ConfigChangeKindPipeline, pool, publisher.Pipeline{
			Name: pool, Stages: []publisher.Stage{stage("first", pool), stage("second", "quick"), stage("third", "quick")},
		})
	}
	publish(t, operator, operatorserver.ConfigChangeKindContract, crowdAccount, publisher.Contract{
		Account: crowdAccount, CredentialSha256: verifier.HashCredential(crowdCredential), Weight: 1, RatePerSecond: 1e6, Burst: 1e6,
		Concurrency: 100_000, CostPerSecond: 1e9, Urgency: publisher.Normal, Pipelines: pools,
	})
	return entry, fleet
}

func publish(t *testing.T, operator *operatorserver.Client, kind operatorserver.ConfigChangeKind, name string, object any) {
	t.Helper()
	body, err := json.Marshal(object)
	require.NoError(t, err)
	verdict, err := operator.PublishConfig(t.Context(), &operatorserver.ConfigChange{
		OperationId: fmt.Sprintf("%s-%s", kind, name), Kind: kind, Name: name, Body: body,
	})
	require.NoError(t, err)
	require.Equal(t, operatorserver.ConfigVerdictVerdictAccepted, verdict.Verdict, verdict.Message.Value)
}

// entryHead returns the head of a request but for its body's length.
func entryHead(path, credential string) string {
	token := base64.StdEncoding.EncodeToString([]byte(crowdAccount + ":" + credential))
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Basic %s\r\nIdempotency-Key: crowd\r\nContent-Type: application/json\r\n", path, token)
}

// Guards against clients that make an entry hold more memory or descriptors than it may have.
func TestEntryOutlivesACrowd(t *testing.T) {
	callers := func(e *starter.Entry) string { return e.CallerAddress }
	operators := func(e *starter.Entry) string { return e.OperatorAddress }
	peers := func(e *starter.Entry) string { return e.PeerAddress }
	slow := entryHead(fmt.Sprintf(runPath, "slow"), crowdCredential)
	wrong := entryHead("/v1/config", "wrong")
	for _, tc := range []struct {
		name    string
		clients int
		address func(*starter.Entry) string
		script  Script
	}{
		{"whole bodies that wait", bodyClients, callers, Bytes(wholeRequest("slow"))},
		{"bodies that stop before their end", bodyClients, callers, Body(slow, maxBody, maxBody-1)},
		{"large chunks that stop before their end", bodyClients, callers, ChunkedBody(slow, 256<<10, maxBody-1)},
		{"small chunks that stop before their end", bodyClients, callers, ChunkedBody(slow, 16, maxBody-1)},
		{"bodies over the limit sent", bodyClients, callers, ChunkedBody(slow, 64<<10, 64<<20)},
		{"unfinished heads of callers", idleClients, callers, UnfinishedHead(15 << 10)},
		{"idle connections of callers", idleClients, callers, Idle},
		{"bodies of operators that stop before their end", bodyClients, operators, ChunkedBody(wrong, 256<<10, maxBody-1)},
		{"idle connections of operators", idleClients, operators, Idle},
		{"idle connections of peers", idleClients, peers, Idle},
	} {
		t.Run(tc.name, func(t *testing.T) {
			entry := startEntry(t, entrySettings())
			usage := playEntry(t, entry, Config{Address: tc.address(entry), Clients: tc.clients, Script: tc.script})
			require.Less(t, usage.MemoryBytes, int64(memoryMb)<<20, "bytes of memory")
			require.Less(t, usage.Descriptors, 3*maxConnections+otherDescriptors, "descriptors")
		})
	}
}

// Guards against a limit of connections that the memory has no room for.
func TestEntryOutlivesAsManyHeadsAsConnections(t *testing.T) {
	settings := entrySettings()
	settings["maxConnections"], settings["maxBodyBytes"], settings["memoryBytes"] = manyConnections, 1<<20, leastMemory
	entry := startEntry(t, settings)
	usage := playEntry(t, entry, Config{Address: entry.CallerAddress, Clients: manyConnections, Script: UnfinishedHead(15 << 10)})
	require.Less(t, usage.MemoryBytes, int64(leastMemory), "bytes of memory")
}

// Guards against answers that pile up in memory because nobody reads them.
func TestEntryOutlivesClientsThatDontRead(t *testing.T) {
	entry := startEntry(t, entrySettings())
	request := wholeRequest("quick")
	usage := playEntry(t, entry, Config{
		Address: entry.CallerAddress, Clients: bodyClients, ReceiveBuffer: 4 << 10, Script: Staggered(readerInterval, Bytes(request)),
	})
	require.Less(t, usage.MemoryBytes, int64(memoryMb)<<20, "bytes of memory")
}

func entrySettings() map[string]any {
	return map[string]any{"maxBodyBytes": maxBody, "maxConnections": maxConnections, "memoryBytes": memoryMb << 20}
}

// playEntry plays a crowd of several addresses against an entry, and requires that an ordinary request is answered meanwhile. It
// returns what the entry has held at most.
func playEntry(t *testing.T, entry *starter.Entry, cfg Config) Usage {
	t.Helper()
	for i := range 8 {
		cfg.Sources = append(cfg.Sources, fmt.Sprintf("127.0.0.%d", 10+i))
	}
	watch := NewWatch(entry.PID())
	crowd := Start(cfg)
	defer crowd.Close()
	crowd.AwaitSent()
	time.Sleep(settleTime)
	requireEntryAnswer(t, "http://"+entry.CallerAddress+fmt.Sprintf(runPath, "quick"))
	_, ended := entry.Wait(0)
	require.False(t, ended, "the process has ended")
	usage, err := watch.Stop()
	require.NoError(t, err)
	t.Logf("held %d MB and %d descriptors at most", usage.MemoryBytes>>20, usage.Descriptors)
	return usage
}

// wholeRequest returns a request to a pipeline with the longest body.
func wholeRequest(pipeline string) string {
	input := `{"deadlineMillis":60000,"input":"`
	body := input + strings.Repeat("w", maxBody-len(input)-2) + `"}`
	return entryHead(fmt.Sprintf(runPath, pipeline), crowdCredential) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// requireEntryAnswer sends ordinary requests, each after the one before was refused, until one is answered.
func requireEntryAnswer(t *testing.T, url string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	last := "no request"
	for n := 0; ctx.Err() == nil; n++ {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"deadlineMillis":10000,"input":"a question"}`))
		require.NoError(t, err)
		r.SetBasicAuth(crowdAccount, crowdCredential)
		r.Header.Set("Idempotency-Key", fmt.Sprintf("ordinary-%d", n))
		r.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(r)
		if err == nil {
			body, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && readErr == nil {
				return
			}
			last = fmt.Sprintf("status %d, %s", resp.StatusCode, body)
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Fail(t, "no ordinary request was answered", last)
}
